"""Entries before upstreams that name how many requests a second they take."""

from bisect import bisect_left
from typing import NamedTuple

from nutmegslip_decisions.direct import Refuse, Send, UpstreamLimited
from tests.retry_budget_world import BEGIN_MS, Fleet, Load

LIMIT_WINDOW_MS = 4_000
SETTLE_MS = 3_000  # after a limit is first named
EXCESS_RATIO, EXCESS_REQUESTS = 1.5, 5
HEALTHY = Load(fail_share=0.0)


class Naming(NamedTuple):
    """The rate that an upstream names in a time, from the start of the load on."""

    upstream: str
    from_ms: int
    to_ms: int
    per_s: float


class LimitedFleet(Fleet):
    """Entries whose upstreams name limits; ``run`` plays a load."""

    def __init__(
        self,
        seed: int,
        namings: tuple[Naming, ...],
        load: Load = HEALTHY,
        entries: int = 6,
    ) -> None:
        super().__init__(seed, load, entries)
        self.namings = namings
        self.sent_ms: dict[str, list[int]] = {u.id: [] for u in self.upstreams}
        self.refused_ms: list[int] = []

    def named_rate(self, upstream_id: str, at_ms: int) -> float | None:
        """Return the rate that an upstream names at a time."""
        since_ms = at_ms - self.begin_ms
        return next(
            (
                naming.per_s
                for naming in self.namings
                if naming.upstream == upstream_id
                and naming.from_ms <= since_ms < naming.to_ms
            ),
            None,
        )

    def limit_excess(self) -> float:
        """Return the greatest excess over a named limit in any window."""
        return max(
            (
                excess
                for upstream_id, times in self.sent_ms.items()
                for excess in self._excesses(upstream_id, times)
            ),
            default=0.0,
        )

    def sent_between(self, upstream_id: str, from_ms: int, to_ms: int) -> int:
        """Count requests to an upstream; times are from the start of the load."""
        times = self.sent_ms[upstream_id]
        start, end = self.begin_ms + from_ms, self.begin_ms + to_ms
        return bisect_left(times, end) - bisect_left(times, start)

    def _excesses(self, upstream_id, times):
        named = [n for n in self.namings if n.upstream == upstream_id]
        if not named:
            return
        settled_ms = self.begin_ms + min(n.from_ms for n in named) + SETTLE_MS
        for from_ms in times:
            to_ms = from_ms + LIMIT_WINDOW_MS
            rates = [
                self.named_rate(upstream_id, at_ms)
                for at_ms in range(from_ms - LIMIT_WINDOW_MS, to_ms + 1, 100)
            ]
            if from_ms < settled_ms or None in rates:
                continue
            count = bisect_left(times, to_ms) - bisect_left(times, from_ms)
            allowed = EXCESS_RATIO * max(rates) * LIMIT_WINDOW_MS / 1_000
            yield count - allowed - EXCESS_REQUESTS

    def _perform(self, number: int, effects: tuple) -> None:
        for effect in effects:
            match effect:
                case Send(_, upstream):
                    self.sent_ms[upstream.id].append(self.now_ms)
                case Refuse():
                    self.refused_ms.append(self.now_ms)
        super()._perform(number, effects)

    def _end_attempts(self) -> None:
        for attempt in self.attempts:
            if self.now_ms - attempt.sent_ms >= BEGIN_MS and not attempt.begun:
                self._tell_limit(attempt)
        super()._end_attempts()

    def _tell_limit(self, attempt) -> None:
        listed = next(u for u in self.upstreams if u.id == attempt.upstream_id)
        per_s = self.named_rate(listed.id, self.now_ms)
        known = self.entries[attempt.entry].state.limit_of(listed)
        if per_s is not None or known is not None:
            event = UpstreamLimited(self.now_ms, listed, per_s, attempt.sent_ms)
            self._take(attempt.entry, event)
