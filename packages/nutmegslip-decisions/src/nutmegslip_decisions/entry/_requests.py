"""Hold requests, and end each with one final answer."""

from nutmegslip_decisions import routing, work
from nutmegslip_decisions.entry._events import Complete, EntryEffect, Fail
from nutmegslip_decisions.entry._state import EntryState, Request
from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.process import Send
from nutmegslip_decisions.work import FailureKind, Ran

Step = tuple[EntryState, tuple[EntryEffect, ...]]

#: Only these tell of every request that has had the same idempotency key.
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
    """End a request with its whole answer."""
    request = state.requests.get(request_id)
    if request is None:
        return state, ()
    state = _forget(state, request, now_ms)
    note = LogEvent(LogEventKind.REQUEST_ANSWERED, request_id, (("status", answer[0]),))
    return state, (Complete(request_id, *answer), note)


def fail(
    state: EntryState,
    request_id: str,
    kind: FailureKind,
    ran: Ran,
    now_ms: Millis,
    retry_after_ms: int,
    detail: str,
) -> Step:
    """End a request without an answer, at once.

    ``ran`` is the word of whoever refused it last; an earlier attempt, or an
    earlier request with the same idempotency key, may still have run.
    """
    request = state.requests.get(request_id)
    if request is None:
        return state, ()
    if _may_have_run(request, kind):
        ran = Ran.UNKNOWN
    withdrawn = cancel(request)
    state = _forget(state, request, now_ms)
    fields = (("kind", str(kind)), ("ran", str(ran)), ("detail", detail))
    note = LogEvent(LogEventKind.REQUEST_FAILED, request_id, fields)
    failed = Fail(request_id, kind, ran, retry_after_ms, detail)
    return state, (failed, note, *withdrawn)


def abandon(state: EntryState, request_id: str, now_ms: Millis) -> Step:
    """Forget a request whose caller has hung up, and stop its attempt."""
    request = state.requests.get(request_id)
    if request is None:
        return state, ()
    withdrawn = cancel(request)
    state = _forget(state, request, now_ms)
    return state, (LogEvent(LogEventKind.CALLER_GONE, request_id), *withdrawn)


def end_attempt(
    state: EntryState, request: Request, event: routing.RoutingEvent
) -> EntryState:
    """Return the state without the attempt that a request had under way."""
    state = state._replace(
        attempts=state.attempts.delete(request.attempt),
        routing=routing.reduce(state.routing, event)[0],
    )
    return put(state, request._replace(attempt=""))


def request_of(state: EntryState, attempt_id: str) -> Request | None:
    """Return the request that has an attempt under way, if it still does."""
    request_id = state.attempts.get(attempt_id)
    return state.requests.get(request_id) if request_id else None


def _forget(state: EntryState, request: Request, now_ms: Millis) -> EntryState:
    if request.attempt:
        ended = routing.RequestEnded(now_ms, request.host)
        state = end_attempt(state, request, ended)
    return state._replace(
        requests=state.requests.delete(request.request_id),
        ended=(*state.ended, request.request_id),
        room_changed=state.room_changed | {request.workload.name},
    )


def _may_have_run(request: Request, kind: FailureKind) -> bool:
    if request.workload.repeatable:
        return request.may_have_run or bool(request.attempt)
    return kind not in _FINAL_FOR_KEY


def cancel(request: Request) -> tuple[EntryEffect, ...]:
    """Return what withdraws the attempt under way, if there is one."""
    if not request.attempt:
        return ()
    return (Send(request.host, work.Cancel(request.attempt)),)
