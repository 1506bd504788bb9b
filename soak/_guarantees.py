"""Check the requests and responses of callers and runners against guarantees."""

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from nutmegslip_decisions.direct import RefusalKind
from nutmegslip_runtime.http1 import HttpRequest

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MAX_ATTEMPTS = 2  # of every published route, but pushes run at most once
EVENTS_PER_STREAM = 6
RUNNER_ERROR_BODY = b"bad"  # the body of a fake runner's own 500 response
BAD_TARGET, BAD_BODY = b"/lookups/bad", b"bad"  # a request that ends runners
ACCOUNT_HEADER, KEY_HEADER = b"x-nutmegslip-tenant", b"x-nutmegslip-key"


class SentRequest(NamedTuple):
    """One request as sent by a caller to an entry, named by its address.

    ``parts`` are the shared parts of its prompt.
    """

    request_id: str
    kind: str
    target: bytes
    body: bytes
    entry: str = ""
    sent_ms: int = 0
    parts: tuple[str, ...] = ()


class ReceivedResponse(NamedTuple):
    """The response that a caller received for a request.

    ``status`` is 0 without a response; ``complete`` is whether its end was received.
    """

    sent: SentRequest
    status: int
    body: bytes
    complete: bool
    received_ms: int = 0


def find_violations(
    sent: dict[str, SentRequest],
    responses: list[ReceivedResponse],
    runs: Counter[str],
    runner_requests: list[HttpRequest],
) -> Iterator[str]:
    """Yield each violation of a guarantee, with the request's id."""
    for response in responses:
        yield from (
            f"{response.sent.request_id}: {text}"
            for text in _response_violations(response, runs)
        )
    for request in runner_requests:
        request_id = (request.header(b"x-nutmegslip-request-id") or b"").decode()
        text = _request_mismatch(request, sent.get(request_id))
        if text:
            yield f"{request_id}: {text}"


def _response_violations(
    response: ReceivedResponse, runs: Counter[str]
) -> Iterator[str]:
    run_count, kind = runs[response.sent.request_id], response.sent.kind
    if kind == "push" and run_count > 1:
        yield f"a non-idempotent request ran {run_count} times"
    if kind != "push" and run_count > MAX_ATTEMPTS:
        yield f"the request ran {run_count} times; its route allows {MAX_ATTEMPTS}"
    if response.status in NOT_RUN_STATUSES and run_count:
        yield f"status {response.status} means that the request has not run, but it ran"
    body = expected_body(response.sent)
    if response.status == 200 and response.complete and response.body != body:
        yield f"a success with an unexpected body: {response.body[:60]!r}"
    if (
        kind == "stream"
        and response.status == 200
        and not body.startswith(response.body)
    ):
        yield f"stream events out of order or from another run: {response.body[-60:]!r}"
    if response.status not in (0, 200) and not (
        response.body in (b"", RUNNER_ERROR_BODY) or _refuses_blamed(response)
    ):
        yield f"a failure with an unexpected body: {response.body[:60]!r}"
    if response.body == RUNNER_ERROR_BODY and response.status != 500:
        yield f"a runner's 500 response passed on under status {response.status}"


def _refuses_blamed(response: ReceivedResponse) -> bool:
    """Return whether the body is the problem document for what is blamed."""
    sent = response.sent
    kinds = (
        (RefusalKind.CRASHING_PART, len(sent.parts) > 0),
        (RefusalKind.CRASHING_REQUEST, sent.target == BAD_TARGET),
    )
    end = '"ran":"no"}' if response.status == 503 else '"ran":"unknown"}'
    starts = [
        f'{{"title":"{kind}","status":{response.status},'.encode()
        for kind, may_be_blamed in kinds
        if may_be_blamed
    ]
    return (
        response.status in (502, 503, 504)
        and response.body.startswith(tuple(starts))
        and response.body.endswith(end.encode())
    )


def expected_body(sent: SentRequest) -> bytes:
    """Return the complete body that a runner sends for a request."""
    if sent.kind != "stream":
        return f"answer to {sent.request_id}".encode()
    return b"".join(
        f"id: {number}\ndata: {sent.request_id} {number}\n\n".encode()
        for number in range(1, EVENTS_PER_STREAM + 1)
    )


def _request_mismatch(request: HttpRequest, sent: SentRequest | None) -> str:
    if sent is None:
        return "a runner ran a request that no caller sent"
    if (request.target, request.body) != (sent.target, sent.body):
        return "a runner ran another target or body than the caller sent"
    if (
        request.header(KEY_HEADER) is not None
        or request.header(ACCOUNT_HEADER) != b"parish"
    ):
        return "a runner received the API key, or another client account"
    return ""
