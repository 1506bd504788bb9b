"""Forward requests from callers to upstreams and return the answers."""

from collections.abc import Callable, Iterator

import msgspec
import xxhash

from nutmegslip_decisions.direct import (
    AttemptFailed,
    Broken,
    CallerRequest,
    Declined,
    DeliverFailure,
    Errored,
    EventSplitter,
    Failure,
    Moved,
    NotSent,
    Refuse,
    Request,
    RequestArrived,
    RequestEnded,
    ResponseStarted,
    Send,
    Upstream,
    should_move,
)
from nutmegslip_entry.direct._callers import JOINED_SEND_BYTES, Caller
from nutmegslip_entry.direct._header_codec import (
    AnswerFields,
    CallerFields,
    HeaderCodec,
)
from nutmegslip_entry.direct._pool import Pool
from nutmegslip_entry.direct._race import (
    AttemptResult,
    BegunStream,
    CompleteAnswer,
    FailedAttempt,
    Race,
)
from nutmegslip_entry.direct._state_machine import StateMachine
from nutmegslip_runtime.http1 import (
    ClientConnection,
    ConnectionBroken,
    ConnectionClosed,
    ConnectionRefused,
    Header,
    HttpRequest,
    NotConnected,
    ResponseHead,
    encode_request,
    encode_request_head,
)

SEND_STALL_TIMEOUT_S = 1.0  # the attempt fails if the upstream reads nothing
REJECTION_BODY_TIMEOUT_MS = 250  # the head has said already what matters
REJECTION_BODY_BYTES = 65_536
MAX_OTHER_ANSWERS = 8  # late ones, before the answer to a request
FIRST_SERVER_ERROR_STATUS = 500
SUCCESS_STATUSES = range(200, 300)

_OVERDUE = NotSent("the deadline passed before the request was sent", overdue=True)


class Exchanges:
    """Serve requests; each runs ``serve`` in its own greenlet."""

    def __init__(
        self,
        machine: StateMachine,
        header_codec: HeaderCodec,
        pool: Pool,
        tickets: Iterator[int],
    ) -> None:
        self._machine = machine
        self._header_codec = header_codec
        self._pool = pool
        self._tickets = tickets

    def serve(self, caller: Caller, http_request: HttpRequest) -> None:
        """Answer one request; raise CallerDisconnected if the caller disconnects."""
        fields = self._header_codec.caller_fields(http_request)
        if not fields.request_id:
            caller.answer(400, [], b"")
            return
        ticket = next(self._tickets)
        exchange = _Exchange(
            self._machine, self._header_codec, self._pool, caller, http_request
        )
        answered = False
        try:
            answered = exchange.run(self._arrival(ticket, fields, http_request))
        finally:
            # Free the slot or queue place even if the caller has disconnected.
            self._machine.dispatch(
                RequestEnded(
                    self._machine.clock(), ticket, answered, exchange.kept_until_ms
                )
            )

    def _arrival(
        self, ticket: int, fields: CallerFields, http_request: HttpRequest
    ) -> CallerRequest:
        timeout_ms = fields.timeout_ms
        host = (http_request.header(b"host") or b"").decode("latin-1").lower()
        asked = xxhash.xxh3_64(b"%s\n%s\n" % (host.encode(), http_request.target))
        asked.update(http_request.body)
        return CallerRequest(
            ticket=ticket,
            request_id=fields.request_id,
            host=host.rpartition(":")[0] if ":" in host else host,
            path=http_request.target.split(b"?", 1)[0].decode("latin-1"),
            key=fields.key,
            caller_deadline_ms=(
                None if timeout_ms is None else self._machine.clock() + timeout_ms
            ),
            parts=fields.shared_parts,
            fingerprint=asked.hexdigest(),
        )


class _Exchange:
    """The state of one request across its attempts."""

    def __init__(
        self,
        machine: StateMachine,
        header_codec: HeaderCodec,
        pool: Pool,
        caller: Caller,
        http_request: HttpRequest,
    ) -> None:
        self._machine = machine
        self._header_codec = header_codec
        self._pool = pool
        self._caller = caller
        self._http_request = http_request
        self._events = EventSplitter()
        self._failed_answer: CompleteAnswer | None = None
        self.kept_until_ms = 0
        self._race_kept_until_ms: dict[str, int] = {}

    def run(self, arrival: CallerRequest) -> bool:
        """Execute the reducer's steps; return whether an upstream answered."""
        machine = self._machine
        step = machine.dispatch_and_wait(
            arrival.ticket, RequestArrived(machine.clock(), arrival)
        )
        while True:
            match step:
                case Send(request, upstream):
                    if request.hedge_ms is None:
                        failure = self._attempt(request, upstream)
                    else:
                        upstream, failure = self._race(request, upstream)
                    if failure is None:
                        return True
                    failed = AttemptFailed(
                        machine.clock(),
                        request.ticket,
                        failure,
                        streaming=self._caller.streaming,
                        upstream=upstream.id,
                        may_resume=self._events.may_resume,
                    )
                    step = machine.dispatch_and_wait(request.ticket, failed)
                case Refuse():
                    self._refuse(arrival, step)
                    return False
                case DeliverFailure():
                    self._deliver_failure()
                    return False

    def _refuse(self, arrival: CallerRequest, refusal: Refuse) -> None:
        if self._caller.streaming:
            self._caller.abort()
            return
        status = refusal.kind.status
        if refusal.ran:
            deadline_ms = arrival.caller_deadline_ms
            expired = deadline_ms is not None and deadline_ms <= self._machine.clock()
            status = 504 if expired else 502
        headers: list[Header] = self._header_codec.refusal_headers(arrival.request_id)
        if refusal.retry_after_ms:
            seconds = b"%.3f" % (refusal.retry_after_ms / 1_000)
            headers.append((b"retry-after", seconds))
        self._caller.answer(status, headers, _problem(refusal, status, headers))

    def _deliver_failure(self) -> None:
        if self._caller.streaming or self._failed_answer is None:
            self._caller.abort()
            return
        self._forward(self._failed_answer)

    def _attempt(self, request: Request, upstream: Upstream) -> Failure | None:
        """Send to one upstream and forward its answer; return the failure, if any."""
        self.kept_until_ms = 0
        try:
            connection = self._pool.acquire(
                upstream, request.deadline_ms, fresh=not request.route.repeatable
            )
        except NotConnected as error:
            return _not_sent(error)
        answer_read = False
        try:
            if not self._send_request(connection, request, upstream):
                return _OVERDUE
            failure = self._relay_answer(connection, request, upstream)
            answer_read = not isinstance(failure, Moved)
        except ConnectionBroken as error:
            return Broken(str(error), closed=isinstance(error, ConnectionClosed))
        finally:
            if answer_read:
                self.kept_until_ms = self._pool.release(upstream, connection)
            else:
                connection.close()
        return failure

    def _send_request(
        self, connection: ClientConnection, request: Request, upstream: Upstream
    ) -> bool:
        http_request = self._http_request
        now_ms = self._machine.clock()
        remaining_ms = request.deadline_ms - now_ms
        is_late = request.send_by_ms is not None and now_ms >= request.send_by_ms
        if remaining_ms <= 0 or is_late:
            return False  # the process was suspended after the decision to send
        headers = self._header_codec.upstream_headers(
            http_request, request, upstream, remaining_ms, self._events.last_id
        )
        method, target, body = (
            http_request.method,
            http_request.target,
            http_request.body,
        )
        if len(body) <= JOINED_SEND_BYTES:
            data = encode_request(method, target, headers, body)
            connection.send(data, SEND_STALL_TIMEOUT_S)
            return True
        head = encode_request_head(method, target, headers, len(body))
        connection.send(head, SEND_STALL_TIMEOUT_S)
        connection.send(body, SEND_STALL_TIMEOUT_S)
        return True

    def _relay_answer(
        self, connection: ClientConnection, request: Request, upstream: Upstream
    ) -> Failure | None:
        answer = self._read_checked_answer(connection, request, upstream)
        if isinstance(answer, Declined):
            return answer
        if _is_stream(answer):
            self._events.restart()
            return self._relay_stream(connection, answer, request, upstream)
        self._machine.dispatch(ResponseStarted(self._machine.clock(), request.ticket))
        body = connection.read_whole_body(request.deadline_ms)
        complete = CompleteAnswer(answer, body)
        if answer.status >= FIRST_SERVER_ERROR_STATUS:
            self._failed_answer = complete
            return Errored()
        self._forward(complete)
        return None

    def _read_checked_answer(
        self, connection: ClientConnection, request: Request, upstream: Upstream
    ) -> ResponseHead | Declined:
        """Return the head of an answer that may be passed on, or the rejection."""
        answer, fields = self._read_own_answer(connection, request, upstream)
        if fields.not_run:
            unread = self._skip_rejection_body(connection, request)
            return Declined(fields.misdirected, fields.at_fault, unread)
        is_sound = fields.sealed and not answer.header(b"content-encoding")
        if answer.status in SUCCESS_STATUSES and not is_sound:
            raise ConnectionBroken("the success answer is unsealed or content-encoded")
        if self._caller.streaming and not _is_stream(answer):
            raise ConnectionBroken("the stream could not be resumed")
        return answer

    def _race(
        self, request: Request, upstream: Upstream
    ) -> tuple[Upstream, Failure | None]:
        """Forward the first answer; return its upstream and failure, if any."""
        race = Race(self._machine, self._attempt_start)
        request, upstream, result = race.run(request, upstream)
        match result:
            case FailedAttempt(failure):
                return upstream, failure
            case CompleteAnswer():
                self.kept_until_ms = self._race_kept_until_ms[upstream.id]
                self._forward(result)
                return upstream, None
            case BegunStream():
                return upstream, self._relay_begun_stream(result, request, upstream)

    def _attempt_start(self, request: Request, upstream: Upstream) -> AttemptResult:
        """Send to one upstream, and read a whole answer or the start of a stream."""
        try:
            connection = self._pool.acquire(upstream, request.deadline_ms, fresh=False)
        except NotConnected as error:
            return FailedAttempt(_not_sent(error))
        result: AttemptResult | None = None
        body_begun = False
        try:
            if not self._send_request(connection, request, upstream):
                return FailedAttempt(_OVERDUE)
            answer = self._read_checked_answer(connection, request, upstream)
            body_begun = isinstance(answer, ResponseHead) and not _is_stream(answer)
            result = self._read_start(connection, request, answer)
        except ConnectionBroken as error:
            closed = isinstance(error, ConnectionClosed) and not body_begun
            return FailedAttempt(Broken(str(error), closed=closed))
        finally:
            if result is None:
                connection.close()
            elif not isinstance(result, BegunStream):
                kept_until_ms = self._pool.release(upstream, connection)
                self._race_kept_until_ms[upstream.id] = kept_until_ms
        return result

    def _read_start(
        self,
        connection: ClientConnection,
        request: Request,
        answer: ResponseHead | Declined,
    ) -> AttemptResult:
        if isinstance(answer, Declined):
            return FailedAttempt(answer)
        if _is_stream(answer):
            return _read_first_events(connection, request, answer)
        complete = CompleteAnswer(
            answer, connection.read_whole_body(request.deadline_ms)
        )
        if answer.status < FIRST_SERVER_ERROR_STATUS:
            return complete
        self._failed_answer = complete
        return FailedAttempt(Errored())

    def _relay_begun_stream(
        self, begun: BegunStream, request: Request, upstream: Upstream
    ) -> Failure | None:
        """Forward a stream from its first events on; return the failure, if any."""
        connection, self._events = begun.connection, begun.splitter
        answer_read = False
        moved = None
        try:
            if begun.events:
                self._caller.stream(
                    begun.answer, begun.events, self._http_request.version
                )
                moved = self._relay_stream(
                    connection, begun.answer, request, upstream, self._machine.clock()
                )
            else:
                self._end_stream(begun.answer)
            answer_read = moved is None
        except ConnectionBroken as error:
            return Broken(str(error), closed=isinstance(error, ConnectionClosed))
        finally:
            if answer_read:
                self.kept_until_ms = self._pool.release(upstream, connection)
            else:
                connection.close()
        return moved

    def _skip_rejection_body(
        self, connection: ClientConnection, request: Request
    ) -> str:
        """Read the body of a rejection; return why it did not end, empty if it did.

        A connection whose answer did not end is not reused.
        """
        end_ms = self._machine.clock() + REJECTION_BODY_TIMEOUT_MS
        try:
            connection.read_whole_body(
                min(end_ms, request.deadline_ms), max_bytes=REJECTION_BODY_BYTES
            )
        except ConnectionBroken as error:
            return str(error)
        return ""

    def _read_own_answer(
        self, connection: ClientConnection, request: Request, upstream: Upstream
    ) -> tuple[ResponseHead, AnswerFields]:
        """Return the answer to this request; skip late answers to earlier requests.

        On a connection that was used before, an answer without an id may be a late
        copy of an earlier one; a rejection too, so it does not show what was not run.
        """
        head_only = self._http_request.method == b"HEAD"
        for _ in range(MAX_OTHER_ANSWERS + 1):
            answer = connection.read_head(request.deadline_ms, head_request=head_only)
            fields = self._header_codec.answer_fields(answer)
            own = fields.request_id == request.request_id
            sent_ms = request.sent_at_ms if own else None
            self._machine.record_answer(upstream, fields, sent_ms)
            if connection.was_used and fields.request_id is None:
                raise ConnectionBroken("an answer without an id on a used connection")
            if fields.request_id in (None, request.request_id):
                return answer, fields
            connection.read_whole_body(request.deadline_ms)
        raise ConnectionBroken(f"{MAX_OTHER_ANSWERS} answers to other requests")

    def _relay_stream(
        self,
        connection: ClientConnection,
        answer: ResponseHead,
        request: Request,
        upstream: Upstream,
        last_ms: int = 0,
    ) -> Moved | None:
        """Forward the events of a stream, up to where it is to be moved, if so.

        ``last_ms`` is when the last event arrived, 0 before the first.
        """
        read: Callable[[], bytes] = lambda: connection.read_body(  # noqa: E731
            request.deadline_ms
        )
        for data in iter(read, b""):
            events = self._events.feed(data)
            if self._events.is_too_long:
                raise ConnectionBroken("an event of the stream is too long")
            if self._events.is_repeated:
                raise ConnectionBroken("the stream was resumed at an earlier event")
            if events:
                now_ms = self._machine.clock()
                if last_ms:
                    self._machine.record_gap(upstream, now_ms - last_ms)
                else:
                    self._machine.dispatch(ResponseStarted(now_ms, request.ticket))
                last_ms = now_ms
                self._caller.stream(answer, events, self._http_request.version)
                if self._events.may_resume and should_move(
                    self._machine.state, request.ticket, now_ms
                ):
                    return Moved()
        self._end_stream(answer)
        return None

    def _end_stream(self, answer: ResponseHead) -> None:
        if not self._events.is_complete:
            raise ConnectionBroken("the stream ended within an event")
        if self._events.rest or not self._caller.streaming:
            self._caller.stream(answer, self._events.rest, self._http_request.version)
        self._caller.end_stream()

    def _forward(self, complete: CompleteAnswer) -> None:
        head_only = self._http_request.method == b"HEAD"
        self._caller.forward(complete.answer, complete.body, head_only)


def _not_sent(error: NotConnected) -> NotSent:
    return NotSent(str(error), refused=isinstance(error, ConnectionRefused))


def _is_stream(answer: ResponseHead) -> bool:
    content_type = answer.header(b"content-type") or b""
    return answer.status in SUCCESS_STATUSES and content_type.startswith(
        b"text/event-stream"
    )


def _read_first_events(
    connection: ClientConnection, request: Request, answer: ResponseHead
) -> BegunStream:
    splitter = EventSplitter()
    while data := connection.read_body(request.deadline_ms):
        events = splitter.feed(data)
        if splitter.is_too_long:
            raise ConnectionBroken("an event of the stream is too long")
        if events:
            return BegunStream(connection, answer, splitter, events)
    if not splitter.is_complete:
        raise ConnectionBroken("the stream ended within an event")
    return BegunStream(connection, answer, splitter, b"")


def _problem(refusal: Refuse, status: int, headers: list[Header]) -> bytes:
    """Return a problem document for the caller, and add its type to the headers."""
    if not refusal.kind.advice:
        return b""
    headers.append((b"content-type", b"application/problem+json"))
    return msgspec.json.encode(
        {
            "title": str(refusal.kind),
            "status": status,
            "detail": refusal.kind.advice,
            "ran": "unknown" if refusal.ran else "no",
        }
    )
