"""Convert a caller's HTTP request into an event."""

import hashlib
import json
from typing import NamedTuple

import falcon
from expression import Error, Ok, Result

from nutmegslip_decisions.entry import CallerArrived, Fail
from nutmegslip_decisions.once import request_fingerprint
from nutmegslip_decisions.work import FailureKind
from nutmegslip_entry._problems import bad_request
from nutmegslip_entry._prompt import prompt_prefix_digests
from nutmegslip_messages import ServiceCall, encode_call
from nutmegslip_runtime.process import monotonic_ms

TIMEOUT_HEADER = "X-Timeout-Ms"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
BEARER_PREFIX = "Bearer "
MAX_KEY_CHARACTERS = 255


class IncomingRequest(NamedTuple):
    """Fields common to all requests of callers."""

    request_id: str
    method: str
    path: str
    content_type: str
    token_sha256: str
    idempotency_key: str
    timeout_ms: int
    body: bytes


def read_incoming_request(
    request: falcon.Request, request_id: str, max_body_bytes: int
) -> Result[IncomingRequest, Fail]:
    """Return the headers and body, or a failure if they are too large or malformed."""
    length = request.content_length or 0
    if length > max_body_bytes:
        detail = f"found {length} bytes; allowed: {max_body_bytes}"
        return Error(bad_request(request_id, FailureKind.TOO_LARGE, detail))
    key = request.get_header(IDEMPOTENCY_KEY_HEADER, default="")
    if len(key) > MAX_KEY_CHARACTERS:
        detail = (
            f"{IDEMPOTENCY_KEY_HEADER} is longer than {MAX_KEY_CHARACTERS} characters"
        )
        return Error(bad_request(request_id, FailureKind.MALFORMED, detail))
    timeout = request.get_header(TIMEOUT_HEADER, default="0")
    if not (timeout.isascii() and timeout.isdigit()):
        detail = f"{TIMEOUT_HEADER} must be a whole number of milliseconds"
        return Error(bad_request(request_id, FailureKind.MALFORMED, detail))
    body = request.bounded_stream.read(max_body_bytes + 1)
    if len(body) > max_body_bytes:
        detail = f"allowed: {max_body_bytes} bytes"
        return Error(bad_request(request_id, FailureKind.TOO_LARGE, detail))
    incoming = IncomingRequest(
        request_id=request_id,
        method=request.method,
        path=request.path,
        content_type=request.content_type or "application/json",
        token_sha256=_token_sha256(request),
        idempotency_key=key,
        timeout_ms=int(timeout),
        body=body,
    )
    return Ok(incoming)


def chat_request(incoming: IncomingRequest) -> Result[CallerArrived, Fail]:
    """Return the event of a chat completion in the common chat format."""
    try:
        content = json.loads(incoming.body)
    except (ValueError, RecursionError) as error:
        return _malformed_request(incoming, f"the body is not JSON: {error}")
    if not isinstance(content, dict):
        return _malformed_request(incoming, "the body is not a JSON object")
    workload, stream = content.get("model"), content.get("stream", False)
    if not isinstance(workload, str):
        return _malformed_request(
            incoming, "'model' must be a string that names a workload"
        )
    if not isinstance(stream, bool):
        return _malformed_request(incoming, "'stream' must be true or false")
    prefixes = prompt_prefix_digests(content.get("messages"))
    return Ok(_caller_arrived(incoming, workload, incoming.path, stream, prefixes))


def service_request(
    incoming: IncomingRequest, workload: str, path: str
) -> Result[CallerArrived, Fail]:
    """Return the event of a call to a plain service."""
    return Ok(_caller_arrived(incoming, workload, path, False, ()))


def _caller_arrived(
    incoming: IncomingRequest,
    workload: str,
    path: str,
    stream: bool,
    prefixes: tuple[bytes, ...],
) -> CallerArrived:
    fingerprint, once_payload = "", b""
    if incoming.idempotency_key:
        # Only requests with a key need a digest and a copy of the body.
        fingerprint = request_fingerprint(incoming.method, path, incoming.body)
        once_payload = encode_call(_service_call(incoming, path))
    return CallerArrived(
        now_ms=monotonic_ms(),
        request_id=incoming.request_id,
        workload=workload,
        token_sha256=incoming.token_sha256,
        method=incoming.method,
        path=path,
        body=incoming.body,
        stream=stream,
        timeout_ms=incoming.timeout_ms,
        prefixes=prefixes,
        idempotency_key=incoming.idempotency_key,
        fingerprint=fingerprint,
        once_payload=once_payload,
    )


def _service_call(incoming: IncomingRequest, path: str) -> ServiceCall:
    return ServiceCall(
        incoming.method,
        path,
        incoming.content_type,
        incoming.idempotency_key,
        incoming.body,
    )


def _token_sha256(request: falcon.Request) -> str:
    header = request.get_header("Authorization", default="")
    if not header.startswith(BEARER_PREFIX):
        return ""
    return hashlib.sha256(header.removeprefix(BEARER_PREFIX).encode()).hexdigest()


def _malformed_request(
    incoming: IncomingRequest, detail: str
) -> Result[CallerArrived, Fail]:
    return Error(bad_request(incoming.request_id, FailureKind.MALFORMED, detail))
