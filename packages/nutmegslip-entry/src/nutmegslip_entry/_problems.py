"""Describe a failed request as problem JSON (RFC 9457)."""

import json
import math
from typing import NotRequired, TypedDict

from nutmegslip_decisions.entry import Fail
from nutmegslip_decisions.work import FailureKind, Ran, remedy_of, status_of

PROBLEM_TYPE = "urn:nutmegslip:problem:"
PROBLEM_CONTENT_TYPE = "application/problem+json"


class Problem(TypedDict):
    """The members of a problem document."""

    type: str
    title: str
    status: int
    detail: str
    instance: str
    ran: str
    remedy: str
    retry_after_ms: NotRequired[int]


def problem_of(fail: Fail) -> Problem:
    """Return the problem document of a failed request."""
    problem = Problem(
        type=f"{PROBLEM_TYPE}{fail.kind}",
        title=fail.kind.replace("-", " "),
        status=status_of(fail.kind),
        detail=fail.detail,
        instance=f"urn:nutmegslip:request:{fail.request_id}",
        ran=str(fail.ran),
        remedy=remedy_of(fail.kind),
    )
    if fail.retry_after_ms:
        problem["retry_after_ms"] = fail.retry_after_ms
    return problem


def problem_body(problem: Problem) -> bytes:
    """Return a problem document as JSON."""
    return json.dumps(problem).encode()


def retry_after_s(fail: Fail) -> str | None:
    """Return the Retry-After value in whole seconds, or None without a delay."""
    if not fail.retry_after_ms:
        return None
    return str(math.ceil(fail.retry_after_ms / 1_000))


def bad_request(request_id: str, kind: FailureKind, detail: str) -> Fail:
    """Return the failure of a request that was rejected before admission."""
    return Fail(request_id, kind, Ran.NO, 0, detail)
