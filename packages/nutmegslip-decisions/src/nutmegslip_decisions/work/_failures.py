"""Reasons why a request was not answered in full, and remedies for the caller."""

from enum import StrEnum
from typing import NamedTuple


class Ran(StrEnum):
    """Whether a request without an answer was run."""

    NO = "no"
    UNKNOWN = "unknown"


class RefusalKind(StrEnum):
    """Why a sidecar refused an attempt."""

    BUSY = "upstream-busy"
    COLD = "upstream-cold"
    DRAINING = "upstream-draining"
    MARKED_OUT = "upstream-marked-out"
    NO_LEASE = "sidecar-without-lease"
    DEADLINE = "deadline-passed"
    UNKNOWN_WORKLOAD = "workload-not-served"
    UNKNOWN_PEER = "peer-not-admitted"
    UNREACHABLE = "upstream-unreachable"


class FailureKind(StrEnum):
    """Why a caller receives no answer; the value is the suffix of the problem type."""

    MALFORMED = "malformed-request"
    TOO_LARGE = "request-too-large"
    UNAUTHENTICATED = "account-unknown"
    UNKNOWN_WORKLOAD = "workload-unknown"
    KEY_MISSING = "idempotency-key-missing"
    KEY_REUSED = "idempotency-key-reused"
    ACCOUNT_LIMIT = "account-over-limit"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no-upstream"
    DEADLINE = "deadline-passed"
    CUT_OFF = "answer-cut-off"
    OUTCOME_UNKNOWN = "outcome-unknown"
    IN_PROGRESS = "request-in-progress"
    NOT_RUN = "not-run"
    NOT_SENT = "not-sent"
    STOPPING = "entry-stopping"


class _Answer(NamedTuple):
    status: int
    remedy: str


_ANSWERS = {
    FailureKind.MALFORMED: _Answer(
        400, "Send a JSON object in the documented shape; see the detail."
    ),
    FailureKind.TOO_LARGE: _Answer(413, "Send a body below the stated size."),
    FailureKind.UNAUTHENTICATED: _Answer(
        401, "Send 'Authorization: Bearer TOKEN' with a token of a client account."
    ),
    FailureKind.UNKNOWN_WORKLOAD: _Answer(
        404, "Name a workload of the catalogue; the operator can publish a new one."
    ),
    FailureKind.KEY_MISSING: _Answer(
        400, "Send an Idempotency-Key header that is new for each new request."
    ),
    FailureKind.KEY_REUSED: _Answer(
        422, "Use a new Idempotency-Key for a request with another body."
    ),
    FailureKind.ACCOUNT_LIMIT: _Answer(
        429,
        "Send the request again after the Retry-After delay, or ask the operator for "
        "a higher limit.",
    ),
    FailureKind.OVERLOADED: _Answer(
        503, "Send the request again after the Retry-After delay."
    ),
    FailureKind.NO_UPSTREAM: _Answer(
        503,
        "No upstream of the workload takes work; send the request again after the "
        "Retry-After delay.",
    ),
    FailureKind.DEADLINE: _Answer(
        504, "Send the request again, with a longer timeout if this recurs."
    ),
    FailureKind.CUT_OFF: _Answer(502, "Send the request again."),
    FailureKind.OUTCOME_UNKNOWN: _Answer(
        502,
        "Check at the service whether the request took effect; repeat it only "
        "with the same Idempotency-Key.",
    ),
    FailureKind.IN_PROGRESS: _Answer(
        409,
        "Send the request again after the Retry-After delay, with the same "
        "Idempotency-Key.",
    ),
    FailureKind.NOT_RUN: _Answer(
        503, "Send the request again with a new Idempotency-Key."
    ),
    FailureKind.NOT_SENT: _Answer(
        503,
        "Send the request again after the Retry-After delay, with the same "
        "Idempotency-Key.",
    ),
    FailureKind.STOPPING: _Answer(503, "Send the request again at once."),
}


def status_of(kind: FailureKind) -> int:
    """Return the HTTP status code of a failure."""
    return _ANSWERS[kind].status


def remedy_of(kind: FailureKind) -> str:
    """Return what the caller can do about a failure."""
    return _ANSWERS[kind].remedy
