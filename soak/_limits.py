"""Check that entries together keep to the limits that runners name."""

from bisect import bisect_left
from collections.abc import Iterator

from fakes.runners import Arrival
from soak._notices import History, was_disturbed

WINDOW_MS = 4_000
SETTLE_MS = 3_000  # after a limit is first named
EXCESS_RATIO, EXCESS_REQUESTS = 1.5, 5


def find_excess_over_limits(history: History) -> Iterator[str]:
    """Yield each runner that got more than its limit while it named one."""
    for runner, arrivals in history.arrivals:
        named = [arrival for arrival in arrivals if arrival.limit_per_s is not None]
        if not named:
            continue
        first_ms, last_ms = named[0].at_ms, named[-1].at_ms
        counted = [arrival for arrival in arrivals if first_ms <= arrival.at_ms]
        times_ms = [arrival.at_ms for arrival in counted]
        for from_ms in times_ms:
            to_ms = from_ms + WINDOW_MS
            if not first_ms + SETTLE_MS <= from_ms or to_ms > last_ms:
                continue
            window = counted[
                bisect_left(times_ms, from_ms) : bisect_left(times_ms, to_ms)
            ]
            excess = _excess(history, runner, window, from_ms, to_ms)
            if excess > 0:
                yield f"{runner}: {excess:.1f} requests more than its limit allows"
                break


def _excess(
    history: History, runner: str, window: list[Arrival], from_ms: int, to_ms: int
) -> float:
    """Return the excess in a window; disturbed entries do not count."""
    rates = [arrival.limit_per_s for arrival in window]
    if None in rates or was_disturbed(history, {runner}, from_ms - SETTLE_MS, to_ms):
        return 0.0
    counted = [
        arrival
        for arrival in window
        if arrival.request_id in history.sent
        and not was_disturbed(
            history,
            {history.sent[arrival.request_id].entry},
            from_ms - SETTLE_MS,
            to_ms,
        )
    ]
    allowed = EXCESS_RATIO * max(rates) * WINDOW_MS / 1_000 + EXCESS_REQUESTS
    return len(counted) - allowed
