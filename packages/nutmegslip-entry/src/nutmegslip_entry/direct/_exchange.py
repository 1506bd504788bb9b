"""Carry one request from its caller to upstreams and the answer back."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from nutmegslip_decisions.direct import (
    AttemptFailed,
    Broken,
    CallerRequest,
    Declined,
    DeliverFailure,
    Errored,
    EventSplitter,
    Failure,
    NotSent,
    Refuse,
    Request,
    RequestArrived,
    RequestEnded,
    RequestKind,
    ResponseStarted,
    Send,
    Upstream,
)
from nutmegslip_entry.direct._callers import Caller
from nutmegslip_entry.direct._dialect import AnswerFields, CallerFields, Dialect
from nutmegslip_entry.direct._machine import Machine
from nutmegslip_entry.direct._pool import Pool
from nutmegslip_runtime.http1 import (
    ClientConnection,
    ConnectionBroken,
    Header,
    HttpRequest,
    NotConnected,
    ResponseHead,
    encode_request,
)

SEND_TIMEOUT_S = 1.0  # an upstream that takes no bytes for this long is gone
FIRST_FAILURE_STATUS = 500
SUCCESS = range(200, 300)


@dataclass(frozen=True, slots=True)
class _Whole:
    """Hold a whole answer of an upstream."""

    answer: ResponseHead
    body: bytes


class Exchanges:
    """Serve requests; one greenlet calls ``serve`` for each."""

    def __init__(
        self, machine: Machine, dialect: Dialect, pool: Pool, tickets: Iterator[int]
    ) -> None:
        self._machine = machine
        self._dialect = dialect
        self._pool = pool
        self._tickets = tickets

    def serve(self, caller: Caller, asked: HttpRequest) -> None:
        """Answer one request; raise CallerLeft where the caller does not wait."""
        fields = self._dialect.caller_fields(asked)
        if not fields.request_id:
            caller.answer(400, [], b"")
            return
        ticket = next(self._tickets)
        exchange = _Exchange(self._machine, self._dialect, self._pool, caller, asked)
        answered = False
        try:
            answered = exchange.run(self._arrival(ticket, fields, asked))
        finally:
            # Also where the caller left: whatever it held is free again.
            self._machine.take(RequestEnded(self._machine.clock(), ticket, answered))

    def _arrival(
        self, ticket: int, fields: CallerFields, asked: HttpRequest
    ) -> CallerRequest:
        wait_ms = fields.wait_ms
        host = (asked.header(b"host") or b"").decode("latin-1").lower()
        return CallerRequest(
            ticket=ticket,
            request_id=fields.request_id,
            host=host.rpartition(":")[0] if ":" in host else host,
            path=asked.target.split(b"?", 1)[0].decode("latin-1"),
            key=fields.key,
            caller_deadline_ms=(
                None if wait_ms is None else self._machine.clock() + wait_ms
            ),
        )


class _Exchange:
    """Hold what one request has been through."""

    def __init__(
        self,
        machine: Machine,
        dialect: Dialect,
        pool: Pool,
        caller: Caller,
        asked: HttpRequest,
    ) -> None:
        self._machine = machine
        self._dialect = dialect
        self._pool = pool
        self._caller = caller
        self._asked = asked
        self._events = EventSplitter()
        self._failed: _Whole | None = None

    def run(self, arrival: CallerRequest) -> bool:
        """Follow the reducer's steps; return whether an upstream answered."""
        machine = self._machine
        step = machine.ask(arrival.ticket, RequestArrived(machine.clock(), arrival))
        while True:
            match step:
                case Send(request, upstream):
                    failure = self._attempt(request, upstream)
                    if failure is None:
                        return True
                    failed = AttemptFailed(
                        machine.clock(),
                        request.ticket,
                        failure,
                        streaming=self._caller.streaming,
                    )
                    step = machine.ask(request.ticket, failed)
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
            late = arrival.caller_deadline_ms
            passed = late is not None and late <= self._machine.clock()
            status = 504 if passed else 502
        headers: list[Header] = self._dialect.refusal_headers(arrival.request_id)
        if refusal.retry_after_ms:
            seconds = b"%.3f" % (refusal.retry_after_ms / 1_000)
            headers.append((b"retry-after", seconds))
        self._caller.answer(status, headers, b"")

    def _deliver_failure(self) -> None:
        if self._caller.streaming or self._failed is None:
            self._caller.abort()
            return
        self._pass_on(self._failed)

    def _attempt(self, request: Request, upstream: Upstream) -> Failure | None:
        """Send to one upstream and pass its answer on; return how it failed."""
        route = request.route
        fresh = route.kind is RequestKind.NON_IDEMPOTENT
        try:
            channel = self._pool.take(upstream, request.deadline_ms, fresh=fresh)
        except NotConnected as error:
            return NotSent(str(error))
        whole = False
        try:
            if not self._write(channel, request, upstream):
                return NotSent("the deadline passed before it was sent")
            failure = self._read(channel, request, upstream)
            whole = True
        except ConnectionBroken as error:
            return Broken(str(error))
        finally:
            if whole:
                self._pool.give_back(upstream, channel)
            else:
                channel.close()
        return failure

    def _write(
        self, channel: ClientConnection, request: Request, upstream: Upstream
    ) -> bool:
        asked = self._asked
        left_ms = request.deadline_ms - self._machine.clock()
        if left_ms <= 0:
            return False  # the process was frozen since it decided to send
        headers = self._dialect.upstream_headers(
            asked, request, upstream, left_ms, self._events.last_id
        )
        data = encode_request(asked.method, asked.target, headers, asked.body)
        channel.send(data, SEND_TIMEOUT_S)
        return True

    def _read(
        self, channel: ClientConnection, request: Request, upstream: Upstream
    ) -> Failure | None:
        answer, fields = self._own_answer(channel, request)
        if fields.not_run:
            channel.read_whole_body(request.deadline_ms)
            return Declined(fields.misdirected, fields.at_fault)
        if answer.status in SUCCESS:
            if not fields.sealed or answer.header(b"content-encoding"):
                raise ConnectionBroken("a success that the upstream does not vouch for")
            kind = answer.header(b"content-type") or b""
            if kind.startswith(b"text/event-stream"):
                self._relay(channel, answer, request, upstream)
                return None
        elif self._caller.streaming:
            raise ConnectionBroken("the stream could not be resumed")
        self._machine.take(ResponseStarted(self._machine.clock(), request.ticket))
        whole = _Whole(answer, channel.read_whole_body(request.deadline_ms))
        if answer.status >= FIRST_FAILURE_STATUS:
            self._failed = whole
            return Errored()
        self._pass_on(whole)
        return None

    def _own_answer(
        self, channel: ClientConnection, request: Request
    ) -> tuple[ResponseHead, AnswerFields]:
        """Return the answer to this request; late ones to others are passed over."""
        headless = self._asked.method == b"HEAD"
        while True:
            answer = channel.read_head(request.deadline_ms, head_request=headless)
            fields = self._dialect.answer_fields(answer)
            if fields.request_id in (None, request.request_id):
                return answer, fields
            channel.read_whole_body(request.deadline_ms)

    def _relay(
        self,
        channel: ClientConnection,
        answer: ResponseHead,
        request: Request,
        upstream: Upstream,
    ) -> None:
        self._events.restart()
        last_ms = 0
        read: Callable[[], bytes] = lambda: channel.read_body(  # noqa: E731
            request.deadline_ms
        )
        for data in iter(read, b""):
            events = self._events.feed(data)
            if events:
                now_ms = self._machine.clock()
                if last_ms:
                    self._machine.measure_gap(upstream, now_ms - last_ms)
                else:
                    self._machine.take(ResponseStarted(now_ms, request.ticket))
                last_ms = now_ms
                self._caller.stream(answer, events, self._asked.version)
        if not self._events.is_complete:
            raise ConnectionBroken("the stream ended within an event")
        if not self._caller.streaming:
            self._caller.stream(answer, b"", self._asked.version)
        self._caller.end_stream()

    def _pass_on(self, whole: _Whole) -> None:
        headless = self._asked.method == b"HEAD"
        self._caller.pass_on(whole.answer, whole.body, headless)
