"""Report the upstream's load to the linked entries."""

from nutmegslip_decisions import gate, work
from nutmegslip_decisions.model import Millis, Role
from nutmegslip_decisions.process import Send
from nutmegslip_decisions.sidecar._events import SidecarEffect
from nutmegslip_decisions.sidecar._state import SentReport, SidecarState

Step = tuple[SidecarState, tuple[SidecarEffect, ...]]


def report(state: SidecarState, now_ms: Millis) -> Step:
    """Send a load report to each linked entry for which one is due."""
    entries = [host for host in sorted(state.links) if _is_entry(state, host)]
    due = [
        (host, load)
        for host in entries
        if _is_due(
            state.reports.get(host), load := _load(state, host, len(entries)), now_ms
        )
    ]
    sent: list[SidecarEffect] = []
    for host, load in due:
        state, message = _next_report(state, host, load, now_ms)
        sent.append(Send(host, message))
    return state, tuple(sent)


def remove_peer(state: SidecarState, host: str) -> SidecarState:
    """Return the state without a host whose link is down."""
    reports = state.reports
    if host in reports:
        reports = reports.delete(host)
    return state._replace(links=state.links - {host}, reports=reports)


def _next_report(
    state: SidecarState,
    host: str,
    load: tuple[int, int, bool, int, bool],
    now_ms: Millis,
) -> tuple[SidecarState, work.LoadReport]:
    options = state.options
    sent_report = SentReport(
        load,
        now_ms + options.min_report_interval_ms,
        now_ms + options.report_interval_ms,
    )
    state = state._replace(reports=state.reports.set(host, sent_report))
    return state, work.LoadReport(options.incarnation, now_ms, *load)


def _is_due(
    last: SentReport | None, load: tuple[int, int, bool, int, bool], now_ms: Millis
) -> bool:
    if last is None or now_ms >= last.due_ms:
        return True
    return load != last.load and now_ms >= last.changed_due_ms


def _load(
    state: SidecarState, entry: str, entries: int
) -> tuple[int, int, bool, int, bool]:
    gate_state = state.gate
    own = sum(attempt.entry == entry for attempt in state.attempts.values())
    in_hand = len(gate_state.running) + len(gate_state.waiting)
    free = gate.free_slots(gate_state)
    # Shares are rounded up, so that a single free slot is offered to every entry; the
    # gate refuses any excess.
    credits = -(-free // entries) if free else 0
    takes_work = gate_state.takes_work and not gate_state.draining
    return in_hand, own, gate_state.cold, credits, takes_work


def _is_entry(state: SidecarState, host: str) -> bool:
    listed = state.sync.roster.hosts.get(host)
    return listed is not None and listed.role is Role.ENTRY
