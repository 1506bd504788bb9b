"""Track requests and end each with one final answer."""

from nutmegslip_decisions import routing, work
from nutmegslip_decisions.entry._events import Complete, EntryEffect, Fail
from nutmegslip_decisions.entry._state import EntryState, Request
from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.process import Send
from nutmegslip_decisions.work import FailureKind, Ran

Step = tuple[EntryState, tuple[EntryEffect, ...]]

#: Failures that prove that no attempt with the same key has run this request.
_FINAL_FOR_KEY = frozenset({FailureKind.NOT_RUN, FailureKind.KEY_REUSED})


def put(state: EntryState, request: Request) -> EntryState:
    """Return the state with a request added or replaced."""
    return state._replace(requests=state.requests.set(request.request_id, request))


def complete(
    state: EntryState,
    request_id: str,
    answer: tuple[int, str, bytes],
    now_ms: Millis,
) -> Step:
    """End a request with its full answer."""
    request = state.requests.get(request_id)
    if request is None:
        return state, ()
    state = _forget(state, request, now_ms)
    log_event = LogEvent(
        LogEventKind.REQUEST_ANSWERED, request_id, (("status", answer[0]),)
    )
    return state, (Complete(request_id, *answer), log_event)


def fail(
    state: EntryState,
    request_id: str,
    kind: FailureKind,
    ran: Ran,
    now_ms: Millis,
    retry_after_ms: int,
    detail: str,
) -> Step:
    """End a request with an error immediately.

    ``ran`` covers only the last refusal; an earlier attempt, or an earlier request
    with the same idempotency key, may still have run.
    """
    request = state.requests.get(request_id)
    if request is None:
        return state, ()
    if _may_have_run(request, kind):
        ran = Ran.UNKNOWN
    cancels = cancel_effects(request)
    state = _forget(state, request, now_ms)
    fields = (("kind", str(kind)), ("ran", str(ran)), ("detail", detail))
    log_event = LogEvent(LogEventKind.REQUEST_FAILED, request_id, fields)
    failed = Fail(request_id, kind, ran, retry_after_ms, detail)
    return state, (failed, log_event, *cancels)


def abandon(state: EntryState, request_id: str, now_ms: Millis) -> Step:
    """Drop a request whose caller has disconnected, and cancel its attempt."""
    request = state.requests.get(request_id)
    if request is None:
        return state, ()
    cancels = cancel_effects(request)
    state = _forget(state, request, now_ms)
    return state, (LogEvent(LogEventKind.CALLER_GONE, request_id), *cancels)


def end_attempt(
    state: EntryState, request: Request, event: routing.RoutingEvent
) -> EntryState:
    """Return the state without the current attempt of a request."""
    state = state._replace(
        attempts=state.attempts.delete(request.attempt),
        routing=routing.reduce(state.routing, event)[0],
    )
    return put(state, request._replace(attempt=""))


def request_of(state: EntryState, attempt_id: str) -> Request | None:
    """Return the request whose current attempt has the given id, if any."""
    request_id = state.attempts.get(attempt_id)
    return state.requests.get(request_id) if request_id else None


def _forget(state: EntryState, request: Request, now_ms: Millis) -> EntryState:
    if request.attempt:
        ended = routing.RequestEnded(now_ms, request.host)
        state = end_attempt(state, request, ended)
    return state._replace(
        requests=state.requests.delete(request.request_id),
        ended_requests=(*state.ended_requests, request.request_id),
        changed_workloads=state.changed_workloads | {request.workload.name},
    )


def _may_have_run(request: Request, kind: FailureKind) -> bool:
    if request.workload.repeatable:
        return request.may_have_run or bool(request.attempt)
    return kind not in _FINAL_FOR_KEY


def cancel_effects(request: Request) -> tuple[EntryEffect, ...]:
    """Return the effects that cancel the current attempt, if there is one."""
    if not request.attempt:
        return ()
    return (Send(request.host, work.Cancel(request.attempt)),)
