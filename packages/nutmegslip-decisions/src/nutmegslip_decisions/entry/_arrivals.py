"""Admit a caller's request, or answer it with a refusal at once."""

from expression import Error, Ok, Result

from nutmegslip_decisions import limits, routing
from nutmegslip_decisions.entry import _attempts, _once
from nutmegslip_decisions.entry._events import (
    CallerArrived,
    EntryEffect,
    Fail,
)
from nutmegslip_decisions.entry._requests import fail, put
from nutmegslip_decisions.entry._state import EntryState, Request
from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_decisions.model import HostState, Millis, Role, Workload
from nutmegslip_decisions.process import (
    Send,
)
from nutmegslip_decisions.work import FailureKind, Ran, remedy_of

Step = tuple[EntryState, tuple[EntryEffect, ...]]

_FAILURES = {
    limits.RefusalKind.UNKNOWN_WORKLOAD: FailureKind.UNKNOWN_WORKLOAD,
    limits.RefusalKind.ACCOUNT_LIMIT: FailureKind.ACCOUNT_LIMIT,
    limits.RefusalKind.WORKLOAD_LIMIT: FailureKind.OVERLOADED,
    limits.RefusalKind.OVERLOADED: FailureKind.OVERLOADED,
    limits.RefusalKind.QUEUE_TIMEOUT: FailureKind.OVERLOADED,
}


def arrive(state: EntryState, arrived: CallerArrived) -> Step:
    """Check a request against the catalogue and offer it for admission."""
    match _checked(state, arrived):
        case Result(tag="error", error=kind):
            failed = Fail(
                arrived.request_id, kind, _ran(arrived, kind), 0, remedy_of(kind)
            )
            return state, (failed, _failed_note(failed))
        case Result(tag="ok", ok=request):
            state = put(state, request)
            offered = limits.RequestOffered(
                now_ms=arrived.now_ms,
                request_id=arrived.request_id,
                workload=arrived.workload,
                request_class=request.workload.request_class,
                account=request.account,
                deadline_ms=request.deadline_ms,
            )
            fields = (("workload", arrived.workload), ("account", request.account))
            note = LogEvent(LogEventKind.REQUEST_ARRIVED, arrived.request_id, fields)
            room = state._replace(room_changed=state.room_changed | {arrived.workload})
            state, admitted = catch_up(room, arrived.now_ms)
            state, effects = limit(state, offered)
            return state, (note, *admitted, *effects)


def limit(state: EntryState, event: limits.LimitsEvent) -> Step:
    """Let admission take an event, and act on what it decides."""
    admission, effects = limits.reduce(state.limits, event)
    state = state._replace(limits=admission)
    done: list[EntryEffect] = []
    for effect in effects:
        match effect:
            case limits.Send(host, message):
                done.append(Send(host, message))
            case limits.Admit(request_id):
                state, more = _admit(state, request_id, event.now_ms)
                done += more
            case limits.Refuse(request_id, refusal):
                state, more = _refuse(state, request_id, refusal, event.now_ms)
                done += more
    return state, tuple(done)


def catch_up(state: EntryState, now_ms: Millis) -> Step:
    """Tell admission which requests have ended and where room has changed."""
    entries = max(1, len(state.limits.entries))
    ended, changed = state.ended, sorted(state.room_changed)
    state = state._replace(ended=(), room_changed=frozenset())
    done: list[EntryEffect] = []
    for request_id in ended:
        state, more = limit(state, limits.RequestDone(now_ms, request_id))
        done += more
    for workload in changed:
        free = routing.headroom(state.routing, workload, entries)
        state, more = limit(state, limits.HeadroomChanged(now_ms, workload, free))
        done += more
    return state, tuple(done)


def _checked(state: EntryState, arrived: CallerArrived) -> Result[Request, FailureKind]:
    catalogue = state.sync.catalogue_in_force
    account = state.accounts_by_token.get(arrived.token_sha256)
    workload = catalogue.workloads.get(arrived.workload)
    if state.stopping:
        return Error(FailureKind.STOPPING)
    if account is None:
        return Error(FailureKind.UNAUTHENTICATED)
    if workload is None:
        return Error(FailureKind.UNKNOWN_WORKLOAD)
    if not workload.repeatable and not arrived.idempotency_key:
        return Error(FailureKind.KEY_MISSING)
    deadline_ms = _deadline_ms(state, arrived, workload)
    return Ok(Request(workload, account, arrived, deadline_ms))


def _ran(arrived: CallerArrived, kind: FailureKind) -> Ran:
    """Return what is known of a request that was not looked at any further."""
    repeated = kind is FailureKind.STOPPING and arrived.idempotency_key
    return Ran.UNKNOWN if repeated else Ran.NO


def _deadline_ms(
    state: EntryState, arrived: CallerArrived, workload: Workload
) -> Millis:
    timeouts = (workload.timeout_ms, arrived.timeout_ms or workload.timeout_ms)
    margin_ms = state.options.answer_margin_ms
    return arrived.now_ms + max(min(timeouts) - margin_ms, 0)


def _admit(state: EntryState, request_id: str, now_ms: Millis) -> Step:
    request = state.requests.get(request_id)
    if request is None:
        return state, ()
    state = put(state, request._replace(admitted=True))
    if not request.workload.repeatable:
        return _once.submit(state, request, _unwanted(state, request), now_ms)
    return _attempts.place(state, request_id, now_ms)


def _refuse(
    state: EntryState, request_id: str, refusal: limits.Refusal, now_ms: Millis
) -> Step:
    kind = _FAILURES[refusal.kind]
    retry_after_ms = refusal.retry_after_ms
    return fail(
        state, request_id, kind, Ran.NO, now_ms, retry_after_ms, refusal.message
    )


def _unwanted(state: EntryState, request: Request) -> frozenset[str]:
    """Return the sidecars of a workload that take no new work."""
    catalogue = state.sync.catalogue_in_force
    return frozenset(
        host.name
        for host in state.sync.roster.hosts.values()
        if host.role is Role.SIDECAR
        and request.arrived.workload in host.workloads
        and not (
            host.state is HostState.LIVE and catalogue.takes_work(host.name, host.zone)
        )
    )


def _failed_note(fail: Fail) -> LogEvent:
    fields = (("kind", str(fail.kind)), ("ran", str(fail.ran)))
    return LogEvent(LogEventKind.REQUEST_FAILED, fail.request_id, fields)
