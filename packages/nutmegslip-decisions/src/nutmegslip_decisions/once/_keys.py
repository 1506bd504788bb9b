"""Derive the key and the fingerprint of a non-idempotent request."""

import hashlib
import json


def once_key(workload: str, account: str, idempotency_key: str) -> str:
    """Return one string for the three parts; distinct parts never collide."""
    return json.dumps([workload, account, idempotency_key], separators=(",", ":"))


def request_fingerprint(method: str, path: str, body: bytes) -> str:
    """Return a digest that distinguishes two requests under one key."""
    head = json.dumps([method, path]).encode()
    return hashlib.sha256(head + b"\x00" + body).hexdigest()
