"""Prompts with shared parts, one of which crashes each runner that answers it."""

from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from soak._guarantees import BAD_TARGET, SentRequest
from soak._notices import History, was_disturbed

BAD_PART = "bad"
ACCOUNT_PARTS, SUBJECT_PARTS = 3, 20
BAD_REQUEST_SEEDS, BAD_REQUEST_SHARE = 1 / 3, 0.03
ENDS_UNTIL_BOUND = 3
BAD_SHARE = 0.15  # of the streams, in the seeds that have any
STABLE_MS = 3_000
CRASHES_UNTIL_BOUND = 5
MAX_LATE_REQUESTS = 3
MIN_COMPARED = 20
MIN_SHARE_KEPT = 0.5


class Prompts(NamedTuple):
    """The prompts of a seed; half of the seeds have bad ones, a third a bad request."""

    has_bad: bool
    has_bad_request: bool = False

    @classmethod
    def of_seed(cls, seed: int) -> "Prompts":
        """Return the prompts of a seed; drawn apart from its schedule."""
        bad_request = Random(f"{seed}-requests").random() < BAD_REQUEST_SEEDS
        return cls(Random(f"{seed}-prompts").random() < 0.5, bad_request)

    def is_bad_request(self, rng: Random) -> bool:
        """Return whether a caller sends the request that ends runners."""
        return self.has_bad_request and rng.random() < BAD_REQUEST_SHARE

    def draw_parts(self, rng: Random) -> tuple[str, ...]:
        """Return the shared parts of one prompt."""
        account = f"account{rng.randrange(ACCOUNT_PARTS)}"
        if self.has_bad and rng.random() < BAD_SHARE:
            return account, BAD_PART
        return account, f"subject{rng.randrange(SUBJECT_PARTS)}"


def find_prompt_violations(history: History, crashes_ms: list[int]) -> Iterator[str]:
    """Yield what is wrong with the requests that had shared parts."""
    crashes_ms = sorted(crashes_ms)
    if not crashes_ms:
        return
    yield from _sent_after_bound(history, crashes_ms)
    last_ms = crashes_ms[:CRASHES_UNTIL_BOUND][-1]
    yield from _sound_not_served(history, crashes_ms[0], last_ms + 2 * STABLE_MS)


def find_request_violations(history: History, ends_ms: list[int]) -> Iterator[str]:
    """Yield a request that was sent on although it had ended three runners."""
    bad = {name for name, sent in history.sent.items() if sent.target == BAD_TARGET}
    late = _late(history, sorted(ends_ms), ENDS_UNTIL_BOUND, bad)
    if len(late) > MAX_LATE_REQUESTS:
        yield f"{late[0]}: one of {len(late)} requests that end runners"


def _sent_after_bound(history: History, crashes_ms: list[int]) -> Iterator[str]:
    bad = {name for name, sent in history.sent.items() if BAD_PART in sent.parts}
    late = _late(history, crashes_ms, CRASHES_UNTIL_BOUND, bad)
    if len(late) > MAX_LATE_REQUESTS:
        yield f"{late[0]}: one of {len(late)} requests with a part that crashes runners"


def _late(
    history: History, crashes_ms: list[int], until_bound: int, bad: set[str]
) -> list[str]:
    """Return the bad requests that arrived after the bound, from calm entries."""
    if len(crashes_ms) < until_bound:
        return []
    bound_ms = crashes_ms[until_bound - 1] + STABLE_MS
    return [
        arrival.request_id
        for _, arrivals in history.arrivals
        for arrival in arrivals
        if arrival.at_ms > bound_ms
        and arrival.request_id in bad
        and not was_disturbed(
            history,
            {history.sent[arrival.request_id].entry},
            arrival.at_ms - STABLE_MS,
            arrival.at_ms,
        )
    ]


def _sound_not_served(history: History, first_ms: int, from_ms: int) -> Iterator[str]:
    """Compare the sound streams before the first crash with those after the last."""
    before = [s for s in _sound_streams(history) if s.sent_ms < first_ms]
    after = [s for s in _sound_streams(history) if s.sent_ms > from_ms]
    if min(len(before), len(after)) < MIN_COMPARED:
        return
    shares = [
        sum(history.runs[sent.request_id] == 1 for sent in streams) / len(streams)
        for streams in (before, after)
    ]
    if shares[1] < MIN_SHARE_KEPT * shares[0]:
        yield f"sound streams begin at {shares[1]:.2f}, before at {shares[0]:.2f}"


def _sound_streams(history: History) -> Iterator[SentRequest]:
    return (s for s in history.sent.values() if s.parts and BAD_PART not in s.parts)
