"""Prompts with shared parts, one of which crashes each runner that answers it."""

from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from soak._guarantees import SentRequest
from soak._notices import History, was_disturbed

BAD_PART = "bad"
ACCOUNT_PARTS, SUBJECT_PARTS = 3, 20
BAD_SHARE = 0.15  # of the streams, in the seeds that have any
STABLE_MS = 3_000
CRASHES_UNTIL_BOUND = 5
MAX_LATE_REQUESTS = 3
MIN_COMPARED = 20
MIN_SHARE_KEPT = 0.5


class Prompts(NamedTuple):
    """The prompts of a seed; half of the seeds have bad ones."""

    has_bad: bool

    @classmethod
    def of_seed(cls, seed: int) -> "Prompts":
        """Return the prompts of a seed; drawn apart from its schedule."""
        return cls(Random(f"{seed}-prompts").random() < 0.5)

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


def _sent_after_bound(history: History, crashes_ms: list[int]) -> Iterator[str]:
    if len(crashes_ms) < CRASHES_UNTIL_BOUND:
        return
    bound_ms = crashes_ms[CRASHES_UNTIL_BOUND - 1] + STABLE_MS
    late = [
        arrival.request_id
        for _, arrivals in history.arrivals
        for arrival in arrivals
        if arrival.at_ms > bound_ms
        and BAD_PART in _parts_of(history, arrival.request_id)
        and not was_disturbed(
            history,
            {history.sent[arrival.request_id].entry},
            arrival.at_ms - STABLE_MS,
            arrival.at_ms,
        )
    ]
    if len(late) > MAX_LATE_REQUESTS:
        yield f"{late[0]}: one of {len(late)} requests with a part that crashes runners"


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


def _parts_of(history: History, request_id: str) -> tuple[str, ...]:
    sent = history.sent.get(request_id)
    return sent.parts if sent else ()
