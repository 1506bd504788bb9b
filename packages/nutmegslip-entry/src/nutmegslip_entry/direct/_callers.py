"""Hold callers' connections: read requests, write answers, notice who leaves."""

import contextlib
import socket
from collections.abc import Callable

import gevent
from gevent.socket import wait_read

from nutmegslip_decisions.direct import RequestLimits
from nutmegslip_runtime.http1 import (
    LAST_CHUNK,
    Header,
    HttpRequest,
    RequestFault,
    RequestReader,
    ResponseHead,
    configure_socket,
    encode_chunk,
    encode_head,
    end_to_end_headers,
    reset_on_close,
)

READ_BYTES = 65_536
WRITE_TIMEOUT_S = 5.0  # a caller that reads nothing for this long has gone
LINGER_S = 1.0  # for a caller to read a refusal before the connection closes
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerLeft(Exception):  # noqa: N818
    """The caller closed its connection."""


class Caller:
    """Write the answers of one connection."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._chunked = False
        self.streaming = False
        self.close_after = False

    def answer(
        self, status: int, headers: list[Header], body: bytes, reason: bytes = b""
    ) -> None:
        """Send a whole answer."""
        head = encode_head(
            status, headers, reason=reason, length=len(body), close=self.close_after
        )
        self._send(head + body)

    def pass_on(self, answer: ResponseHead, body: bytes, headless: bool) -> None:
        """Send an upstream's whole answer."""
        headers = end_to_end_headers(answer.headers)
        length = answer.header(b"content-length")
        known = int(length) if headless and length else len(body)
        bodiless = answer.status in (204, 304)
        head = encode_head(
            answer.status,
            headers,
            reason=answer.reason,
            length=None if bodiless else known,
            close=self.close_after,
        )
        self._send(head + body)

    def stream(self, answer: ResponseHead, events: bytes, version: str) -> None:
        """Send whole events, after the head of the stream where they are first."""
        head = b""
        if not self.streaming:
            self._chunked = version != "1.0"
            self.close_after |= not self._chunked
            head = encode_head(
                answer.status,
                end_to_end_headers(answer.headers),
                reason=answer.reason,
                chunked=self._chunked,
                close=self.close_after,
            )
            self.streaming = True
        if events:
            head += encode_chunk(events) if self._chunked else events
        self._send(head)

    def end_stream(self) -> None:
        """End a stream as complete."""
        self.streaming = False
        if self._chunked:
            self._send(LAST_CHUNK)

    def abort(self) -> None:
        """Close so that what was sent cannot look complete."""
        self.close_after = True
        if self.streaming and not self._chunked:
            # Without chunks only a reset tells the caller of the missing end.
            reset_on_close(self._socket)

    def _send(self, data: bytes) -> None:
        self._socket.settimeout(WRITE_TIMEOUT_S)
        try:
            self._socket.sendall(data)
        except OSError as error:
            raise CallerLeft(str(error)) from error


Serve = Callable[[Caller, HttpRequest], None]


class Connection:
    """Serve the requests of one connection, one after the other."""

    def __init__(
        self,
        sock: socket.socket,
        serve: Serve,
        limits: RequestLimits,
        is_stopping: Callable[[], bool],
        clock: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._socket = sock
        self._serve = serve
        self._limits = limits
        self._is_stopping = is_stopping
        self._reader = RequestReader(limits.header_bytes, limits.body_bytes)
        self._closing = False
        self.idle = True

    def run(self) -> None:
        """Serve until either side closes."""
        configure_socket(self._socket)
        caller = Caller(self._socket)
        try:
            while (request := self._next_request()) is not None:
                self.idle = False
                caller.close_after = not request.keep_alive or self._is_stopping()
                self._serve_watched(caller, request)
                self.idle = True
                if caller.close_after or self._is_stopping():
                    break
        except RequestFault as fault:
            self._refuse(caller, fault)
        except (CallerLeft, OSError):
            pass  # the caller has gone; whoever served it has been told
        finally:
            self._socket.close()

    def close_if_idle(self) -> None:
        """Close a connection on which no request has begun."""
        if self.idle and not self._reader.receiving:
            self._closing = True
            self._shut(socket.SHUT_RDWR)

    def _serve_watched(self, caller: Caller, request: HttpRequest) -> None:
        watcher = gevent.spawn(self._watch, gevent.getcurrent())
        try:
            self._serve(caller, request)
        finally:
            watcher.kill(block=False)

    def _watch(self, server: gevent.Greenlet) -> None:
        """Stop the serving greenlet when the caller closes its side."""
        wait_read(self._socket.fileno())
        try:
            self._socket.settimeout(0)
            left = not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            left = False
        except OSError:
            left = True
        if left:
            server.kill(CallerLeft("the caller closed"), block=False)

    def _next_request(self) -> HttpRequest | None:
        """Return the next whole request, None where the caller sends no more.

        A head must be whole within the header timeout; a body must keep coming.
        """
        head_due_ms = None
        while (request := self._reader.next_request()) is None:
            if self._reader.in_head and head_due_ms is None:
                head_due_ms = self._clock() + self._limits.header_timeout_ms
            timeout_ms = self._limits.idle_timeout_ms
            if self._reader.in_head and head_due_ms is not None:
                timeout_ms = max(head_due_ms - self._clock(), 1)
            data = self._receive(timeout_ms / 1_000)
            if not data:
                return None
            self._reader.feed(data)
            if self._reader.expects_continue:
                self._socket.sendall(CONTINUE)
                self._reader.expects_continue = False
        return request

    def _receive(self, timeout_s: float) -> bytes:
        self._socket.settimeout(timeout_s)
        try:
            data = self._socket.recv(READ_BYTES)
            # Bytes that crossed the close are not served: no answer could go back.
            return b"" if self._closing else data
        except TimeoutError as error:
            if self._reader.receiving:
                raise RequestFault(408, "the request came too slowly") from error
            return b""

    def _refuse(self, caller: Caller, fault: RequestFault) -> None:
        caller.close_after = True
        try:
            caller.answer(fault.status, [], b"")
            self._shut(socket.SHUT_WR)
            with gevent.Timeout(LINGER_S, False):
                while self._socket.recv(READ_BYTES):
                    pass
        except (CallerLeft, OSError):
            pass  # the caller did not wait for the refusal

    def _shut(self, how: int) -> None:
        with contextlib.suppress(OSError):  # it was closed already
            self._socket.shutdown(how)
