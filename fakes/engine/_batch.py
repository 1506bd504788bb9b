"""Run requests in continuous batches; a step gives each a chunk of tokens."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

import gevent
from gevent.event import Event
from gevent.queue import Queue

from fakes._serving import now_ms
from fakes.engine._cache import PrefixCache, blocks_of
from fakes.engine._tokens import text_of
from fakes.engine._warmup import Warmup


class Options(NamedTuple):
    """Speed, limits and delays of an engine.

    A step takes ``step_ms`` plus ``slowdown_us`` for each request in it.
    ``lose_event_every`` drops every n-th cache event; zero drops none.
    """

    step_ms: float = 10.0
    slowdown_us: int = 0
    max_batch: int = 256
    tokens_per_chunk: int = 1
    prefill_blocks_per_step: int = 8
    cold_limit: int = 2
    warm_after_ms: int = 0
    warm_after_requests: int = 1_000_000
    fall_ms: int = 1_000
    load_lag_ms: int = 200
    cache_blocks: int = 4_096
    cache_lag_ms: int = 200
    lose_event_every: int = 0
    check_fencing: bool = False
    order_ms: int = 0


class EndReason(StrEnum):
    """Reason why a run ended."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    DROPPED = "dropped"


@dataclass(eq=False)
class Run:
    """One accepted request; ``chunks`` yields its text, then an ``EndReason``."""

    id: str
    prompt: str
    resume_from: int
    max_tokens: int
    priority: int
    at_ms: int
    epoch: int
    warm: bool
    cached_blocks: int
    prefill_steps: int
    next_index: int
    ended: EndReason | None = None
    chunks: Queue = field(default_factory=Queue, repr=False)


class RefusedError(Exception):
    """The engine refused a request and ran none of it."""


class Engine:
    """A fake engine that accepts, runs, cancels and drops requests."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.warmup = Warmup(
            options.cold_limit, options.warm_after_ms, options.warm_after_requests
        )
        self.cache = PrefixCache(
            options.cache_blocks, options.cache_lag_ms, options.lose_event_every
        )
        self.runs: list[Run] = []
        self.slow_factor = 1.0
        self._in_flight: list[Run] = []
        self._has_work = Event()
        self.warmup.turn_cold(now_ms())
        gevent.spawn(self._step_forever)

    @property
    def in_flight(self) -> int:
        """Return the number of accepted requests that have not ended."""
        return len(self._in_flight)

    @property
    def running(self) -> int:
        """Return the number of requests that run in a step."""
        return min(self.in_flight, self.options.max_batch)

    def accept(
        self, id: str, prompt: str, resume_from: int, max_tokens: int, priority: int
    ) -> Run:
        """Accept a request; lower priority values run first.

        Raises ``RefusedError`` while the engine is down. A cold engine crashes
        when it gets more requests than its limit, and drops all in flight.
        """
        now = now_ms()
        if self.warmup.is_down(now):
            raise RefusedError("the engine is down after a crash")
        if not self.warmup.admits(self.in_flight, now):
            self._drop_all()
            self.warmup.crash(now + self.options.fall_ms, now)
            raise RefusedError("the cold engine got more requests than its limit")
        blocks = blocks_of(prompt)
        cached = len(self.cache.cached_prefix(blocks))
        run = Run(
            id=id,
            prompt=prompt,
            resume_from=resume_from,
            max_tokens=max_tokens,
            priority=priority,
            at_ms=now,
            epoch=self.warmup.epoch,
            warm=self.warmup.is_warm(now),
            cached_blocks=cached,
            prefill_steps=-(
                -(len(blocks) - cached) // self.options.prefill_blocks_per_step
            ),
            next_index=resume_from,
        )
        self.cache.store(blocks, now)
        self.runs.append(run)
        self._in_flight.append(run)
        self._has_work.set()
        return run

    def cancel(self, id: str) -> bool:
        """End a request by its id; return whether it was in flight."""
        matching = [run for run in self._in_flight if run.id == id]
        for run in matching:
            self.end(run, EndReason.CANCELLED)
        return bool(matching)

    def end(self, run: Run, reason: EndReason) -> None:
        """End a run; do nothing if it has already ended."""
        if run.ended is not None:
            return
        run.ended = reason
        self._in_flight.remove(run)
        run.chunks.put(reason)

    def turn_cold(self) -> None:
        """Turn cold without notice: new epoch, empty cache, all requests dropped."""
        self._drop_all()
        self.cache.clear()
        self.warmup.turn_cold(now_ms())

    def _drop_all(self) -> None:
        for run in list(self._in_flight):
            self.end(run, EndReason.DROPPED)

    def _step_forever(self) -> None:
        while True:
            self._has_work.wait()
            batch = sorted(self._in_flight, key=lambda run: run.priority)
            batch = batch[: self.options.max_batch]
            gevent.sleep(self._step_s(len(batch)))
            for run in batch:
                self._advance(run)
            if not self._in_flight:
                self._has_work.clear()

    def _step_s(self, size: int) -> float:
        step_ms = self.options.step_ms + self.options.slowdown_us * size / 1_000
        return step_ms * self.slow_factor / 1_000

    def _advance(self, run: Run) -> None:
        if run.ended is not None:
            return
        if run.prefill_steps > 0:
            run.prefill_steps -= 1
            return
        stop = min(run.max_tokens, run.next_index + self.options.tokens_per_chunk)
        run.chunks.put(text_of(run.prompt, run.next_index, stop))
        run.next_index = stop
        if stop >= run.max_tokens:
            self.warmup.finish_request()
            self.end(run, EndReason.FINISHED)
