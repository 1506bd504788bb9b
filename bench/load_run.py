"""Offer load for some time, open loop at a rate or closed loop with callers."""

import itertools
import random
import time
from collections.abc import Iterator

import gevent
from gevent.pool import Pool

from bench.load_client import LoadClient, Sample


def offer_rate(
    client: LoadClient, rate: float, seconds: float, seed: int, first_number: int
) -> list[Sample]:
    """Send requests in an open loop: Poisson arrivals at a mean rate."""
    pool = Pool()
    start = time.monotonic()
    sent = [
        pool.spawn(client.send, number, seed)
        for number in _arrivals(rate, start + seconds, seed, first_number)
    ]
    pool.join()
    return [greenlet.get() for greenlet in sent]


def offer_concurrency(
    client: LoadClient, concurrency: int, seconds: float, seed: int, first_number: int
) -> list[Sample]:
    """Send requests in a closed loop: each caller sends its next one at once."""
    numbers = itertools.count(first_number)
    end_s = time.monotonic() + seconds
    samples: list[Sample] = []

    def call() -> None:
        while time.monotonic() < end_s:
            samples.append(client.send(next(numbers), seed))

    gevent.joinall([gevent.spawn(call) for _ in range(concurrency)])
    return samples


def _arrivals(rate: float, end_s: float, seed: int, first_number: int) -> Iterator[int]:
    """Yield request numbers, each at its arrival time."""
    rng = random.Random(seed + first_number)
    due_s = time.monotonic()
    for number in itertools.count(first_number):
        due_s += rng.expovariate(rate)
        if due_s >= end_s:
            return
        gevent.sleep(max(0.0, due_s - time.monotonic()))
        yield number
