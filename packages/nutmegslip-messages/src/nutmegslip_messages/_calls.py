"""Encode a call of a plain service as the payload of an at-most-once request."""

from typing import NamedTuple

import cbor2


class ServiceCall(NamedTuple):
    """A call that a sidecar makes to its plain service."""

    method: str
    path: str
    content_type: str
    idempotency_key: str
    body: bytes


def encode_call(call: ServiceCall) -> bytes:
    """Return the payload of a call."""
    return cbor2.dumps(list(call))


def decode_call(payload: bytes) -> ServiceCall:
    """Return the call in a payload written by ``encode_call``."""
    return ServiceCall(*cbor2.loads(payload))
