"""Proxy connections on loopback, with delays, resets, stalls and losses on demand."""

import contextlib
import socket
from enum import StrEnum

import gevent
from gevent import socket as gevent_socket
from gevent.event import Event
from gevent.server import StreamServer

from nutmegslip_runtime.http1 import configure_socket, reset_on_close

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0


class LinkState(StrEnum):
    """State of a link, in which a proxy forwards, delays or drops data."""

    HEALTHY = "sound"
    SLOW = "slow"  # each read is delayed by DELAY_S
    RESET = "reset"  # open and new connections are reset
    ONE_WAY = "one-way"  # responses wait until the state changes
    SILENT = "silent"  # both directions wait until the state changes
    LOST = "lost"  # data is dropped, and no more is forwarded on that connection


DELAY_S = 0.15


class Proxy:
    """A TCP proxy between callers and one server.

    Except in LOST, bytes are delayed and not dropped, as TCP does when the network
    loses packets.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._state = LinkState.HEALTHY
        self._forwarding = Event()
        self._forwarding.set()
        self._open_sockets: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the address that callers use, as ip:port."""
        return f"127.0.0.1:{self._server.server_port}"

    def set_state(self, state: LinkState) -> None:
        """Change the state for open and new connections."""
        self._state = state
        if state in (LinkState.ONE_WAY, LinkState.SILENT):
            self._forwarding.clear()
        else:
            self._forwarding.set()
        if state is LinkState.RESET:
            for sock in tuple(self._open_sockets):
                self._reset(sock)

    def close(self) -> None:
        """Stop listening, and reset every connection."""
        self._forwarding.set()
        self._server.stop(timeout=0)
        for sock in tuple(self._open_sockets):
            self._reset(sock)

    def _serve(self, caller: socket.socket, _peer: object) -> None:
        if self._state is LinkState.RESET:
            self._reset(caller)
            return
        try:
            server = gevent_socket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            self._reset(caller)  # the server is down, and its port would refuse
            return
        server.settimeout(None)
        for sock in (caller, server):
            configure_socket(sock)
            self._open_sockets.add(sock)
        pumps = [
            gevent.spawn(self._pump, caller, server, LinkState.SILENT),
            gevent.spawn(self._pump, server, caller, LinkState.ONE_WAY),
        ]
        gevent.joinall(pumps)
        for sock in (caller, server):
            self._open_sockets.discard(sock)
            sock.close()

    def _pump(
        self, source: socket.socket, sink: socket.socket, blocked_in: LinkState
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if self._state is LinkState.SLOW:
                    gevent.sleep(DELAY_S)
                while self._state in (LinkState.SILENT, blocked_in):
                    self._forwarding.wait()
                if self._state is LinkState.LOST:
                    while source.recv(READ_BYTES):
                        pass  # discard the rest: no data may follow a gap
                    return
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One side failed, so both connections are reset.
            self._reset(source)
            self._reset(sink)

    def _reset(self, sock: socket.socket) -> None:
        # A shutdown would send the end of the stream before the reset.
        with contextlib.suppress(OSError):  # already closed
            reset_on_close(sock)
        sock.close()
