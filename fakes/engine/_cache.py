"""Cache prompt prefixes up to a capacity; report changes late and with gaps."""

from collections import OrderedDict
from itertools import accumulate
from typing import TypedDict

import xxhash

WORDS_PER_BLOCK = 16


class CacheEvent(TypedDict):
    """One stored or evicted block; sequence numbers may have gaps."""

    seq: int
    event: str
    block: str


def blocks_of(prompt: str) -> list[str]:
    """Return the chained hashes of a prompt's full blocks."""
    words = prompt.split()
    starts = range(0, len(words) - WORDS_PER_BLOCK + 1, WORDS_PER_BLOCK)
    parts = [" ".join(words[start : start + WORDS_PER_BLOCK]) for start in starts]
    chained = accumulate(parts, lambda head, part: _digest(head + part), initial="")
    return list(chained)[1:]


class PrefixCache:
    """Prefix cache with LRU eviction."""

    def __init__(self, capacity: int, lag_ms: int, lose_every: int) -> None:
        self._capacity = capacity
        self._lag_ms = lag_ms
        self._lose_every = lose_every
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: list[tuple[int, CacheEvent]] = []
        self._seq = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def cached_prefix(self, blocks: list[str]) -> list[str]:
        """Return the leading blocks that are cached."""
        cached = [index for index, block in enumerate(blocks) if block in self._blocks]
        leading = [index for position, index in enumerate(cached) if position == index]
        return blocks[: len(leading)]

    def store(self, blocks: list[str], now_ms: int) -> None:
        """Cache blocks as most recently used, evicting the least recently used."""
        for block in blocks:
            if block not in self._blocks:
                self._record_event("stored", block, now_ms)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._record_event("evicted", evicted, now_ms)

    def clear(self) -> None:
        """Drop every block without events, as a restart does."""
        self._blocks.clear()

    def events(self, after: int, now_ms: int) -> list[CacheEvent]:
        """Return the events after a sequence number that are older than the lag."""
        visible_until_ms = now_ms - self._lag_ms
        return [
            e for at, e in self._events if at <= visible_until_ms and e["seq"] > after
        ]

    def _record_event(self, event: str, block: str, now_ms: int) -> None:
        self._seq += 1
        if self._lose_every and self._seq % self._lose_every == 0:
            return
        cache_event = CacheEvent(seq=self._seq, event=event, block=block)
        self._events.append((now_ms, cache_event))


def _digest(text: str) -> str:
    return xxhash.xxh3_64_hexdigest(text.encode())
