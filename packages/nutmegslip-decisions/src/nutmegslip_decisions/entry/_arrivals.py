"""Admit a caller's request or refuse it immediately."""

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


def handle_arrival(state: EntryState, arrived: CallerArrived) -> Step:
    """Validate a request against the catalogue and offer it for admission."""
    match _validated(state, arrived):
        case Result(tag="error", error=kind):
            failed = Fail(
                arrived.request_id, kind, _ran(arrived, kind), 0, remedy_of(kind)
            )
            return state, (failed, _failure_log_event(failed))
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
            log_event = LogEvent(
                LogEventKind.REQUEST_ARRIVED, arrived.request_id, fields
            )
            changed = state._replace(
                changed_workloads=state.changed_workloads | {arrived.workload}
            )
            state, admitted = update_admission(changed, arrived.now_ms)
            state, effects = apply_limits_event(state, offered)
            return state, (log_event, *admitted, *effects)


def apply_limits_event(state: EntryState, event: limits.LimitsEvent) -> Step:
    """Apply an event to admission and handle its decisions."""
    admission, effects = limits.reduce(state.limits, event)
    state = state._replace(limits=admission)
    entry_effects: list[EntryEffect] = []
    for effect in effects:
        match effect:
            case limits.Send(host, message):
                entry_effects.append(Send(host, message))
            case limits.Admit(request_id):
                state, more = _admit(state, request_id, event.now_ms)
                entry_effects += more
            case limits.Refuse(request_id, refusal):
                state, more = _refuse(state, request_id, refusal, event.now_ms)
                entry_effects += more
    return state, tuple(entry_effects)


def update_admission(state: EntryState, now_ms: Millis) -> Step:
    """Report ended requests and changed headroom to admission."""
    entries = max(1, len(state.limits.entries))
    ended_requests, changed_workloads = (
        state.ended_requests,
        sorted(state.changed_workloads),
    )
    state = state._replace(ended_requests=(), changed_workloads=frozenset())
    entry_effects: list[EntryEffect] = []
    for request_id in ended_requests:
        state, more = apply_limits_event(state, limits.RequestDone(now_ms, request_id))
        entry_effects += more
    for workload in changed_workloads:
        free = routing.headroom(state.routing, workload, entries)
        state, more = apply_limits_event(
            state, limits.HeadroomChanged(now_ms, workload, free)
        )
        entry_effects += more
    return state, tuple(entry_effects)


def _validated(
    state: EntryState, arrived: CallerArrived
) -> Result[Request, FailureKind]:
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
    """Return whether a request that was rejected on arrival may have run."""
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
        return _once.submit(
            state, request, _unavailable_sidecars(state, request), now_ms
        )
    return _attempts.dispatch(state, request_id, now_ms)


def _refuse(
    state: EntryState, request_id: str, refusal: limits.Refusal, now_ms: Millis
) -> Step:
    kind = _FAILURES[refusal.kind]
    retry_after_ms = refusal.retry_after_ms
    return fail(
        state, request_id, kind, Ran.NO, now_ms, retry_after_ms, refusal.message
    )


def _unavailable_sidecars(state: EntryState, request: Request) -> frozenset[str]:
    """Return the sidecars of the workload that take no new requests."""
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


def _failure_log_event(fail: Fail) -> LogEvent:
    fields = (("kind", str(fail.kind)), ("ran", str(fail.ran)))
    return LogEvent(LogEventKind.REQUEST_FAILED, fail.request_id, fields)
