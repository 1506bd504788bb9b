"""Choose the upstream of a request.

Answers the pattern in which several entries send to the same few upstreams, whose
slots are the scarce thing: the least loaded of a few drawn ones by what all entries
have in hand. Were it the least loaded of all, every entry would send there until the
next reports come. Cold upstreams are held to their rate and failing ones avoided for
a while.
"""

from collections import Counter
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

import xxhash

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._groups import is_usable
from nutmegslip_decisions.direct._state import Standing, State
from nutmegslip_decisions.direct._types import Request, Service, Upstream
from nutmegslip_decisions.model import Millis

DRAWN = 12  # a sixth of 72: some two of the 13 sends between reports meet


class Room(NamedTuple):
    """Tell what an upstream has in hand over all entries, and its slots."""

    upstream: Upstream
    in_hand: int

    @property
    def load(self) -> float:
        """Return the share of slots that are taken."""
        return self.in_hand / self.upstream.slots

    @property
    def is_full(self) -> bool:
        """Return whether every slot is taken."""
        return self.in_hand >= self.upstream.slots


class Capacity(NamedTuple):
    """Tell what a service can take now.

    ``rooms`` are the upstreams that may be sent a request, of groups that have an
    open slot; ``slots`` counts the open slots of all that may be used, taken or not.
    """

    rooms: tuple[Room, ...]
    slots: float


def choose(
    state: State, capacity: Capacity, request: Request, now_ms: Millis
) -> Upstream | None:
    """Return the least loaded upstream with a free slot, or None to wait."""
    rooms = [
        room
        for room in capacity.rooms
        if room.upstream.id not in request.tried and not room.is_full
    ]
    if not rooms:
        return None
    trusted = [room for room in rooms if not _avoided(state, room.upstream, now_ms)]
    return _least_loaded(trusted or rooms, request).upstream


def capacity_of(state: State, service: str, now_ms: Millis) -> Capacity:
    """Return what a service can take now."""
    cold_limit = cold_share(state, service)
    open_shares = load_of(state, service).open_shares
    slots: Counter[str] = Counter()
    taken: Counter[str] = Counter()
    rooms: list[Room] = []
    for upstream, standing in _usable(state, service, now_ms):
        in_hand = standing.in_hand + state.elsewhere.get(upstream.id, 0)
        slots[upstream.group] += upstream.slots
        taken[upstream.group] += in_hand
        if cold_limit is None or standing.sent.count(now_ms) < cold_limit:
            rooms.append(Room(upstream, in_hand))
    open_slots = {
        group: count * open_shares.get(group, 1.0) for group, count in slots.items()
    }
    free = {group for group, count in open_slots.items() if taken[group] < count}
    return Capacity(
        tuple(room for room in rooms if room.upstream.group in free),
        sum(open_slots.values()),
    )


def cold_share(state: State, service: str) -> int | None:
    """Return this entry's share of what a cold upstream bears in a second.

    None where the service has no cold start. The share holds for warm upstreams
    too, since one may turn cold without notice.
    """
    published = _service(state, service)
    if published is None or published.cold_per_s <= 0:
        return None
    options = state.options
    bound = published.cold_per_s * options.cold_multiplier + options.cold_slack
    return max(1, int(bound / state.entries()))


def _usable(
    state: State, service: str, now_ms: Millis
) -> Iterable[tuple[Upstream, Standing]]:
    for upstream_id in state.by_service.get(service, ()):
        upstream = state.upstreams[upstream_id]
        if upstream.leaving or upstream.zone in state.zones_out:
            continue
        if not is_usable(state, upstream, now_ms):
            continue
        yield upstream, state.standing(upstream_id)


def _service(state: State, service: str) -> Service | None:
    return state.configuration and state.configuration.services.get(service)


def _avoided(state: State, upstream: Upstream, now_ms: Millis) -> bool:
    return state.standing(upstream.id).avoid_until_ms > now_ms


def _least_loaded(rooms: list[Room], request: Request) -> Room:
    # Drawn by the request's id, so that entries neither draw nor break ties alike.
    draw = Random(xxhash.xxh3_64_intdigest(request.request_id.encode()))
    drawn = draw.sample(rooms, min(DRAWN, len(rooms)))
    return min(drawn, key=lambda room: room.load)
