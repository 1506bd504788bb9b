"""Queue requests of one workload by class and fairly between accounts."""

import itertools
from collections.abc import Iterator
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions.model import Millis, RequestClass


class Queued(NamedTuple):
    """One request that waits for an upstream."""

    request_id: str
    request_class: RequestClass
    account: str
    weight: int
    queue_deadline_ms: Millis


class Flow(NamedTuple):
    """The queued requests of one account and class, oldest first.

    ``virtual_start`` is the start tag of the first request in virtual time.
    """

    weight: int
    virtual_start: float
    requests: tuple[Queued, ...] = ()


class FairQueue(NamedTuple):
    """The queue of one workload and the capacity that is free for it.

    Start-time fair queueing: an account of twice the weight is served twice as
    often. ``flows`` is keyed by class and account, ``finish_times`` by account.
    ``free`` is the number of requests that may be admitted now. ``ended`` counts
    the requests that ended since the last sweep; ``drain_per_s`` is their
    smoothed rate while requests wait (``was_busy``), or zero if it is unknown.
    """

    free: int = 0
    virtual_time: float = 0.0
    flows: Map[tuple[RequestClass, str], Flow] = Map()
    finish_times: Map[str, float] = Map()
    length: int = 0
    ended: int = 0
    drain_per_s: float = 0.0
    was_busy: bool = False


def push(queue: FairQueue, queued: Queued, *, first: bool = False) -> FairQueue:
    """Return the queue with a request added, last or first of its account."""
    key = (queued.request_class, queued.account)
    flow = queue.flows.get(key)
    if flow is None:
        start = max(queue.virtual_time, queue.finish_times.get(queued.account, 0.0))
        flow = Flow(queued.weight, start)
    requests = (queued, *flow.requests) if first else (*flow.requests, queued)
    return queue._replace(
        flows=queue.flows.set(key, flow._replace(requests=requests)),
        length=queue.length + 1,
    )


def pop(queue: FairQueue) -> tuple[FairQueue, Queued]:
    """Pop the next request: highest class first, then earliest virtual start."""
    key = min(
        queue.flows,
        key=lambda k: (_CLASS_RANKS[k[0]], queue.flows[k].virtual_start, k[1]),
    )
    flow = queue.flows[key]
    finish = flow.virtual_start + 1 / flow.weight
    finish_times = queue.finish_times.set(key[1], finish)
    queue = queue._replace(
        virtual_time=max(queue.virtual_time, flow.virtual_start),
        finish_times=finish_times,
    )
    served = flow._replace(virtual_start=finish)
    return _without(queue, key, served, flow.requests[0]), flow.requests[0]


def remove(queue: FairQueue, queued: Queued) -> FairQueue:
    """Return the queue without one request that is in it."""
    key = (queued.request_class, queued.account)
    return _without(queue, key, queue.flows[key], queued)


def shed_candidate(queue: FairQueue) -> Queued:
    """Return the request to shed: the newest of the lowest class's longest flow."""
    key = max(
        queue.flows,
        key=lambda k: (
            _CLASS_RANKS[k[0]],
            len(queue.flows[k].requests) / queue.flows[k].weight,
            k[1],
        ),
    )
    return queue.flows[key].requests[-1]


def expected_wait_ms(queue: FairQueue, queued: Queued) -> int:
    """Return the expected wait of a new request, or zero if it is unknown.

    Higher classes go first. Accounts of the same class share by weight, so the
    long queue of one account does not delay the others.
    """
    if not queue.drain_per_s:
        return 0
    rank = _CLASS_RANKS[queued.request_class]
    flow = queue.flows.get((queued.request_class, queued.account))
    turns = (len(flow.requests) if flow else 0) + 1
    ahead = sum(
        len(other.requests)
        if _CLASS_RANKS[key[0]] < rank
        else min(len(other.requests), turns * other.weight / queued.weight)
        for key, other in queue.flows.items()
        if _CLASS_RANKS[key[0]] <= rank
        and key != (queued.request_class, queued.account)
    )
    return int((ahead + turns) * 1_000 / queue.drain_per_s)


def requests_of(queue: FairQueue) -> Iterator[Queued]:
    """Yield every queued request."""
    return itertools.chain.from_iterable(flow.requests for flow in queue.flows.values())


_CLASS_RANKS = {request_class: rank for rank, request_class in enumerate(RequestClass)}


def _without(
    queue: FairQueue, key: tuple[RequestClass, str], flow: Flow, queued: Queued
) -> FairQueue:
    requests = tuple(r for r in flow.requests if r.request_id != queued.request_id)
    flows = (
        queue.flows.set(key, flow._replace(requests=requests))
        if requests
        else queue.flows.delete(key)
    )
    queue = queue._replace(flows=flows, length=queue.length - 1)
    if flows:
        return queue
    return queue._replace(virtual_time=0.0, finish_times=Map())
