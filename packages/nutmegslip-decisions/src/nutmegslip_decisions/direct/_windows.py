"""Count events in sliding windows without storing each event."""

from typing import NamedTuple

from nutmegslip_decisions.model import Millis


class Window(NamedTuple):
    """Event counts by time bucket; ``buckets`` holds (number, count), oldest first."""

    bucket_ms: int
    length_ms: int
    buckets: tuple[tuple[int, int], ...] = ()

    def add(self, now_ms: Millis) -> "Window":
        """Return the window with one more event, without expired buckets."""
        bucket = now_ms // self.bucket_ms
        kept = tuple(pair for pair in self.buckets if pair[0] >= self._oldest(now_ms))
        if kept and kept[-1][0] == bucket:
            return self._replace(buckets=(*kept[:-1], (bucket, kept[-1][1] + 1)))
        return self._replace(buckets=(*kept, (bucket, 1)))

    def count(self, now_ms: Millis) -> int:
        """Return an upper bound on the events of the last ``length_ms``."""
        oldest = self._oldest(now_ms)
        return sum(count for bucket, count in self.buckets if bucket >= oldest)

    def count_within(self, now_ms: Millis) -> int:
        """Return a lower bound on the events of the last ``length_ms``."""
        oldest = self._oldest(now_ms)
        return sum(count for bucket, count in self.buckets if bucket > oldest)

    def _oldest(self, now_ms: Millis) -> int:
        return (now_ms - self.length_ms) // self.bucket_ms
