"""Remember over restarts what entries have spent of the retry budget.

Answers the load pattern in which entries are killed or restarted while upstreams fail:
each new process starts with empty windows and would spend its share of the budget
once more. Its peers keep records of the retries of ended processes and report them. A
new process retries nothing until it has received complete records, or until a whole
budget window has passed. Its own records are complete soon after, so that they survive
a restart of all entries one after the other.
"""

from immutables import Map

from nutmegslip_decisions.direct._state import PeerReport, RecordsReceived, State
from nutmegslip_decisions.direct._types import EndedProcess, SpendingReport
from nutmegslip_decisions.model import Millis

MAX_REPORTED_ENDS = 32  # keeps a report within one datagram
SETTLE_MS = 500  # after a start; peers have received its first report by then
MAX_REPORT_DELAY_MS = 1_000  # with a longer delay, records are kept longer
COMPLETE_AFTER_MS = 2_000  # peers record a silent process as ended within it


def with_spending_report(
    state: State,
    peer: str,
    old: PeerReport | None,
    new: SpendingReport,
    now_ms: Millis,
) -> State:
    """Merge the records of a peer, and record the process that it has replaced."""
    ended = state.ended
    if old is not None and old.spending.process != new.process:
        ended = _with_ended(ended, peer, old)
    window_ms = state.options.retry_window_ms
    for process, reported in new.ended.items():
        in_window = reported.ended_ms + window_ms > now_ms
        if in_window and _is_later(reported, ended.get(process)):
            ended = ended.set(process, reported)
    if ended is not state.ended:
        state = state._replace(ended=ended)
    if not new.is_complete or now_ms < state.process.started_ms + SETTLE_MS:
        return state
    first_ms = state.records.first_ms if state.records else now_ms
    return state._replace(records=RecordsReceived(first_ms, now_ms))


def with_silent_peer(state: State, peer: str, report: PeerReport) -> State:
    """Record the retries of a peer whose process may have ended."""
    return state._replace(ended=_with_ended(state.ended, peer, report))


def without_expired_ends(state: State, now_ms: Millis) -> State:
    """Remove ended processes whose retries have left the budget window.

    Records are kept longer by the delay of a report, so that none is taken over from a
    peer again.
    """
    ended = state.ended
    lifetime_ms = state.options.retry_window_ms + MAX_REPORT_DELAY_MS
    for process, known in ended.items():
        if known.ended_ms + lifetime_ms <= now_ms:
            ended = ended.delete(process)
    return state if ended is state.ended else state._replace(ended=ended)


def spending_report(state: State, now_ms: Millis) -> SpendingReport:
    """Return what this entry reports of the retry budget."""
    latest = sorted(state.ended.items(), key=lambda item: -item[1].ended_ms)
    spent = {
        service: count
        for service, load in state.loads.items()
        if (count := load.retries.count(now_ms))
    }
    return SpendingReport(
        state.process.id,
        _has_complete_records(state, now_ms),
        Map(spent),
        Map(latest[:MAX_REPORTED_ENDS]),
    )


def ended_retries(state: State, service: str) -> int:
    """Return the retries that earlier processes of this entry sent in the window."""
    return sum(
        known.retries.get(service, 0)
        for process, known in state.ended.items()
        if known.peer == state.options.address and process != state.process.id
    )


def knows_earlier_retries(state: State, now_ms: Millis) -> bool:
    """Return whether it is known what earlier processes of this entry have spent."""
    return _outlasts_window(state, now_ms) or state.records is not None


def _has_complete_records(state: State, now_ms: Millis) -> bool:
    """Return whether all processes that ended in the budget window are recorded.

    Those that ended before complete records were first received are in the records
    received last; this entry has received reports of those that ended later.
    """
    if _outlasts_window(state, now_ms):
        return True
    received = state.records
    if received is None:
        return False
    return received.last_ms >= received.first_ms + COMPLETE_AFTER_MS


def _outlasts_window(state: State, now_ms: Millis) -> bool:
    process, window_ms = state.process, state.options.retry_window_ms
    return process.is_first or now_ms >= process.started_ms + window_ms


def _with_ended(
    ended: Map[int, EndedProcess], peer: str, report: PeerReport
) -> Map[int, EndedProcess]:
    if not report.spending.retries:
        return ended
    known = EndedProcess(peer, report.received_ms, report.spending.retries)
    process = report.spending.process
    return ended if ended.get(process) == known else ended.set(process, known)


def _is_later(reported: EndedProcess, known: EndedProcess | None) -> bool:
    """Return whether a reported record is later than the known one.

    Reports carry ages, so a reported time is later by the delay of the report.
    """
    return known is None or reported.ended_ms > known.ended_ms + MAX_REPORT_DELAY_MS
