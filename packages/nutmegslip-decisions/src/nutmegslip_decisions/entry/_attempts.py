"""Carry a request that may be repeated through its attempts."""

from nutmegslip_decisions import limits, retries, routing, work
from nutmegslip_decisions.entry._answers import take_end
from nutmegslip_decisions.entry._events import EntryEffect
from nutmegslip_decisions.entry._reports import take_report
from nutmegslip_decisions.entry._requests import end_attempt, fail, put, request_of
from nutmegslip_decisions.entry._state import EntryState, Request
from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_decisions.model import Millis, RequestClass
from nutmegslip_decisions.process import Send
from nutmegslip_decisions.work import FailureKind, Ran, RefusalKind, remedy_of

Step = tuple[EntryState, tuple[EntryEffect, ...]]

RETRY_AFTER_MS = 1_000
_PRIORITIES = {
    RequestClass.INTERACTIVE: 2,
    RequestClass.STANDARD: 1,
    RequestClass.BATCH: 0,
}
#: Refusals of a sidecar that takes no work from anyone, or not from this entry.
_AWAY = frozenset(
    {
        RefusalKind.DRAINING,
        RefusalKind.MARKED_OUT,
        RefusalKind.NO_LEASE,
        RefusalKind.UNKNOWN_PEER,
        RefusalKind.UNKNOWN_WORKLOAD,
    }
)
_NO_UPSTREAM = {
    routing.NoUpstreamKind.NOT_SERVED: FailureKind.NO_UPSTREAM,
    routing.NoUpstreamKind.ALL_OUT: FailureKind.NO_UPSTREAM,
    routing.NoUpstreamKind.ALL_TRIED: FailureKind.OVERLOADED,
    routing.NoUpstreamKind.ALL_BUSY: FailureKind.OVERLOADED,
}


def place(state: EntryState, request_id: str, now_ms: Millis) -> Step:
    """Choose an upstream for a request and send an attempt there."""
    request = state.requests[request_id]
    asked = routing.Request(
        workload=request.workload.name,
        request_class=request.workload.request_class,
        account=request.account,
        prefixes=request.arrived.prefixes,
        excluded=request.tried,
    )
    chosen, result = routing.choose(state.routing, asked, now_ms)
    state = state._replace(routing=chosen)
    if result.is_error():
        return _not_placed(state, request, result.error, now_ms)
    return _send(state, request, result.ok, now_ms)


def receive(
    state: EntryState, host: str, message: work.WorkMessage, now_ms: Millis
) -> Step:
    """Take a sidecar's message about one of this entry's attempts."""
    match message:
        case work.LoadReport():
            return take_report(state, host, message, now_ms)
        case work.Finished():
            return take_end(state, message, now_ms)
        case work.Refused(attempt_id, kind, retry_after_ms):
            event = routing.RequestRefused(now_ms, host, retry_after_ms)
            if kind in _AWAY:
                return _go_elsewhere(state, attempt_id, event)
            return attempt_failed(
                state, attempt_id, Ran.NO, event, str(kind), retry_after_ms
            )
        case work.Failed(attempt_id, ran, detail):
            event = routing.RequestFailed(now_ms, host)
            return attempt_failed(state, attempt_id, ran, event, detail)
    return state, ()


def act_on_deadlines(state: EntryState, now_ms: Millis) -> Step:
    """Start the attempts that are due; end the requests that are out of time."""
    done: list[EntryEffect] = []
    late = [r for r in state.requests.values() if r.deadline_ms <= now_ms]
    for request in sorted(late, key=lambda request: request.request_id):
        # A request that may not be repeated is ended by its own reducer.
        if request.workload.repeatable or not request.admitted:
            state, more = fail(
                state,
                request.request_id,
                FailureKind.DEADLINE,
                Ran.NO,
                now_ms,
                RETRY_AFTER_MS,
                remedy_of(FailureKind.DEADLINE),
            )
            done += more
    due = sorted(
        request.request_id
        for request in state.requests.values()
        if request.retry_at_ms is not None and request.retry_at_ms <= now_ms
    )
    for request_id in due:
        state, more = place(state, request_id, now_ms)
        done += more
    return state, tuple(done)


def _send(state: EntryState, request: Request, host: str, now_ms: Millis) -> Step:
    arrived = request.arrived
    attempt_id = f"{arrived.request_id}.{request.attempts}"
    if not request.attempts:
        started = retries.AttemptStarted(now_ms)
        state = state._replace(retries=retries.reduce(state.retries, started)[0])
    request = request._replace(
        attempts=request.attempts + 1,
        attempt=attempt_id,
        host=host,
        tried=request.tried | {host},
        retry_at_ms=None,
    )
    state = put(state, request)
    state = state._replace(attempts=state.attempts.set(attempt_id, arrived.request_id))
    submit = work.Submit(
        attempt_id=attempt_id,
        workload=request.workload.name,
        account=request.account,
        method=arrived.method,
        path=arrived.path,
        body=arrived.body,
        stream=arrived.stream,
        priority=_PRIORITIES[request.workload.request_class],
        deadline_ms=request.deadline_ms + state.clocks[host].offset_ms,
        resume_from=request.assembly.next_number,
    )
    note = LogEvent(
        LogEventKind.ATTEMPT_SENT, arrived.request_id, (("upstream", host),)
    )
    return state, (Send(host, submit), note)


def _not_placed(
    state: EntryState, request: Request, none: routing.NoUpstream, now_ms: Millis
) -> Step:
    waits = none.kind is routing.NoUpstreamKind.ALL_BUSY and not request.attempts
    if waits:
        return _wait_again(state, request, now_ms)
    kind = _NO_UPSTREAM[none.kind]
    retry_after_ms = max(none.retry_after_ms, RETRY_AFTER_MS)
    return fail(
        state, request.request_id, kind, Ran.NO, now_ms, retry_after_ms, none.message
    )


def _wait_again(state: EntryState, request: Request, now_ms: Millis) -> Step:
    """Put a request back into the queue of its workload."""
    state = put(state, request._replace(admitted=False))
    returned = limits.RequestReturned(now_ms, request.request_id)
    admission, effects = limits.reduce(state.limits, returned)
    state = state._replace(limits=admission)
    done: list[EntryEffect] = []
    for effect in effects:
        match effect:
            case limits.Refuse(request_id, refusal):
                state, more = fail(
                    state,
                    request_id,
                    FailureKind.OVERLOADED,
                    Ran.NO,
                    now_ms,
                    refusal.retry_after_ms,
                    refusal.message,
                )
                done += more
    return state, tuple(done)


def attempt_failed(
    state: EntryState,
    attempt_id: str,
    ran: Ran,
    event: routing.RoutingEvent,
    detail: str,
    retry_after_ms: int = 0,
) -> Step:
    """Try again elsewhere, or end the request; ``ran`` tells of this attempt."""
    request = request_of(state, attempt_id)
    if request is None:
        return state, ()
    request = request._replace(may_have_run=request.may_have_run or ran is not Ran.NO)
    state = end_attempt(state, request, event)
    request = state.requests[request.request_id]
    failed = retries.AttemptFailed(
        now_ms=event.now_ms,
        request_id=request.request_id,
        attempts=request.attempts,
        ran=ran,
        repeatable=request.workload.repeatable,
        deadline_ms=request.deadline_ms,
        retry_after_ms=retry_after_ms,
    )
    budget, effects = retries.reduce(state.retries, failed)
    state = state._replace(retries=budget)
    fields = (("upstream", request.host), ("ran", str(ran)), ("detail", detail))
    note = LogEvent(LogEventKind.ATTEMPT_FAILED, request.request_id, fields)
    state, more = _act_on_retry(state, request, effects[0], event.now_ms)
    return state, (note, *more)


def _go_elsewhere(
    state: EntryState, attempt_id: str, event: routing.RequestRefused
) -> Step:
    """Try another upstream; an entry's view of a sidecar was out of date.

    Such a refusal costs no upstream anything, so it spends no retry budget; each
    upstream is asked once.
    """
    request = request_of(state, attempt_id)
    if request is None:
        return state, ()
    state = end_attempt(state, request, event)
    return place(state, request.request_id, event.now_ms)


def _act_on_retry(
    state: EntryState, request: Request, effect: retries.RetryEffect, now_ms: Millis
) -> Step:
    match effect:
        case retries.Retry(request_id, retry_at_ms):
            state = put(state, request._replace(retry_at_ms=retry_at_ms))
            if retry_at_ms > now_ms:
                return state, ()
            return place(state, request_id, now_ms)
        case retries.GiveUp(request_id, _, ran, retry_after_ms):
            refused = ran is Ran.NO
            kind = FailureKind.OVERLOADED if refused else FailureKind.CUT_OFF
            return fail(
                state,
                request_id,
                kind,
                ran,
                now_ms,
                retry_after_ms,
                effect.message,
            )
