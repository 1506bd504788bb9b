"""Run the attempts of a request that may be repeated."""

from nutmegslip_decisions import limits, retries, routing, work
from nutmegslip_decisions.entry._answers import handle_finished
from nutmegslip_decisions.entry._events import EntryEffect
from nutmegslip_decisions.entry._reports import apply_report
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
#: Refusals of a sidecar that takes no requests, or none of this entry or workload.
_RETRY_ELSEWHERE = frozenset(
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


def dispatch(state: EntryState, request_id: str, now_ms: Millis) -> Step:
    """Choose an upstream for a request and send an attempt there."""
    request = state.requests[request_id]
    routing_request = routing.Request(
        workload=request.workload.name,
        request_class=request.workload.request_class,
        account=request.account,
        prefixes=request.arrived.prefixes,
        excluded=request.tried,
    )
    chosen, result = routing.choose(state.routing, routing_request, now_ms)
    state = state._replace(routing=chosen)
    if result.is_error():
        return _handle_no_upstream(state, request, result.error, now_ms)
    return _send_attempt(state, request, result.ok, now_ms)


def receive(
    state: EntryState, host: str, message: work.WorkMessage, now_ms: Millis
) -> Step:
    """Handle a sidecar's message about its load or one of this entry's attempts."""
    match message:
        case work.LoadReport():
            return apply_report(state, host, message, now_ms)
        case work.Finished():
            return handle_finished(state, message, now_ms)
        case work.Refused(attempt_id, kind, retry_after_ms):
            event = routing.RequestRefused(now_ms, host, retry_after_ms)
            if kind in _RETRY_ELSEWHERE:
                return _retry_elsewhere(state, attempt_id, event)
            return fail_attempt(
                state, attempt_id, Ran.NO, event, str(kind), retry_after_ms
            )
        case work.Failed(attempt_id, ran, detail):
            event = routing.RequestFailed(now_ms, host)
            return fail_attempt(state, attempt_id, ran, event, detail)
    return state, ()


def handle_deadlines(state: EntryState, now_ms: Millis) -> Step:
    """Start the attempts that are due; fail requests past their deadline."""
    entry_effects: list[EntryEffect] = []
    overdue = [r for r in state.requests.values() if r.deadline_ms <= now_ms]
    for request in sorted(overdue, key=lambda request: request.request_id):
        # The at-most-once reducer ends requests that must not be repeated.
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
            entry_effects += more
    due = sorted(
        request.request_id
        for request in state.requests.values()
        if request.retry_at_ms is not None and request.retry_at_ms <= now_ms
    )
    for request_id in due:
        state, more = dispatch(state, request_id, now_ms)
        entry_effects += more
    return state, tuple(entry_effects)


def _send_attempt(
    state: EntryState, request: Request, host: str, now_ms: Millis
) -> Step:
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
        deadline_ms=request.deadline_ms + state.clock_offsets[host].offset_ms,
        resume_from=request.assembly.next_number,
    )
    log_event = LogEvent(
        LogEventKind.ATTEMPT_SENT, arrived.request_id, (("upstream", host),)
    )
    return state, (Send(host, submit), log_event)


def _handle_no_upstream(
    state: EntryState, request: Request, no_upstream: routing.NoUpstream, now_ms: Millis
) -> Step:
    waits = no_upstream.kind is routing.NoUpstreamKind.ALL_BUSY and not request.attempts
    if waits:
        return _requeue(state, request, now_ms)
    kind = _NO_UPSTREAM[no_upstream.kind]
    retry_after_ms = max(no_upstream.retry_after_ms, RETRY_AFTER_MS)
    return fail(
        state,
        request.request_id,
        kind,
        Ran.NO,
        now_ms,
        retry_after_ms,
        no_upstream.message,
    )


def _requeue(state: EntryState, request: Request, now_ms: Millis) -> Step:
    """Return a request to the queue of its workload."""
    state = put(state, request._replace(admitted=False))
    returned = limits.RequestReturned(now_ms, request.request_id)
    admission, effects = limits.reduce(state.limits, returned)
    state = state._replace(limits=admission)
    entry_effects: list[EntryEffect] = []
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
                entry_effects += more
    return state, tuple(entry_effects)


def fail_attempt(
    state: EntryState,
    attempt_id: str,
    ran: Ran,
    event: routing.RoutingEvent,
    detail: str,
    retry_after_ms: int = 0,
) -> Step:
    """Retry at another host or end the request; ``ran`` is about this attempt."""
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
    log_event = LogEvent(LogEventKind.ATTEMPT_FAILED, request.request_id, fields)
    state, more = _act_on_retry(state, request, effects[0], event.now_ms)
    return state, (log_event, *more)


def _retry_elsewhere(
    state: EntryState, attempt_id: str, event: routing.RequestRefused
) -> Step:
    """Try another upstream because this entry's view of the sidecar was stale.

    Such a refusal costs an upstream nothing, so it spends no retry budget. Each
    upstream is tried once.
    """
    request = request_of(state, attempt_id)
    if request is None:
        return state, ()
    state = end_attempt(state, request, event)
    return dispatch(state, request.request_id, event.now_ms)


def _act_on_retry(
    state: EntryState, request: Request, effect: retries.RetryEffect, now_ms: Millis
) -> Step:
    match effect:
        case retries.Retry(request_id, retry_at_ms):
            state = put(state, request._replace(retry_at_ms=retry_at_ms))
            if retry_at_ms > now_ms:
                return state, ()
            return dispatch(state, request_id, now_ms)
        case retries.GiveUp(request_id, _, ran, retry_after_ms):
            not_run = ran is Ran.NO
            kind = FailureKind.OVERLOADED if not_run else FailureKind.CUT_OFF
            return fail(
                state,
                request_id,
                kind,
                ran,
                now_ms,
                retry_after_ms,
                effect.message,
            )
