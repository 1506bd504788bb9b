"""State what an entry needs to know of the headers that callers and upstreams use."""

from typing import NamedTuple, Protocol

from nutmegslip_decisions.direct import Request, Upstream
from nutmegslip_runtime.http1 import Header, HttpRequest, ResponseHead


class CallerFields(NamedTuple):
    """Hold what a caller's headers say; ``wait_ms`` is how long it will wait."""

    request_id: str
    key: str | None
    wait_ms: int | None


class AnswerFields(NamedTuple):
    """Hold what an upstream's headers say of its answer.

    ``request_id`` is None where the upstream names none. ``sealed`` is whether the
    upstream vouches for the body. ``at_fault`` names the upstream that kept this one
    from answering.
    """

    request_id: str | None
    sealed: bool
    not_run: bool
    misdirected: bool
    at_fault: str


class Dialect(Protocol):
    """Translate between headers and fields."""

    def caller_fields(self, request: HttpRequest) -> CallerFields:
        """Decode the headers of a caller's request."""

    def upstream_headers(
        self,
        caller: HttpRequest,
        request: Request,
        upstream: Upstream,
        left_ms: int,
        last_event: str,
    ) -> list[Header]:
        """Return the headers of an attempt; ``last_event`` resumes a stream."""

    def answer_fields(self, answer: ResponseHead) -> AnswerFields:
        """Decode the headers of an upstream's answer."""

    def refusal_headers(self, request_id: str) -> list[Header]:
        """Return the headers of an answer of the entry's own."""
