"""Serve a falcon application over gevent until SIGTERM."""

import signal
import socket
import sys
import time

import falcon
import gevent
import gevent.event
from gevent.pywsgi import WSGIHandler, WSGIServer

SOCKET_KEY = "fakes.socket"


def now_ms() -> int:
    """Return this process's monotonic clock, in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def serve(app: falcon.App, host: str, port: int) -> None:
    """Listen, print the line ``ready``, and serve until SIGTERM or SIGINT."""
    server = start(app, host, port)
    stop = gevent.event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    print("ready", flush=True)
    stop.wait()
    server.stop(timeout=0)


def start(app: falcon.App, host: str, port: int) -> WSGIServer:
    """Start a server in this process; port 0 selects any free port."""
    server = _Server((host, port), app, log=None, handler_class=_Handler)
    server.start()
    return server


def close_connection(request: falcon.Request) -> None:
    """Close the caller's connection; unsent data is lost."""
    connection: socket.socket = request.env[SOCKET_KEY]
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError as error:
        print(f"connection already closed: {error}", file=sys.stderr)


class _Server(WSGIServer):
    """A server that sets TCP_NODELAY, as delayed ACKs would delay small replies."""

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


class _Handler(WSGIHandler):
    """A handler that passes its socket to the application, which may close it."""

    def get_environ(self) -> dict[str, object]:
        return super().get_environ() | {SOCKET_KEY: self.socket}
