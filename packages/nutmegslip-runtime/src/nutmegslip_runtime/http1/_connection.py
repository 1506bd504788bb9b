"""Send requests and read responses over one connection to a server."""

import contextlib
import re
import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import gevent
import gevent.socket
import httptools

from nutmegslip_runtime.http1._encoding import Framing, Header
from nutmegslip_runtime.http1._held_bodies import HeldBodies
from nutmegslip_runtime.http1._sockets import (
    configure_socket,
    reset_on_close,
    send_all,
)

READ_BYTES = 16_384  # parsed in one turn, in pieces as small as the server likes
MAX_HEAD_BYTES = 65_536  # also of what stands between two pieces of a body
MAX_BODY_BYTES = 16_777_216
MAX_INTERIM_RESPONSES = 16
MAX_UNREAD_PIECES = 64  # further pieces of a body are joined with the last one
YIELD_BYTES = 65_536  # a read that never has to wait lets no other greenlet run
FIRST_FINAL_STATUS = 200
VALID_STATUSES = range(100, 600)
_KEEP_ALIVE_TIMEOUT = re.compile(rb"(?:^|[\s,;])timeout\s*=\s*(\d{1,9})", re.IGNORECASE)


class NotConnected(Exception):  # noqa: N818
    """No connection could be opened, so nothing was sent; try another server."""


class ConnectionRefused(NotConnected):
    """Nothing listens at the address: the process there has ended, or begins."""


class ConnectionBroken(Exception):  # noqa: N818
    """The connection ended or sent invalid HTTP; the request may have run."""


class ConnectionClosed(ConnectionBroken):
    """The server closed or reset the connection; the request may have run."""


class BodyTooLong(ConnectionBroken):
    """The body is longer than the caller wants to read; the request may have run."""


class ConnectionTimedOut(ConnectionBroken):
    """A send or read timed out; the request may have run."""


class ResponseHead(NamedTuple):
    """The head of a response; ``keep_alive`` is whether the connection stays open."""

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    framing: Framing
    keep_alive: bool

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of a lower-case name."""
        return next((v for n, v in self.headers if n.lower() == name), None)


class _EndOfBody:
    """A marker for the end of a response body."""


_END_OF_BODY = _EndOfBody()


class ClientConnection:
    """A connection that reads responses in order; each read has a deadline."""

    def __init__(
        self,
        sock: socket.socket,
        clock: Callable[[], int],
        held_bodies: HeldBodies | None = None,
    ) -> None:
        self._socket = sock
        self._clock = clock
        self._held_bodies = held_bodies or HeldBodies()
        self._parser = httptools.HttpResponseParser(self)
        self._parts: deque[ResponseHead | bytearray | _EndOfBody] = deque()
        self._reason = b""
        self._headers: list[Header] = []
        self._framing = Framing.NONE
        self._keep_alive = True
        self._in_message = False
        self._head_request = False
        self._unparsed_bytes = 0
        self._unyielded_bytes = 0
        self._received_ms = 0
        self._is_unanswered = False
        self._idle_timeout_ms: int | None = None
        self.idle_until_ms = 0

    @classmethod
    def connect(
        cls,
        host: str,
        port: int,
        timeout_s: float,
        clock: Callable[[], int],
        held_bodies: HeldBodies | None = None,
        receive_buffer_bytes: int | None = None,
    ) -> "ClientConnection":
        """Open a connection; raise NotConnected if that fails or times out.

        The kernel holds up to twice ``receive_buffer_bytes`` that are not read yet, by
        default as much as it likes.
        """
        try:
            sock = gevent.socket.create_connection((host, port), timeout_s)
        except ConnectionRefusedError as error:
            raise ConnectionRefused(f"{host}:{port}: {error}") from error
        except OSError as error:
            raise NotConnected(f"{host}:{port}: {error}") from error
        configure_socket(sock)
        if receive_buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        return cls(sock, clock, held_bodies)

    @property
    def was_used(self) -> bool:
        """Return whether an earlier answer was read, so that copies of it may come."""
        return self.idle_until_ms > 0

    @property
    def received_ms(self) -> int:
        """Return when bytes last arrived, 0 if none did."""
        return self._received_ms

    @property
    def idle_timeout_ms(self) -> int | None:
        """Return how long the server keeps it open while idle, None if unknown."""
        return self._idle_timeout_ms

    @property
    def is_reusable(self) -> bool:
        """Return whether another request can be sent: nothing unread, still open."""
        if self._parts or self._in_message or not self._keep_alive:
            return False
        self._socket.settimeout(0)
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, data: bytes, stall_timeout_s: float) -> None:
        """Send a request; raise ConnectionBroken if it cannot be sent completely."""
        self._is_unanswered = True
        try:
            send_all(self._socket, data, stall_timeout_s)
        except TimeoutError as error:
            raise ConnectionTimedOut("the request could not be sent in time") from error
        except OSError as error:
            raise ConnectionBroken(str(error)) from error

    def read_head(
        self, deadline_ms: int, *, head_request: bool = False
    ) -> ResponseHead:
        """Return the next final head; set ``head_request`` for responses to HEAD."""
        self._head_request = head_request
        interim = 0
        while interim <= MAX_INTERIM_RESPONSES:
            part = self._next(deadline_ms)
            if not isinstance(part, ResponseHead):
                continue
            if part.status >= FIRST_FINAL_STATUS:
                return part
            interim += 1
        raise ConnectionBroken(f"more than {MAX_INTERIM_RESPONSES} interim responses")

    def read_body(self, deadline_ms: int) -> bytes:
        """Return the next bytes of the body, empty at its end."""
        part = self._next(deadline_ms)
        match part:
            case bytearray():
                return bytes(part)
            case _EndOfBody():
                return b""
            case ResponseHead():
                raise ConnectionBroken("a response began within another")

    def read_whole_body(
        self,
        deadline_ms: int,
        *,
        max_bytes: int = MAX_BODY_BYTES,
        stall_ms: int | None = None,
    ) -> bytes | bytearray:
        """Return the rest of the body; raise BodyTooLong beyond ``max_bytes``.

        Raise ConnectionBroken if the process holds too many bytes of bodies. With
        ``stall_ms`` each piece must follow within it, by the deadline at the latest.
        """
        with self._held_bodies.hold() as body:
            while piece := self.read_body(
                self._piece_deadline_ms(deadline_ms, stall_ms)
            ):
                body.append(piece)
                if body.length > max_bytes:
                    raise BodyTooLong(f"the body exceeds {max_bytes} bytes")
                if body.is_over_share():
                    raise ConnectionBroken("the process holds too many long bodies")
            return body.content()

    def _piece_deadline_ms(self, deadline_ms: int, stall_ms: int | None) -> int:
        if stall_ms is None:
            return deadline_ms
        return min(deadline_ms, self._clock() + stall_ms)

    def exchange(
        self, request: bytes, deadline_ms: int
    ) -> tuple[ResponseHead, bytes | bytearray]:
        """Send a request; return the head and the complete body of its response.

        Raise ConnectionBroken if the exchange fails or times out.
        """
        self.send(request, max(deadline_ms - self._clock(), 1) / 1_000)
        return self.read_head(deadline_ms), self.read_whole_body(deadline_ms)

    def close(self) -> None:
        """Close the connection immediately.

        If nothing has arrived since the last request, the connection is reset: the
        kernel would go on sending what is left of the request, also seconds later.
        """
        if self._is_unanswered:
            with contextlib.suppress(OSError):  # already closed
                reset_on_close(self._socket)
        self._socket.close()

    def _next(self, deadline_ms: int) -> "ResponseHead | bytearray | _EndOfBody":
        while not self._parts:
            remaining_ms = deadline_ms - self._clock()
            if remaining_ms <= 0:
                raise ConnectionTimedOut("no response before the deadline")
            self._socket.settimeout(remaining_ms / 1_000)
            try:
                data = self._socket.recv(READ_BYTES)
            except TimeoutError as error:
                if self._clock() < deadline_ms:
                    raise ConnectionBroken(str(error)) from error
                raise ConnectionTimedOut("no response before the deadline") from error
            except OSError as error:
                raise ConnectionClosed(str(error)) from error
            self._received_ms = self._clock()
            self._is_unanswered = False
            self._feed(data)
            self._bound(len(data))
        return self._parts.popleft()

    def _bound(self, received: int) -> None:
        """Limit bytes that complete no part, and let other greenlets run."""
        self._unparsed_bytes = 0 if self._parts else self._unparsed_bytes + received
        if self._unparsed_bytes > MAX_HEAD_BYTES:
            self._keep_alive = False
            raise ConnectionBroken(f"{MAX_HEAD_BYTES} bytes hold no head and no body")
        self._unyielded_bytes += received
        if self._unyielded_bytes >= YIELD_BYTES:
            self._unyielded_bytes = 0
            gevent.sleep(0)

    def _feed(self, data: bytes) -> None:
        if not data:
            self._keep_alive = False
            if self._in_message and self._framing is Framing.CLOSE:
                self._in_message = False
                self._parts.append(_END_OF_BODY)
                return
            raise ConnectionClosed("the connection was closed")
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._keep_alive = False
            if not self._parts:
                reason = error.__context__ or error  # of an error in a callback
                raise ConnectionBroken(f"no HTTP: {reason}") from error
            if self._parts[-1] is not _END_OF_BODY:
                # Return the parsed parts first; the read after them raises this error.
                self._parser = _FailedParser(error)

    def on_message_begin(self) -> None:
        """Begin a response (called by the parser)."""
        self._headers = []
        self._reason = b""
        self._in_message = True

    def on_status(self, status: bytes) -> None:
        """Store the reason phrase (called by the parser)."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header (called by the parser)."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Complete the head (called by the parser)."""
        status = self._parser.get_status_code()
        if status not in VALID_STATUSES:
            raise ValueError(f"the status {status:03} is none of HTTP")
        self._framing = _framing(status, self._headers, self._head_request)
        keep_alive = (
            self._parser.should_keep_alive() and self._framing is not Framing.CLOSE
        )
        self._keep_alive = keep_alive
        self._idle_timeout_ms = _idle_timeout_ms(self._headers)
        head = ResponseHead(
            status, self._reason, tuple(self._headers), self._framing, keep_alive
        )
        self._parts.append(head)
        if self._head_request:
            self._keep_alive = False
            self._in_message = False
            self._parts.append(_END_OF_BODY)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body (called by the parser)."""
        if self._head_request:
            return
        if len(self._parts) > MAX_UNREAD_PIECES and isinstance(
            self._parts[-1], bytearray
        ):
            self._parts[-1] += body
        else:
            self._parts.append(bytearray(body))

    def on_message_complete(self) -> None:
        """End the response (called by the parser)."""
        if self._in_message:
            self._in_message = False
            self._parts.append(_END_OF_BODY)


class _FailedParser:
    """A replacement for a failed parser; it raises the same error again."""

    def __init__(self, error: Exception) -> None:
        self._error = error

    def feed_data(self, _data: bytes) -> None:
        raise httptools.HttpParserError(str(self._error))


def _idle_timeout_ms(headers: list[Header]) -> int | None:
    """Return the timeout in a Keep-Alive header, None without one."""
    values = (value for name, value in headers if name.lower() == b"keep-alive")
    found = [match for match in map(_KEEP_ALIVE_TIMEOUT.search, values) if match]
    return min((int(match[1]) * 1_000 for match in found), default=None)


def _framing(status: int, headers: list[Header], head_request: bool) -> Framing:
    if head_request or status < FIRST_FINAL_STATUS or status in (204, 304):
        return Framing.NONE
    names = {name.lower(): value.lower() for name, value in headers}
    if b"chunked" in names.get(b"transfer-encoding", b""):
        return Framing.CHUNKED
    if b"content-length" in names:
        return Framing.LENGTH
    return Framing.CLOSE
