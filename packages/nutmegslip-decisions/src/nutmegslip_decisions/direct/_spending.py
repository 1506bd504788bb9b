"""Remember over restarts what entries have spent of the retry budget.

Answers the load pattern in which entries are killed or restarted while upstreams fail:
each new process starts with empty windows and would spend its share of the budget
once more. Its peers remember what earlier processes at its address have spent, and
report it. A new process retries nothing until it has heard from a peer that knows, or
until what it cannot know has left the budget window. It then informs others in turn, so
that the memory survives a restart of all entries one after the other.
"""

from immutables import Map

from nutmegslip_decisions.direct._state import Informed, PeerReport, State
from nutmegslip_decisions.direct._types import EndedProcess, SpendingReport
from nutmegslip_decisions.model import Millis

MAX_REPORTED_ENDS = 32  # keeps a report within one datagram
SETTLE_MS = 500  # from a start on; the peers have then heard of the new process
MAX_REPORT_DELAY_MS = 1_000  # a longer one prolongs what is remembered
INFORM_MS = 2_000  # a silent peer is remembered as ended well within it


def with_spending_report(
    state: State,
    peer: str,
    old: PeerReport | None,
    new: SpendingReport,
    now_ms: Millis,
) -> State:
    """Take over what a peer reports; remember the process that it has replaced."""
    ended = state.ended
    if old is not None and old.spending.process != new.process:
        ended = _with_ended(ended, peer, old)
    window_ms = state.options.retry_window_ms
    for process, told in new.ended.items():
        in_window = told.ended_ms + window_ms > now_ms
        if in_window and _is_news(ended.get(process), told):
            ended = ended.set(process, told)
    if ended is not state.ended:
        state = state._replace(ended=ended)
    if not new.informs or now_ms < state.process.started_ms + SETTLE_MS:
        return state
    first_ms = state.informed.first_ms if state.informed else now_ms
    return state._replace(informed=Informed(first_ms, now_ms))


def with_silent_peer(state: State, peer: str, report: PeerReport) -> State:
    """Remember what a peer has spent that may have ended."""
    return state._replace(ended=_with_ended(state.ended, peer, report))


def without_expired_ends(state: State, now_ms: Millis) -> State:
    """Forget ended processes whose retries have left the budget window.

    They are kept for the delay of a report longer, so that what others still tell is
    no news.
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
        _informs(state, now_ms),
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
    return _outlasts_window(state, now_ms) or state.informed is not None


def _informs(state: State, now_ms: Millis) -> bool:
    """Return whether this entry knows of all processes that ended in the window.

    What ended before it was first informed, its peers had remembered when it last was;
    what ended later, it has heard itself.
    """
    if _outlasts_window(state, now_ms):
        return True
    informed = state.informed
    return informed is not None and informed.last_ms >= informed.first_ms + INFORM_MS


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


def _is_news(old: EndedProcess | None, told: EndedProcess) -> bool:
    """Return whether a peer has heard an ended process later than this entry.

    Reports carry ages, so what is told looks newer by the delay of the report.
    """
    return old is None or told.ended_ms > old.ended_ms + MAX_REPORT_DELAY_MS
