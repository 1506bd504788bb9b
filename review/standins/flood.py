"""A server in trouble: its answers are bytes without end, until the caller closes.

Arguments: its name, the content type, and the bytes in a chunk. It listens on a free
loopback port, and prints it.
"""

import socket
import sys
import threading

NAME, CONTENT_TYPE, CHUNK_BYTES = sys.argv[1], sys.argv[2], int(sys.argv[3])
CHUNK = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
DATA = CHUNK * (65_536 // len(CHUNK))


def serve(sock: socket.socket) -> None:
    """Answer the one request of a channel."""
    received = b""
    while b"\r\n\r\n" not in received:
        data = sock.recv(65_536)
        if not data:
            return
        received += data
    lines = received.split(b"\r\n\r\n", 1)[0].split(b"\r\n")
    headers = dict(line.split(b": ", 1) for line in lines[1:])
    names = {name.lower(): value for name, value in headers.items()}
    request = names.get(b"x-nutmegslip-request-id", b"")
    print(f"runs {request.decode()}", flush=True)
    sent = 0
    try:
        sock.sendall(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
            b"content-type: " + CONTENT_TYPE.encode() + b"\r\n"
            b"x-nutmegslip-request-id: " + request + b"\r\n"
            b"x-nutmegslip-response-seal: 0123456789abcdef\r\n\r\n"
        )
        while True:
            sock.sendall(DATA)
            sent += len(DATA)
    except OSError:
        print(f"sent {sent} bytes for {request.decode()}", flush=True)
    finally:
        sock.close()


def main() -> None:
    """Serve until killed."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        print(listener.getsockname()[1], flush=True)
        while True:
            sock, _ = listener.accept()
            threading.Thread(target=serve, args=(sock,), daemon=True).start()


if __name__ == "__main__":
    main()
