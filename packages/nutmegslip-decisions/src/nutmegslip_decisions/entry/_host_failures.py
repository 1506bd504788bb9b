"""Fail the attempts at lost hosts, so that they resume at other hosts."""

from nutmegslip_decisions import routing, work
from nutmegslip_decisions.entry import _attempts
from nutmegslip_decisions.entry._events import EntryEffect
from nutmegslip_decisions.entry._state import EntryState
from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.process import Send
from nutmegslip_decisions.work import Ran

Step = tuple[EntryState, tuple[EntryEffect, ...]]


def fail_host(state: EntryState, host: str, now_ms: Millis) -> Step:
    """Fail every attempt at an unreachable host."""
    lost = sorted(
        attempt_id
        for attempt_id, request_id in state.attempts.items()
        if state.requests[request_id].host == host
    )
    entry_effects: list[EntryEffect] = []
    for attempt_id in lost:
        event = routing.RequestFailed(now_ms, host)
        state, more = _attempts.fail_attempt(
            state, attempt_id, Ran.UNKNOWN, event, "link lost"
        )
        entry_effects += more
    return state, tuple(entry_effects)


def fail_stale_hosts(state: EntryState, now_ms: Millis) -> Step:
    """Fail the attempts at upstreams whose load reports are stale.

    A frozen process keeps its links open and is detected only by its missing
    reports. The attempts are also cancelled, in case the process resumes.
    """
    stale = sorted(
        {
            request.host
            for request in state.requests.values()
            if request.attempt and _is_stale(state, request.host, now_ms)
        }
    )
    entry_effects: list[EntryEffect] = []
    for host in stale:
        entry_effects += _cancel_attempts(state, host)
        state, more = fail_host(state, host, now_ms)
        entry_effects += more
    return state, tuple(entry_effects)


def fail_unsent_attempt(state: EntryState, attempt_id: str, now_ms: Millis) -> Step:
    """Fail an attempt whose message was never sent."""
    request_id = state.attempts.get(attempt_id)
    if request_id is None:
        return state, ()
    event = routing.RequestFailed(now_ms, state.requests[request_id].host)
    return _attempts.fail_attempt(state, attempt_id, Ran.NO, event, "no link")


def _is_stale(state: EntryState, host: str, now_ms: Millis) -> bool:
    upstream = state.routing.upstreams.get(host)
    return upstream is not None and upstream.report_deadline_ms <= now_ms


def _cancel_attempts(state: EntryState, host: str) -> tuple[EntryEffect, ...]:
    requests = state.requests.values()
    at_host = sorted(r.attempt for r in requests if r.attempt and r.host == host)
    return tuple(Send(host, work.Cancel(attempt_id)) for attempt_id in at_host)
