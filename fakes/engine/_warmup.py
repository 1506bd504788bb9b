"""Decide when a model engine is cold, warm or down."""

from typing import TypedDict


class Violation(TypedDict):
    """One request above the limit of a cold engine."""

    at_ms: int
    epoch: int
    in_hand: int
    limit: int


class Warmup:
    """Warm-up state of one engine; the epoch increases each time it turns cold."""

    def __init__(
        self, cold_limit: int, warm_after_ms: int, warm_after_requests: int
    ) -> None:
        self.epoch = 0
        self.violations: list[Violation] = []
        self._cold_limit = cold_limit
        self._warm_after_ms = warm_after_ms
        self._warm_after_requests = warm_after_requests
        self._cold_since_ms = 0
        self._finished = 0
        self._down_until_ms = 0

    def turn_cold(self, now_ms: int) -> None:
        """Start a new epoch, cold."""
        self.epoch += 1
        self._cold_since_ms = now_ms
        self._finished = 0

    def turn_warm(self) -> None:
        """Become warm immediately."""
        self._finished = self._warm_after_requests

    def finish_request(self) -> None:
        """Count a finished request towards warm-up."""
        self._finished += 1

    def is_down(self, now_ms: int) -> bool:
        """Return whether the engine refuses every request."""
        return now_ms < self._down_until_ms

    def is_warm(self, now_ms: int) -> bool:
        """Return whether enough time or finished requests have warmed the engine."""
        waited = now_ms - self._cold_since_ms >= self._warm_after_ms
        return waited or self._finished >= self._warm_after_requests

    def admits(self, in_flight: int, now_ms: int) -> bool:
        """Return whether one more request fits; record a violation if not."""
        if self.is_warm(now_ms) or in_flight < self._cold_limit:
            return True
        self.violations.append(
            Violation(
                at_ms=now_ms,
                epoch=self.epoch,
                in_hand=in_flight + 1,
                limit=self._cold_limit,
            )
        )
        return False

    def crash(self, until_ms: int, now_ms: int) -> None:
        """Refuse everything until a time, and be cold from then on."""
        self._down_until_ms = until_ms
        self.turn_cold(now_ms)
        self._cold_since_ms = until_ms
