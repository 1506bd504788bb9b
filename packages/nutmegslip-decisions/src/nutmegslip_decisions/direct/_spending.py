"""Remember over restarts what entries have spent of the retry budget.

Answers the load pattern in which entries are killed or restarted while upstreams fail:
each new process starts with empty windows and would spend its share of the budget
once more. Its peers remember what earlier processes at its address have spent, and
report it. A new process retries nothing until it has heard from a peer that is old
enough to know, or until what it cannot know has left the budget window.
"""

from immutables import Map

from nutmegslip_decisions.direct._state import PeerReport, State
from nutmegslip_decisions.direct._types import EndedProcess, SpendingReport
from nutmegslip_decisions.model import Millis

MAX_REPORTED_ENDS = 32  # keeps a report within one datagram
SETTLE_MS = 500  # from a start on; the peers have then heard of the new process


def with_spending_report(
    state: State, peer: str, old: PeerReport | None, new: SpendingReport
) -> State:
    """Take over what a peer reports; remember the process that it has replaced."""
    ended = state.ended
    if old is not None and old.spending.process != new.process:
        ended = _with_ended(ended, peer, old)
    for process, known in new.ended.items():
        ended = ended.set(process, _merged(ended.get(process), known))
    return state if ended is state.ended else state._replace(ended=ended)


def with_silent_peer(state: State, peer: str, report: PeerReport) -> State:
    """Remember what a peer has spent that may have ended."""
    return state._replace(ended=_with_ended(state.ended, peer, report))


def without_expired_ends(state: State, now_ms: Millis) -> State:
    """Forget ended processes whose retries have left the budget window."""
    ended = state.ended
    for process, known in ended.items():
        if known.ended_ms + state.options.retry_window_ms <= now_ms:
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
        state.process.started_ms,
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
    process, window_ms = state.process, state.options.retry_window_ms
    if process.is_first or now_ms >= process.started_ms + window_ms:
        return True
    return any(
        report.received_ms >= process.started_ms + SETTLE_MS
        and report.spending.started_ms + window_ms <= process.started_ms
        for report in state.peers.values()
        if report.spending.process
    )


def _with_ended(
    ended: Map[int, EndedProcess], peer: str, report: PeerReport
) -> Map[int, EndedProcess]:
    if not report.spending.retries:
        return ended
    known = EndedProcess(peer, report.received_ms, report.spending.retries)
    process = report.spending.process
    return ended.set(process, _merged(ended.get(process), known))


def _merged(old: EndedProcess | None, new: EndedProcess) -> EndedProcess:
    """Return the later of two entries' knowledge of a process."""
    return new if old is None or new.ended_ms > old.ended_ms else old
