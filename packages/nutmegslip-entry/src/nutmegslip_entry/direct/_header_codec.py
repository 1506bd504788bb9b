"""Define the fields that an entry needs from the headers of callers and upstreams."""

from typing import NamedTuple, Protocol

from nutmegslip_decisions.direct import Request, Upstream
from nutmegslip_runtime.http1 import Header, HttpRequest, ResponseHead


class CallerFields(NamedTuple):
    """Fields of a caller's headers; ``timeout_ms`` is how long the caller waits.

    ``shared_parts`` are the ids of the parts that its prompt may share with others.
    """

    request_id: str
    key: str | None
    timeout_ms: int | None
    shared_parts: tuple[str, ...] = ()


class Pause(NamedTuple):
    """An upstream's wish to get no requests for a while.

    ``asked_ms`` is None where the header's ``text`` cannot be read.
    """

    asked_ms: int | None
    text: str


class RateLimit(NamedTuple):
    """The rate of requests that an upstream takes from all entries together.

    ``per_s`` is None where the header's ``text`` cannot be read.
    """

    per_s: float | None
    text: str


class AnswerFields(NamedTuple):
    """Fields of an upstream's answer headers.

    ``request_id`` is None if the upstream sends none. ``sealed`` is whether the
    upstream attests the body. ``not_run`` is whether the request was not executed.
    ``misdirected`` is whether another upstream has the address. ``at_fault`` names
    the upstream that prevented the answer. ``leaving`` is whether the upstream that
    answered leaves, ``pause`` its wish for a pause, None if it has none.
    ``limit`` is the rate of requests that it takes, None if it names none.
    """

    request_id: str | None
    sealed: bool
    not_run: bool
    misdirected: bool
    at_fault: str
    leaving: bool = False
    pause: Pause | None = None
    limit: RateLimit | None = None


class HeaderCodec(Protocol):
    """Conversion between headers and fields."""

    def caller_fields(self, request: HttpRequest) -> CallerFields:
        """Decode the headers of a caller's request."""

    def upstream_headers(
        self,
        caller: HttpRequest,
        request: Request,
        upstream: Upstream,
        remaining_ms: int,
        last_event: str,
    ) -> list[Header]:
        """Return the headers of an attempt; ``last_event`` resumes a stream."""

    def answer_fields(self, answer: ResponseHead) -> AnswerFields:
        """Decode the headers of an upstream's answer."""

    def refusal_headers(self, request_id: str) -> list[Header]:
        """Return the headers of an answer that the entry itself makes."""
