"""Authenticate a websocket connection and exchange messages over it."""

import secrets
from collections.abc import Callable
from typing import NamedTuple

import gevent
from expression import Error, Ok, Result
from gevent.queue import Empty, Full, Queue
from websockets.exceptions import ConnectionClosed
from websockets.sync.connection import Connection

from nutmegslip_messages import (
    PROTOCOL_VERSION,
    Challenge,
    Codec,
    Hello,
    Welcome,
    answer_challenge,
    check_hello,
    check_welcome,
    make_welcome,
)

HANDSHAKE_TIMEOUT_S = 3
MAX_QUEUED_MESSAGES = 4096  # a peer that falls further behind is disconnected
NONCE_BYTES = 16
JOINED_FRAME_BYTES = 32 * 1024  # queued messages are joined up to this size


class Identity(NamedTuple):
    """The identity of this process and the key that it shares with its peers."""

    host: str
    incarnation: str
    key: bytes


class Peer(NamedTuple):
    """The identity of the process at the other end."""

    host: str
    incarnation: str


def handshake_as_listener(
    websocket: Connection, codec: Codec, own: Identity
) -> Result[Peer, str]:
    """Authenticate a dialler, and this process to the dialler."""
    challenge = Challenge(PROTOCOL_VERSION, secrets.token_bytes(NONCE_BYTES))
    websocket.send(codec.encode(challenge))
    hello = _receive(websocket, codec, Hello)
    if hello.is_error():
        return hello
    checked = check_hello(hello.ok, challenge, own.key)
    if checked.is_error():
        return Error(checked.error.message)
    answer = make_welcome(hello.ok, challenge, own.key, own.host, own.incarnation)
    websocket.send(codec.encode(answer))
    return Ok(Peer(hello.ok.host, hello.ok.incarnation))


def handshake_as_dialler(
    websocket: Connection, codec: Codec, own: Identity
) -> Result[Peer, str]:
    """Authenticate a listener, and this process to the listener."""
    challenge = _receive(websocket, codec, Challenge)
    if challenge.is_error():
        return challenge
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = answer_challenge(challenge.ok, own.key, own.host, own.incarnation, nonce)
    if hello.is_error():
        return Error(hello.error.message)
    websocket.send(codec.encode(hello.ok))
    answer = _receive(websocket, codec, Welcome)
    if answer.is_error():
        return answer
    checked = check_welcome(answer.ok, hello.ok, challenge.ok, own.key)
    if checked.is_error():
        return Error(checked.error.message)
    return Ok(Peer(answer.ok.host, answer.ok.incarnation))


def _receive(websocket: Connection, codec: Codec, wanted: type) -> Result:
    try:
        frame = websocket.recv(timeout=HANDSHAKE_TIMEOUT_S)
    except (ConnectionClosed, TimeoutError, OSError) as error:
        return Error(f"no handshake message: {type(error).__name__}")
    decoded = codec.decode(frame if isinstance(frame, bytes) else frame.encode())
    if decoded.is_error():
        return Error(decoded.error.message)
    if not isinstance(decoded.ok, wanted):
        return Error(f"unexpected handshake message {type(decoded.ok).__name__}")
    return decoded


class PeerConnection:
    """A connection that sends and receives messages."""

    def __init__(self, websocket: Connection, codec: Codec, peer: Peer) -> None:
        self._websocket = websocket
        self._codec = codec
        self._peer = peer
        self._outgoing: Queue = Queue(MAX_QUEUED_MESSAGES)
        self._writer = gevent.spawn(self._write)

    @property
    def peer(self) -> Peer:
        """Return the process at the other end."""
        return self._peer

    def send(self, message: object) -> bool:
        """Queue a message; if the queue is full, close and return False."""
        try:
            self._outgoing.put_nowait(self._codec.encode(message))
        except Full:
            self.close()
            return False
        return True

    def read(self, on_messages: Callable[[list[object]], None]) -> str:
        """Pass the messages of each frame to ``on_messages``; return why it ended."""
        try:
            for frame in self._websocket:
                decoded = self._codec.decode_all(
                    frame if isinstance(frame, bytes) else frame.encode()
                )
                if decoded.is_error():
                    return decoded.error.message
                on_messages(decoded.ok)
        except (ConnectionClosed, OSError) as error:
            return f"connection lost: {type(error).__name__}"
        finally:
            self.close()
        return "closed by the peer"

    def flush(self, timeout_s: float) -> None:
        """Wait until queued messages are written, up to a timeout."""
        with gevent.Timeout(timeout_s, False):
            while not self._outgoing.empty():
                gevent.sleep(0.005)

    def close(self) -> None:
        """Close the connection without waiting for the peer."""
        self._writer.kill(block=False)
        gevent.spawn(_close_quietly, self._websocket)

    def _write(self) -> None:
        try:
            while True:
                self._websocket.send(self._next_frame())
        except (ConnectionClosed, OSError, Empty):
            gevent.spawn(_close_quietly, self._websocket)

    def _next_frame(self) -> bytes:
        """Join queued messages into one frame, as each frame adds overhead."""
        parts = [self._outgoing.get()]
        size = len(parts[0])
        while size < JOINED_FRAME_BYTES and not self._outgoing.empty():
            parts.append(self._outgoing.get_nowait())
            size += len(parts[-1])
        return b"".join(parts)


def _close_quietly(websocket: Connection) -> None:
    try:
        websocket.socket.close()
    except OSError:
        return
