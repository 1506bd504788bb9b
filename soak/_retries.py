"""Check that the retries of all entries stay within the budget of each service."""

from bisect import bisect_left
from collections.abc import Iterator

from bench.entry_process import RetryLimits
from soak._notices import History, was_disturbed

RETRIES = RetryLimits(window_s=4, slack=12)
RATIO = 0.2
WINDOW_MS = RETRIES.window_s * 1_000
LATE_MS = 3_000  # for which a disturbed link may have held back what was sent


def find_excess_retries(history: History) -> Iterator[str]:
    """Yield each service that had more retries in some window than its budget."""
    streams = {r for r, sent in history.sent.items() if sent.kind == "stream"}
    for service, ids in (("model", streams), ("board", set(history.sent) - streams)):
        requests_ms = sorted(history.sent[request_id].sent_ms for request_id in ids)
        retries_ms = _retries_ms(history, ids)
        for from_ms in retries_ms:
            count = _count(retries_ms, from_ms)
            allowed = _allowed(requests_ms, from_ms)
            if count > allowed and not _was_held_back(history, from_ms):
                yield f"{service}: {count} retries in a window, {allowed:.1f} allowed"
                break


def _retries_ms(history: History, ids: set[str]) -> list[int]:
    """Return when requests arrived at runners again after their first arrival."""
    arrivals = sorted(
        (arrival.at_ms, arrival.request_id)
        for _, found in history.arrivals
        for arrival in found
        if arrival.request_id in ids
    )
    seen: set[str] = set()
    again = []
    for at_ms, request_id in arrivals:
        if request_id in seen:
            again.append(at_ms)
        seen.add(request_id)
    return again


def _allowed(requests_ms: list[int], from_ms: int) -> float:
    """Return the budget of a window; the one with the most requests counts."""
    starts_ms = (from_ms, from_ms - WINDOW_MS // 2, from_ms - WINDOW_MS)
    return RATIO * max(_count(requests_ms, at) for at in starts_ms) + RETRIES.slack


def _count(times_ms: list[int], from_ms: int) -> int:
    return bisect_left(times_ms, from_ms + WINDOW_MS) - bisect_left(times_ms, from_ms)


def _was_held_back(history: History, from_ms: int) -> bool:
    """Return whether a disturbed link may have moved arrivals into a window."""
    runners = {runner for runner, _ in history.arrivals}
    return was_disturbed(history, runners, from_ms - LATE_MS, from_ms + WINDOW_MS)
