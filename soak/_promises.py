"""Check what callers and runners saw against what the entries promise."""

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from nutmegslip_runtime.http1 import HttpRequest

NOT_RUN = frozenset({408, 421, 429, 503})
ATTEMPTS = 2  # of every route in the soak's configuration but the pushes'
EVENTS = 6  # of each stream
RUNNERS_FAILURE = b"bad"  # the body of a stand-in runner's own 500
ACCOUNT, KEY = b"x-nutmegslip-tenant", b"x-nutmegslip-key"


class Sent(NamedTuple):
    """Hold one request as a caller sends it."""

    request_id: str
    kind: str
    target: bytes
    body: bytes


class Seen(NamedTuple):
    """Hold what came back for a request.

    ``status`` is 0 where nothing came; ``whole`` is whether an end was told.
    """

    sent: Sent
    status: int
    answer: bytes
    whole: bool


def broken(
    sent: dict[str, Sent],
    answers: list[Seen],
    runs: Counter[str],
    arrivals: list[HttpRequest],
) -> Iterator[str]:
    """Yield each promise that was broken, with the request's id."""
    for seen in answers:
        yield from (f"{seen.sent.request_id}: {text}" for text in _broken(seen, runs))
    for arrival in arrivals:
        name = (arrival.header(b"x-nutmegslip-request-id") or b"").decode()
        text = _strange(arrival, sent.get(name))
        if text:
            yield f"{name}: {text}"


def _broken(seen: Seen, runs: Counter[str]) -> Iterator[str]:
    count, kind = runs[seen.sent.request_id], seen.sent.kind
    if kind == "push" and count > 1:
        yield f"it may run once and ran {count} times"
    if kind != "push" and count > ATTEMPTS:
        yield f"it ran {count} times and its route allows {ATTEMPTS}"
    if seen.status in NOT_RUN and count:
        yield f"status {seen.status} says that it has not run, and it ran"
    answer = expected(seen.sent)
    if seen.status == 200 and seen.whole and seen.answer != answer:
        yield f"a success with {seen.answer[:60]!r}"
    if kind == "stream" and seen.status == 200 and not answer.startswith(seen.answer):
        yield f"events out of order or from another run: {seen.answer[-60:]!r}"
    if seen.status not in (0, 200) and seen.answer not in (b"", RUNNERS_FAILURE):
        yield f"a failure with {seen.answer[:60]!r}"
    if seen.answer == RUNNERS_FAILURE and seen.status != 500:
        yield f"a runner's failure under status {seen.status}"


def expected(sent: Sent) -> bytes:
    """Return the whole body that a runner gives to a request."""
    if sent.kind != "stream":
        return f"answer to {sent.request_id}".encode()
    return b"".join(
        f"id: {number}\ndata: {sent.request_id} {number}\n\n".encode()
        for number in range(1, EVENTS + 1)
    )


def _strange(arrival: HttpRequest, sent: Sent | None) -> str:
    if sent is None:
        return "a runner ran what no caller sent"
    if (arrival.target, arrival.body) != (sent.target, sent.body):
        return "a runner ran another target or body than was sent"
    if arrival.header(KEY) is not None or arrival.header(ACCOUNT) != b"parish":
        return "a runner saw the key, or another client account"
    return ""
