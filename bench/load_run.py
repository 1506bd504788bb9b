"""Offer load for a time, at a rate or with a number of waiting callers."""

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
    """Send requests at random times of a given mean rate, whatever is waiting."""
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
    """Keep a number of callers waiting, each sending again at once."""
    numbers = itertools.count(first_number)
    end_s = time.monotonic() + seconds
    samples: list[Sample] = []

    def call() -> None:
        while time.monotonic() < end_s:
            samples.append(client.send(next(numbers), seed))

    gevent.joinall([gevent.spawn(call) for _ in range(concurrency)])
    return samples


def _arrivals(rate: float, end_s: float, seed: int, first_number: int) -> Iterator[int]:
    """Yield request numbers, each when its time has come."""
    rng = random.Random(seed + first_number)
    due_s = time.monotonic()
    for number in itertools.count(first_number):
        due_s += rng.expovariate(rate)
        if due_s >= end_s:
            return
        gevent.sleep(max(0.0, due_s - time.monotonic()))
        yield number
