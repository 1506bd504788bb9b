"""Apply sidecars' reports about their upstreams and clocks."""

from nutmegslip_decisions import routing, work
from nutmegslip_decisions.entry._events import EntryEffect
from nutmegslip_decisions.entry._state import ClockOffset, EntryState
from nutmegslip_decisions.model import Millis

Step = tuple[EntryState, tuple[EntryEffect, ...]]


def apply_report(
    state: EntryState, host: str, report: work.LoadReport, now_ms: Millis
) -> Step:
    """Apply one load report."""
    event = routing.LoadReported(
        now_ms=now_ms,
        host=host,
        in_flight=report.in_hand,
        own_in_flight=report.own,
        # A cold upstream without credits receives no requests.
        cold=report.cold or not report.takes_work,
        credits=report.credits if report.takes_work else 0,
    )
    state = state._replace(
        routing=routing.reduce(state.routing, event)[0],
        clock_offsets=state.clock_offsets.set(
            host, _clock_offset(state.clock_offsets.get(host), report, now_ms)
        ),
    )
    upstream = state.routing.upstreams.get(host)
    if upstream is None or not state.limits.waiting:
        # Headroom is computed again when a request arrives.
        return state, ()
    changed = state.changed_workloads.union(upstream.workloads)
    return state._replace(changed_workloads=changed), ()


def _clock_offset(
    known: ClockOffset | None, report: work.LoadReport, now_ms: Millis
) -> ClockOffset:
    offset_ms = report.clock_ms - now_ms
    if known is not None and known.incarnation == report.incarnation:
        # The report with the shortest delay gives the tightest bound.
        offset_ms = max(offset_ms, known.offset_ms)
    return ClockOffset(report.incarnation, offset_ms)
