"""Pass connections on loopback, and delay, reset, cut or silence them by order."""

import socket
from enum import StrEnum

import gevent
from gevent import socket as green
from gevent.event import Event as Flag
from gevent.server import StreamServer

from nutmegslip_runtime.http1 import configure_socket, reset_on_close

READ_BYTES = 65_536
CONNECT_S = 1.0


class Link(StrEnum):
    """Say how a proxy treats what passes."""

    SOUND = "sound"
    SLOW = "slow"  # each piece is late by DELAY_S
    RESET = "reset"  # open connections are reset, new ones too
    ONE_WAY = "one-way"  # answers wait until the link is sound again
    SILENT = "silent"  # both directions wait
    LOST = "lost"  # what comes is dropped, and its connection stays mute


DELAY_S = 0.15


class Proxy:
    """Stand between callers and one server.

    But for LOST, bytes are held back and not dropped, as a network does that loses
    packets.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._link = Link.SOUND
        self._passing = Flag()
        self._passing.set()
        self._open: set[socket.socket] = set()
        self._server = StreamServer(("127.0.0.1", 0), self._hold)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the address that callers use, as ip:port."""
        return f"127.0.0.1:{self._server.server_port}"

    def turn(self, link: Link) -> None:
        """Treat what passes from now on in another way."""
        self._link = link
        if link in (Link.ONE_WAY, Link.SILENT):
            self._passing.clear()
        else:
            self._passing.set()
        if link is Link.RESET:
            for sock in tuple(self._open):
                self._reset(sock)

    def close(self) -> None:
        """Stop, and close every connection."""
        self._passing.set()
        self._server.stop(timeout=0)
        for sock in tuple(self._open):
            self._reset(sock)

    def _hold(self, near: socket.socket, _peer: object) -> None:
        if self._link is Link.RESET:
            self._reset(near)
            return
        try:
            far = green.create_connection(self._target, CONNECT_S)
        except OSError:
            self._reset(near)  # the server is gone: its own port would refuse
            return
        far.settimeout(None)
        for sock in (near, far):
            configure_socket(sock)
            self._open.add(sock)
        pumps = [
            gevent.spawn(self._pump, near, far, Link.SILENT),
            gevent.spawn(self._pump, far, near, Link.ONE_WAY),
        ]
        gevent.joinall(pumps)
        for sock in (near, far):
            self._open.discard(sock)
            sock.close()

    def _pump(self, source: socket.socket, sink: socket.socket, held_by: Link) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if self._link is Link.SLOW:
                    gevent.sleep(DELAY_S)
                while self._link in (Link.SILENT, held_by):
                    self._passing.wait()
                if self._link is Link.LOST:
                    while source.recv(READ_BYTES):
                        pass  # nothing may follow what was lost
                    return
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One side ended early, so the other one learns of it the same way.
            self._reset(source)
            self._reset(sink)

    def _reset(self, sock: socket.socket) -> None:
        try:
            reset_on_close(sock)
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass  # it was closed already
        sock.close()
