"""Hold one connection to a server: send a request, read its answers."""

import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import gevent.socket
import httptools

from nutmegslip_runtime.http1._answers import Framing, Header
from nutmegslip_runtime.http1._sockets import prepare

READ_BYTES = 65_536
FIRST_FINAL_STATUS = 200


class NotConnected(Exception):  # noqa: N818
    """No connection could be opened, so nothing was sent; try another server."""


class ChannelBroken(Exception):  # noqa: N818
    """The connection ended or spoke no HTTP; what was sent may have run."""


class ChannelSilent(ChannelBroken):
    """Nothing came in time; what was sent may have run."""


class Answer(NamedTuple):
    """Hold the head of an answer; ``keep`` is whether the connection stays open."""

    status: int
    reason: bytes
    headers: tuple[Header, ...]
    framing: Framing
    keep: bool

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of a lower-case name."""
        return next((v for n, v in self.headers if n.lower() == name), None)


class _End:
    """Mark the end of an answer's body."""


_END = _End()


class Channel:
    """Read answers one after the other; callers give each read a time-out."""

    def __init__(self, sock: socket.socket, clock: Callable[[], int]) -> None:
        self._socket = sock
        self._clock = clock
        self._parser = httptools.HttpResponseParser(self)
        self._parts: deque[Answer | bytes | _End] = deque()
        self._reason = b""
        self._headers: list[Header] = []
        self._framing = Framing.NONE
        self._keep = True
        self._in_message = False
        self._headless = False
        self.idle_since_ms = 0

    @classmethod
    def connect(
        cls, host: str, port: int, timeout_s: float, clock: Callable[[], int]
    ) -> "Channel":
        """Open a connection; raise NotConnected where none opens in time."""
        try:
            sock = gevent.socket.create_connection((host, port), timeout_s)
        except OSError as error:
            raise NotConnected(f"{host}:{port}: {error}") from error
        prepare(sock)
        return cls(sock, clock)

    @property
    def is_clean(self) -> bool:
        """Return whether a next request can be sent: nothing unread, still open."""
        if self._parts or self._in_message or not self._keep:
            return False
        self._socket.settimeout(0)
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, data: bytes, timeout_s: float) -> None:
        """Send a request; raise ChannelBroken where it cannot be sent whole."""
        self._socket.settimeout(timeout_s)
        try:
            self._socket.sendall(data)
        except TimeoutError as error:
            raise ChannelSilent("the request was not taken in time") from error
        except OSError as error:
            raise ChannelBroken(str(error)) from error

    def read_answer(self, deadline_ms: int, *, headless: bool = False) -> Answer:
        """Return the next final head; ``headless`` is for answers to HEAD."""
        self._headless = headless
        while True:
            part = self._next(deadline_ms)
            if isinstance(part, Answer) and part.status >= FIRST_FINAL_STATUS:
                return part

    def read_body(self, deadline_ms: int) -> bytes:
        """Return the next bytes of the body, empty at its end."""
        part = self._next(deadline_ms)
        match part:
            case bytes():
                return part
            case _End():
                return b""
            case Answer():
                raise ChannelBroken("an answer began within another")

    def read_whole_body(self, deadline_ms: int) -> bytes:
        """Return the body up to its end."""
        return b"".join(iter(lambda: self.read_body(deadline_ms), b""))

    def exchange(self, request: bytes, deadline_ms: int) -> tuple[Answer, bytes]:
        """Send a whole request; return its answer and whole body.

        Raise ChannelBroken where they do not come in time.
        """
        self.send(request, max(deadline_ms - self._clock(), 1) / 1_000)
        return self.read_answer(deadline_ms), self.read_whole_body(deadline_ms)

    def close(self) -> None:
        """Close the connection at once."""
        self._socket.close()

    def _next(self, deadline_ms: int) -> "Answer | bytes | _End":
        while not self._parts:
            left_ms = deadline_ms - self._clock()
            if left_ms <= 0:
                raise ChannelSilent("no answer before the deadline")
            self._socket.settimeout(left_ms / 1_000)
            try:
                data = self._socket.recv(READ_BYTES)
            except TimeoutError as error:
                if self._clock() < deadline_ms:
                    raise ChannelBroken(str(error)) from error
                raise ChannelSilent("no answer before the deadline") from error
            except OSError as error:
                raise ChannelBroken(str(error)) from error
            self._feed(data)
        return self._parts.popleft()

    def _feed(self, data: bytes) -> None:
        if not data:
            self._keep = False
            if self._in_message and self._framing is Framing.CLOSE:
                self._in_message = False
                self._parts.append(_END)
                return
            raise ChannelBroken("the connection was closed")
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._keep = False
            if not self._parts:
                raise ChannelBroken(f"no HTTP: {error}") from error
            if self._parts[-1] is not _END:
                # Whole parts go out; the next read meets the broken end.
                self._parser = _Failing(error)

    def on_message_begin(self) -> None:
        """Begin an answer (called by the parser)."""
        self._headers = []
        self._reason = b""
        self._in_message = True

    def on_status(self, status: bytes) -> None:
        """Take the reason phrase (called by the parser)."""
        self._reason += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header (called by the parser)."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take the head as whole (called by the parser)."""
        status = self._parser.get_status_code()
        self._framing = _framing(status, self._headers, self._headless)
        keep = self._parser.should_keep_alive() and self._framing is not Framing.CLOSE
        self._keep = keep
        answer = Answer(status, self._reason, tuple(self._headers), self._framing, keep)
        self._parts.append(answer)
        if self._headless:
            self._keep = False
            self._in_message = False
            self._parts.append(_END)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body (called by the parser)."""
        if not self._headless:
            self._parts.append(bytes(body))

    def on_message_complete(self) -> None:
        """End the answer (called by the parser)."""
        if self._in_message:
            self._in_message = False
            self._parts.append(_END)


class _Failing:
    """Stand in for a parser that has failed."""

    def __init__(self, error: Exception) -> None:
        self._error = error

    def feed_data(self, _data: bytes) -> None:
        raise httptools.HttpParserError(str(self._error))


def _framing(status: int, headers: list[Header], headless: bool) -> Framing:
    if headless or status < FIRST_FINAL_STATUS or status in (204, 304):
        return Framing.NONE
    names = {name.lower(): value.lower() for name, value in headers}
    if b"chunked" in names.get(b"transfer-encoding", b""):
        return Framing.CHUNKED
    if b"content-length" in names:
        return Framing.LENGTH
    return Framing.CLOSE
