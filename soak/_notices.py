"""Check that entries heed what runners say: that they leave, or want a pause."""

import math
from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from fakes.runners import Arrival
from soak._guarantees import ReceivedResponse, SentRequest

DRAIN_S = 2.0  # in which a leaving runner still gets requests
MAX_REQUESTS_IN_PAUSE = 2
PAUSE_GRACE_MS = 500  # from the rejection, for requests that are under way


class Disturbance(NamedTuple):
    """A time in which an entry, or the link of a runner, was disturbed."""

    name: str
    started_ms: int
    ended_ms: float = math.inf


class History(NamedTuple):
    """What callers, runners and the site have recorded."""

    sent: dict[str, SentRequest]
    received: list[ReceivedResponse]
    runs: Counter[str]
    arrivals: list[tuple[str, list[Arrival]]]
    disturbances: list[Disturbance]


def find_ignored_notices(history: History) -> Iterator[str]:
    """Yield each request that a leaving or paused runner should not have got."""
    passed_on_ms = {
        response.sent.request_id: response.received_ms
        for response in history.received
        if response.status == 200 and history.runs[response.sent.request_id] == 1
    }
    for runner, arrivals in history.arrivals:
        by_entry: dict[str, list[Arrival]] = {}
        for arrival in arrivals:
            if arrival.own and arrival.request_id in history.sent:
                entry = history.sent[arrival.request_id].entry
                by_entry.setdefault(entry, []).append(arrival)
        for entry, found in by_entry.items():
            yield from _sent_to_leaving(history, entry, found, passed_on_ms)
            yield from _sent_in_pause(history, {entry, runner}, found)


def _sent_to_leaving(
    history: History, entry: str, arrivals: list[Arrival], passed_on_ms: dict[str, int]
) -> Iterator[str]:
    told_ms = min(
        (
            passed_on_ms[arrival.request_id]
            for arrival in arrivals
            if arrival.leaving and arrival.request_id in passed_on_ms
        ),
        default=None,
    )
    if told_ms is None:
        return
    for arrival in arrivals:
        sent_ms = history.sent[arrival.request_id].sent_ms
        late = sent_ms > told_ms + DRAIN_S * 1_000
        if late and not was_disturbed(history, {entry}, told_ms, arrival.at_ms):
            yield (
                f"{arrival.request_id}: sent to a runner {sent_ms - told_ms} ms after"
                f" {entry} had passed on that it leaves"
            )


def _sent_in_pause(
    history: History, names: set[str], arrivals: list[Arrival]
) -> Iterator[str]:
    for asked in arrivals:
        end_ms = asked.at_ms + asked.pause_ms
        early = [
            arrival
            for arrival in arrivals
            if asked.at_ms + PAUSE_GRACE_MS < arrival.at_ms < end_ms
        ]
        # A disturbed link may have lost the rejection.
        if len(early) > MAX_REQUESTS_IN_PAUSE and not was_disturbed(
            history, names, asked.at_ms, end_ms
        ):
            yield (
                f"{early[0].request_id}: one of {len(early)} requests of one entry to a"
                " runner in the pause that it had asked for"
            )


def was_disturbed(
    history: History, names: set[str], started_ms: int, ended_ms: int
) -> bool:
    """Return whether one of the named was disturbed in a time."""
    return any(
        item.name in names
        and item.started_ms <= ended_ms
        and item.ended_ms >= started_ms
        for item in history.disturbances
    )
