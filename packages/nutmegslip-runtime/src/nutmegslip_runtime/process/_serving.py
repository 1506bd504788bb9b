"""Serve HTTP with gevent, without delaying small writes."""

import socket
from collections.abc import Callable

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer


class _Handler(WSGIHandler):
    """A handler that does not wait for the peer's delayed acknowledgements."""

    def __init__(self, sock, address, server, rfile=None) -> None:
        # Otherwise, small writes on a keep-alive connection wait some 40 ms each.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)


class HttpServer:
    """A running HTTP server."""

    def __init__(self, server: WSGIServer) -> None:
        self._server = server

    def stop(self, timeout_s: float) -> None:
        """Stop accepting; wait up to a timeout for responses in progress."""
        self._server.stop(timeout=timeout_s)


def serve_http(address: str, application: Callable) -> HttpServer:
    """Serve a WSGI application at ``ip:port`` in the background."""
    ip, _, port = address.rpartition(":")
    server = WSGIServer(
        (ip, int(port)),
        application,
        log=None,
        error_log=None,
        handler_class=_Handler,
        backlog=1_024,
    )
    server.start()
    gevent.sleep(0)
    return HttpServer(server)
