"""Serve callers' connections: read requests, write answers, detect disconnects."""

import contextlib
import socket
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext

import gevent
import gevent.socket
from gevent.server import StreamServer
from gevent.socket import wait_read

from nutmegslip_decisions.direct import CallerLimit, RequestLimits
from nutmegslip_entry.direct._caller_connections import CallerConnections
from nutmegslip_runtime.http1 import (
    LAST_CHUNK,
    Header,
    HeldBytes,
    HttpRequest,
    RequestFault,
    RequestReader,
    ResponseHead,
    configure_socket,
    encode_chunk,
    encode_head,
    end_to_end_headers,
    reset_on_close,
    send_all,
)

READ_BYTES = 16_384  # parsed in one turn, in pieces as small as the caller likes
RECEIVE_BUFFER_BYTES = 16_384  # the kernel doubles it, and holds that much unread
PROGRESS_BYTES = 16_384  # less at a time is not progress
SMALL_REQUEST_BYTES = 65_536  # has room while longer requests take the rest
SMALL_SEND_BYTES = 4_096  # of which each connection may hold one
JOINED_SEND_BYTES = 65_536  # a longer body is sent after the head, not copied to it
RETRY_AFTER_S = (b"0.5", b"1.0", b"1.5", b"2.0")  # spreads the retries of a burst
WRITE_STALL_TIMEOUT_S = 5.0  # a caller that reads nothing for longer is disconnected
LISTEN_BACKLOG = 512
MAX_ACCEPTED_TOGETHER = 16  # before those that they replace are closed
YIELD_BYTES = 65_536  # a read that never has to wait lets no other greenlet run
LINGER_S = 1.0  # time for a caller to read a refusal before the close
LINGER_BYTES = 4_194_304  # read meanwhile, as a close with unread bytes is a reset
UNAVAILABLE_STATUS = 503
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerDisconnected(Exception):  # noqa: N818
    """The caller closed its connection or stopped reading."""


OnSent = Callable[[int], None]


class Caller:
    """The writing side of one caller's connection.

    ``sending`` is entered while so many bytes are sent, and yields a callback for how
    many of them were accepted.
    """

    def __init__(
        self,
        sock: socket.socket,
        sending: Callable[
            [int], AbstractContextManager[OnSent | None]
        ] = lambda _length: nullcontext(),
    ) -> None:
        self._socket = sock
        self._sending = sending
        self._chunked = False
        self.streaming = False
        self.close_after = False

    def answer(
        self, status: int, headers: list[Header], body: bytes, reason: bytes = b""
    ) -> None:
        """Send a complete answer."""
        head = encode_head(
            status, headers, reason=reason, length=len(body), close=self.close_after
        )
        self._send_answer(head, body)

    def forward(
        self, answer: ResponseHead, body: bytes | bytearray, head_only: bool
    ) -> None:
        """Send an upstream's complete answer."""
        headers = end_to_end_headers(answer.headers)
        length = answer.header(b"content-length")
        body_length = int(length) if head_only and length else len(body)
        without_body = answer.status in (204, 304)
        head = encode_head(
            answer.status,
            headers,
            reason=answer.reason,
            length=None if without_body else body_length,
            close=self.close_after,
        )
        self._send_answer(head, body)

    def stream(self, answer: ResponseHead, events: bytes, version: str) -> None:
        """Send whole events; the first call sends the head of the answer too."""
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
        """Mark the end of a complete stream."""
        self.streaming = False
        if self._chunked:
            self._send(LAST_CHUNK)

    def abort(self) -> None:
        """Close so that the caller cannot take a partial answer for a complete one."""
        self.close_after = True
        if self.streaming and not self._chunked:
            # Without chunked encoding only a reset shows that the end is missing.
            reset_on_close(self._socket)

    def _send_answer(self, head: bytes, body: bytes | bytearray) -> None:
        if len(body) <= JOINED_SEND_BYTES:
            self._send(head + body)
            return
        self._send(head)
        self._send(body)

    def _send(self, data: bytes | bytearray) -> None:
        try:
            if len(data) <= SMALL_SEND_BYTES:
                send_all(self._socket, data, WRITE_STALL_TIMEOUT_S)
                return
            with self._sending(len(data)) as on_sent:
                send_all(self._socket, data, WRITE_STALL_TIMEOUT_S, on_sent)
        except OSError as error:
            raise CallerDisconnected(str(error)) from error


RequestHandler = Callable[[Caller, HttpRequest], None]


def listen(address: tuple[str, int]) -> socket.socket:
    """Return a socket that listens; its connections have a small receive buffer."""
    listener = gevent.socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind(address)
    listener.listen(LISTEN_BACKLOG)
    return listener


def accept_waiting(server: StreamServer) -> None:
    """Accept the connections that wait in a server's backlog, and close the server.

    Closing it alone would reset them, although their callers see them as accepted.
    """
    server.stop_accepting()
    while (accepted := server.do_read()) is not None:
        server.do_handle(*accepted)
    server.close()


class Connection:
    """Serve the requests of one connection in sequence."""

    def __init__(
        self,
        sock: socket.socket,
        serve: RequestHandler,
        limits: Callable[[], RequestLimits],
        is_stopping: Callable[[], bool],
        clock: Callable[[], int],
        connections: CallerConnections,
    ) -> None:
        self._clock = clock
        self._socket = sock
        self._serve = serve
        self._limits = limits
        self._is_stopping = is_stopping
        self._connections = connections
        self._reader = RequestReader(limits().header_bytes, limits().body_bytes)
        self._closing = False
        self._unyielded_bytes = 0
        self._served_bytes = 0
        self._moved_bytes = 0
        self._is_sending = False
        self.held = HeldBytes(connections.bodies)
        self.progressed_ms = clock()
        self.idle = True

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being read or served."""
        return not self.idle or self._reader.receiving

    def run(self) -> None:
        """Serve until either side closes."""
        configure_socket(self._socket)
        caller = Caller(self._socket, self._hold_answer)
        self._connections.add(self)
        try:
            while (request := self._next_request()) is not None:
                self.idle = False
                self._served_bytes = request.held_bytes
                caller.close_after = not request.keep_alive or self._is_stopping()
                self._serve_watched(caller, request)
                del request  # its body would be kept while the connection is idle
                self.idle = True
                self._served_bytes = 0
                self.progressed_ms = self._clock()
                self._connections.allow_refusal(self, self._reader.is_unfinished)
                self._update_held()
                if caller.close_after or self._is_stopping():
                    break
        except RequestFault as fault:
            self._refuse(caller, fault)
        except (CallerDisconnected, OSError):
            pass  # the caller has disconnected; the exchange has ended the request
        finally:
            self._connections.discard(self)
            self._socket.close()

    def close_if_idle(self) -> None:
        """Close the connection if no request has begun on it."""
        if not self.is_busy:
            self._close_now()

    def reset_if_busy(self) -> None:
        """Reset the connection if a partial answer could look complete.

        An idle one may still have to deliver the last bytes of a complete answer.
        """
        if self.is_busy:
            self._reset()

    def give_up(self) -> None:
        """Refuse the request that is being read, or end the answer being sent."""
        if self._is_sending:
            self._reset()
            return
        self._send_refusal()
        self._shut_down(socket.SHUT_WR)
        # What still arrives is read until then, as a close would reset the connection.
        gevent.spawn_later(LINGER_S, self._shut_down, socket.SHUT_RDWR)

    def disconnect(self) -> None:
        """Close the connection now, with a refusal if a request is being read."""
        if self._is_sending:
            self._reset()
            return
        if self._reader.receiving:
            self._send_refusal()
        self._close_now()

    def _send_refusal(self) -> None:
        """Refuse the unfinished request from another greenlet than its own."""
        self._closing = True
        self._reader.drop()
        self.held.resize(0)
        refusal = encode_head(503, [self._retry_after()], length=0, close=True)
        self._socket.settimeout(0)
        with contextlib.suppress(OSError):  # the caller disconnected before
            self._socket.send(refusal)

    def _close_now(self) -> None:
        self._closing = True
        self._shut_down(socket.SHUT_RDWR)

    def _reset(self) -> None:
        with contextlib.suppress(OSError):  # already closed
            reset_on_close(self._socket)
        self._socket.close()

    def _serve_watched(self, caller: Caller, request: HttpRequest) -> None:
        watcher = gevent.spawn(self._watch_for_disconnect, gevent.getcurrent())
        try:
            self._serve(caller, request)
        finally:
            watcher.kill(block=False)

    def _watch_for_disconnect(self, server: gevent.Greenlet) -> None:
        """Kill the serving greenlet when the caller closes the connection.

        Data that arrives first ends the watch: it is the caller's next request.
        """
        wait_read(self._socket.fileno())
        try:
            self._socket.settimeout(0)
            disconnected = not self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            disconnected = False
        except OSError:
            disconnected = True
        if disconnected:
            server.kill(
                CallerDisconnected("the caller closed the connection"), block=False
            )

    def _next_request(self) -> HttpRequest | None:
        """Return the next complete request, or None if the caller sends no more.

        The head must be complete within the header timeout; the body must not pause
        for longer than the idle timeout.
        """
        head_deadline_ms = None
        while (request := self._reader.next_request()) is None:
            limits = self._limits()
            if self._reader.in_head and head_deadline_ms is None:
                head_deadline_ms = self._clock() + limits.header_timeout_ms
            timeout_ms = limits.idle_timeout_ms
            if self._reader.in_head and head_deadline_ms is not None:
                timeout_ms = max(head_deadline_ms - self._clock(), 1)
            data = self._receive(timeout_ms / 1_000)
            if not data:
                return None
            limits = self._limits()  # they may have changed while it waited
            self._reader.header_bytes = limits.header_bytes
            self._reader.body_bytes = limits.body_bytes
            self._reader.feed(data)
            self._count_received(len(data))
            if self._reader.expects_continue:
                self._socket.sendall(CONTINUE_RESPONSE)
                self._reader.expects_continue = False
        return request

    def _receive(self, timeout_s: float) -> bytes:
        """Return the next bytes, empty if the connection ends."""
        self._socket.settimeout(timeout_s)
        try:
            data = self._socket.recv(READ_BYTES)
            self._let_others_run(len(data))
            while self._closing and data:  # they are dropped: no answer can be sent
                self._socket.settimeout(LINGER_S)
                data = self._socket.recv(READ_BYTES)
                self._let_others_run(len(data))
        except TimeoutError as error:
            if self._reader.receiving:
                raise RequestFault(408, "the request timed out") from error
            return b""
        return data

    def _let_others_run(self, received: int) -> None:
        self._unyielded_bytes += received
        if self._unyielded_bytes >= YIELD_BYTES:
            self._unyielded_bytes = 0
            gevent.sleep(0)

    def _count_received(self, received: int) -> None:
        """Count what the request takes; raise RequestFault if there is no room."""
        self._note_progress(received)
        self._connections.allow_refusal(self, self._reader.is_unfinished)
        self._update_held()
        is_long = self.held.is_over_share(SMALL_REQUEST_BYTES)
        if is_long or self._connections.bodies.is_exhausted:
            self._connections.report(CallerLimit.MEMORY)
            raise RequestFault(503, "the requests of all callers take too much memory")

    def _update_held(self) -> None:
        self.held.resize(self._reader.held_bytes + self._served_bytes)

    def _note_progress(self, moved_bytes: int) -> None:
        """Note that bytes were moved; a few at a time are no progress."""
        self._moved_bytes += moved_bytes
        if self._moved_bytes >= PROGRESS_BYTES or not self.held.length:
            self._moved_bytes = 0
            self.progressed_ms = self._clock()

    @contextmanager
    def _hold_answer(self, length: int) -> Iterator[OnSent]:
        """Count an answer while it is sent; a caller that does not read may lose it."""
        self._is_sending = True
        self.progressed_ms = self._clock()
        self._connections.allow_refusal(self, True)
        self.held.resize(self.held.length + length)
        try:
            yield self._note_progress
        finally:
            self._is_sending = False
            self._connections.allow_refusal(self, False)
            self._update_held()

    def _refuse(self, caller: Caller, fault: RequestFault) -> None:
        caller.close_after = True
        self._reader.drop()
        self.held.resize(0)
        headers = [self._retry_after()] if fault.status == UNAVAILABLE_STATUS else []
        try:
            caller.answer(fault.status, headers, b"")
            self._shut_down(socket.SHUT_WR)
            received = 0
            with gevent.Timeout(LINGER_S, False):
                while received < LINGER_BYTES and (
                    data := self._socket.recv(READ_BYTES)
                ):
                    received += len(data)
                    self._let_others_run(len(data))
        except (CallerDisconnected, OSError):
            pass  # the caller disconnected before it read the refusal

    def _retry_after(self) -> Header:
        return b"retry-after", RETRY_AFTER_S[id(self) // 64 % len(RETRY_AFTER_S)]

    def _shut_down(self, how: int) -> None:
        with contextlib.suppress(OSError):  # already closed
            self._socket.shutdown(how)
