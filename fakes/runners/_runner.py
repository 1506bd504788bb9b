"""Run requests as the platform's runners do, and remember each run."""

import socket
from collections import Counter

import gevent
from gevent.server import StreamServer

from fakes.runners._faults import Fault
from nutmegslip_runtime.http1 import (
    LAST_CHUNK,
    HttpRequest,
    RequestFault,
    RequestReader,
    encode_chunk,
    encode_head,
    reset_on_close,
)

ID, SEAL = b"X-Nutmegslip-Request-Id", b"X-Nutmegslip-Response-Seal"
EXPECTED = b"x-nutmegslip-expect-instance"
NOT_RUN = (b"X-Nutmegslip-Not-Executed", b"1")


class Runner:
    """Serve one runner on loopback.

    ``runs`` counts by request id; ``seen`` holds every request that ran.
    """

    def __init__(self, name: str, *, events: int = 0, pause_s: float = 0.0) -> None:
        self.name = name
        self.fault = Fault.NONE
        self.events = events
        self.pause_s = pause_s
        self.runs: Counter[str] = Counter()
        self.seen: list[HttpRequest] = []
        self.hung_up: list[str] = []
        self._server = StreamServer(("127.0.0.1", 0), self._hold)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the address as ip:port."""
        return f"127.0.0.1:{self._server.server_port}"

    def entry(self, service: str, zone: str = "a", **fields: object) -> dict:
        """Return what the runner writes of itself into the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
        } | fields

    def close(self) -> None:
        """Stop listening."""
        self._server.stop(timeout=0)

    def _hold(self, sock: socket.socket, _peer: object) -> None:
        reader = RequestReader(65_536, 8_388_608)
        try:
            while data := sock.recv(65_536):
                reader.feed(data)
                for request in iter(reader.next_request, None):
                    self._answer(sock, request)
        except (OSError, RequestFault):
            pass  # the entry closed the connection
        finally:
            sock.close()

    def _answer(self, sock: socket.socket, request: HttpRequest) -> None:
        expected = request.header(EXPECTED)
        if self.fault is Fault.SHED:
            sock.sendall(encode_head(503, [NOT_RUN], length=0))
        elif self.fault is Fault.MISDIRECTED or expected not in (
            None,
            self.name.encode(),
        ):
            sock.sendall(encode_head(421, [], length=0))
        else:
            self._run(sock, request)

    def _run(self, sock: socket.socket, request: HttpRequest) -> None:
        name = (request.header(ID.lower()) or b"").decode()
        self.runs[name] += 1
        self.seen.append(request)
        headers = [(ID, name.encode()), (SEAL, f"{self.name}.{name}".encode())]
        match self.fault:
            case Fault.SILENT:
                gevent.sleep(60)
            case Fault.RESET:
                reset_on_close(sock)
                raise OSError("reset by order of a test")
            case Fault.RUBBISH:
                sock.sendall(b"\x00\x01\x02 rubbish\r\n\r\n")
                raise OSError("ended by order of a test")
            case Fault.ERROR:
                sock.sendall(encode_head(500, headers, length=3) + b"bad")
            case _ if self.events:
                self._stream(sock, request, headers, name)
            case _:
                self._whole(sock, headers, name)

    def _whole(
        self, sock: socket.socket, headers: list[tuple[bytes, bytes]], name: str
    ) -> None:
        gevent.sleep(self.pause_s)
        body = f"answer to {name}".encode()
        whole = encode_head(200, headers, length=len(body)) + body
        match self.fault:
            case Fault.SHORT:
                sock.sendall(whole[:-3])
                raise OSError("cut by order of a test")
            case Fault.UNSEALED:
                sock.sendall(encode_head(200, headers[:1], length=len(body)) + body)
            case Fault.NO_LENGTH:
                sock.sendall(encode_head(200, headers, close=True) + body)
                raise OSError("ended by order of a test")
            case Fault.TWICE:
                sock.sendall(whole + whole)
            case Fault.OTHER_FIRST:
                late = [(ID, b"another"), headers[1]]
                sock.sendall(encode_head(200, late, length=4) + b"late" + whole)
            case _:
                sock.sendall(whole)

    def _stream(
        self,
        sock: socket.socket,
        request: HttpRequest,
        headers: list[tuple[bytes, bytes]],
        name: str,
    ) -> None:
        kind = [*headers, (b"content-type", b"text/event-stream")]
        sock.sendall(encode_head(200, kind, chunked=True))
        after = int(request.header(b"last-event-id") or 0)
        for number in range(after + 1, self.events + 1):
            gevent.sleep(self.pause_s)
            event = f"id: {number}\ndata: {name} {number}\n\n".encode()
            if self.fault is Fault.CUT_EVENT and number == after + 3:
                sock.sendall(encode_chunk(event[:-5]))
                raise OSError("cut by order of a test")
            try:
                sock.sendall(encode_chunk(event))
            except OSError:
                self.hung_up.append(name)
                raise
        sock.sendall(LAST_CHUNK)
