"""Keep one link to each peer, whichever side dialled."""

import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

import gevent
from websockets.exceptions import WebSocketException
from websockets.sync.client import connect
from websockets.sync.connection import Connection
from websockets.sync.server import Server, serve

from nutmegslip_messages import MAX_FRAME_BYTES, Codec
from nutmegslip_runtime.links._connection import (
    Identity,
    Peer,
    PeerConnection,
    handshake_as_dialler,
    handshake_as_listener,
)
from nutmegslip_runtime.links._tls import TlsFiles, client_context, server_context

DIAL_TIMEOUT_S = 2
REDIAL_INTERVAL_S = 0.5
MAX_WAITING_MESSAGES = 256  # queued for a host while it is being dialled


class LinkEvents(NamedTuple):
    """The callbacks for link events; all but ``peer_rejected`` take the host first."""

    messages: Callable[[str, list[object]], None]
    up: Callable[[str, str], None]
    down: Callable[[str, str], None]
    send_failed: Callable[[str, object], None]
    peer_rejected: Callable[[str], None]


@dataclass(frozen=True, slots=True)
class LinkOptions:
    """The identity of this process, and where it listens as ``ip:port``."""

    host: str
    incarnation: str
    key: bytes
    listen: str
    tls: TlsFiles | None = None


@dataclass(slots=True)
class _Link:
    """The connections to one host, and the messages queued until one opens."""

    connections: list[PeerConnection] = field(default_factory=list)
    waiting: deque[object] = field(default_factory=deque)
    dialling: bool = False


class Links:
    """The links to all peers of this process."""

    def __init__(self, options: LinkOptions, codec: Codec, events: LinkEvents) -> None:
        self._options = options
        self._codec = codec
        self._events = events
        self._own = Identity(options.host, options.incarnation, options.key)
        self._links: dict[str, _Link] = {}
        self._addresses: dict[str, str] = {}
        self._wanted: frozenset[str] = frozenset()
        self._server: Server | None = None
        self._closed = False

    @property
    def up(self) -> tuple[str, ...]:
        """Return the hosts with an open link."""
        return tuple(
            sorted(host for host, link in self._links.items() if link.connections)
        )

    def start(self) -> None:
        """Listen for peers and keep dialling the wanted hosts."""
        ip, _, port = self._options.listen.rpartition(":")
        self._server = serve(
            self._accept,
            ip,
            int(port),
            ssl=server_context(self._options.tls),
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
        )
        gevent.spawn(self._server.serve_forever)
        gevent.spawn(self._keep_dialling)

    def close(self) -> None:
        """Write queued messages for up to 1 s, then close every connection."""
        self._closed = True
        connections = [c for link in self._links.values() for c in link.connections]
        gevent.joinall([gevent.spawn(c.flush, 1.0) for c in connections])
        for connection in connections:
            connection.close()
        if self._server is not None:
            self._server.socket.close()

    def set_addresses(self, addresses: dict[str, str]) -> None:
        """Replace the addresses of all hosts."""
        self._addresses = addresses

    def keep(self, hosts: tuple[str, ...]) -> None:
        """Keep links to these hosts, redialling when they break."""
        self._wanted = frozenset(hosts) - {self._options.host}
        self._dial_wanted()

    def send(self, host: str, message: object) -> None:
        """Send a message, dialling the host if no link is open."""
        if host == self._options.host:
            # The witness or the home of a limit may be this process itself.
            gevent.spawn(self._events.messages, host, [message])
            return
        link = self._links.setdefault(host, _Link())
        if link.connections:
            link.connections[-1].send(message)
            return
        if len(link.waiting) >= MAX_WAITING_MESSAGES or host not in self._addresses:
            gevent.spawn(self._events.send_failed, host, message)
            return
        link.waiting.append(message)
        self._dial(host, link)

    def _keep_dialling(self) -> None:
        while not self._closed:
            self._dial_wanted()
            gevent.sleep(REDIAL_INTERVAL_S)

    def _dial_wanted(self) -> None:
        for host in sorted(self._wanted & self._addresses.keys()):
            link = self._links.setdefault(host, _Link())
            if not link.connections:
                self._dial(host, link)

    def _dial(self, host: str, link: _Link) -> None:
        if link.dialling or self._closed:
            return
        link.dialling = True
        gevent.spawn(self._dial_now, host, link)

    def _dial_now(self, host: str, link: _Link) -> None:
        opened = self._open(self._addresses.get(host, ""))
        link.dialling = False
        if opened is None:
            self._fail_waiting(host, link)
            return
        websocket, peer = opened
        if peer.host != host:
            self._events.peer_rejected(f"{peer.host} answers at the address of {host}")
            websocket.socket.close()
            self._fail_waiting(host, link)
            return
        self._run(websocket, peer)

    def _open(self, address: str) -> tuple[Connection, Peer] | None:
        ip, _, port = address.rpartition(":")
        scheme = "wss" if self._options.tls else "ws"
        try:
            raw = socket.create_connection((ip, int(port)), DIAL_TIMEOUT_S)
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            websocket = connect(
                f"{scheme}://{address}/",
                sock=raw,
                ssl=client_context(self._options.tls),
                compression=None,
                max_size=MAX_FRAME_BYTES,
                ping_interval=None,
                open_timeout=DIAL_TIMEOUT_S,
                proxy=None,
            )
            handshake = handshake_as_dialler(websocket, self._codec, self._own)
        except (OSError, ValueError, WebSocketException):
            return None
        if handshake.is_error():
            self._events.peer_rejected(handshake.error)
            websocket.socket.close()
            return None
        return websocket, handshake.ok

    def _accept(self, websocket: Connection) -> None:
        websocket.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            handshake = handshake_as_listener(websocket, self._codec, self._own)
        except (OSError, WebSocketException) as error:
            self._events.peer_rejected(type(error).__name__)
            return
        if handshake.is_error():
            self._events.peer_rejected(handshake.error)
            websocket.socket.close()
            return
        self._run(websocket, handshake.ok)

    def _run(self, websocket: Connection, peer: Peer) -> None:
        peer_connection = PeerConnection(websocket, self._codec, peer)
        link = self._links.setdefault(peer.host, _Link())
        self._close_previous_incarnation(link, peer)
        first = not link.connections
        link.connections.append(peer_connection)
        if first:
            self._events.up(peer.host, peer.incarnation)
        while link.waiting:
            peer_connection.send(link.waiting.popleft())
        reason = peer_connection.read(
            lambda found: self._events.messages(peer.host, found)
        )
        if peer_connection not in link.connections:
            return
        link.connections.remove(peer_connection)
        if not link.connections and not self._closed:
            self._events.down(peer.host, reason)

    def _close_previous_incarnation(self, link: _Link, peer: Peer) -> None:
        """Close the remaining connections to a previous incarnation of a host."""
        old = [c for c in link.connections if c.peer.incarnation != peer.incarnation]
        if not old:
            return
        for connection in old:
            link.connections.remove(connection)
            connection.close()
        if not link.connections:
            self._events.down(peer.host, "restarted")

    def _fail_waiting(self, host: str, link: _Link) -> None:
        failed = tuple(link.waiting)
        link.waiting.clear()
        for message in failed:
            self._events.send_failed(host, message)
