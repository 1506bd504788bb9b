"""Authenticate both ends of a link with a shared key.

The listener sends a challenge; the dialler answers with its name and a digest
over both nonces; the listener proves itself with a digest of its own. A digest
names its direction, so neither can be replayed as the other.
"""

import hashlib
import hmac
from dataclasses import dataclass
from enum import StrEnum

from expression import Error, Ok, Result

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Challenge:
    """Open a link from the listener's side."""

    protocol: int
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Hello:
    """Answer a challenge: who dials, and the proof of the shared key."""

    protocol: int
    host: str
    incarnation: str
    nonce: bytes
    digest: bytes


@dataclass(frozen=True, slots=True)
class Welcome:
    """Accept a link: who listens, and the proof of the shared key."""

    host: str
    incarnation: str
    digest: bytes


HANDSHAKE_MESSAGES = (Challenge, Hello, Welcome)


class HandshakeErrorKind(StrEnum):
    """Say why a link was closed before any message was taken."""

    OTHER_VERSION = "peer-of-another-version"
    WRONG_KEY = "peer-with-another-key"
    UNEXPECTED = "peer-sent-no-greeting"


@dataclass(frozen=True, slots=True)
class HandshakeError:
    """Report a peer that was turned away."""

    kind: HandshakeErrorKind
    detail: str

    @property
    def message(self) -> str:
        """Return the error with its remedy."""
        return (
            f"{self.kind}: {self.detail}. Give both hosts the same release and the "
            "same [links] key in their settings."
        )


def answer_challenge(
    challenge: Challenge, key: bytes, host: str, incarnation: str, nonce: bytes
) -> Result[Hello, HandshakeError]:
    """Return the dialler's answer to a challenge."""
    if challenge.protocol != PROTOCOL_VERSION:
        return _other_version(challenge.protocol)
    digest = _digest(key, b"dial", challenge.nonce, nonce, host, incarnation)
    return Ok(Hello(PROTOCOL_VERSION, host, incarnation, nonce, digest))


def check_hello(
    hello: Hello, challenge: Challenge, key: bytes
) -> Result[Hello, HandshakeError]:
    """Return the greeting if it proves the shared key."""
    if hello.protocol != PROTOCOL_VERSION:
        return _other_version(hello.protocol)
    expected = _digest(
        key, b"dial", challenge.nonce, hello.nonce, hello.host, hello.incarnation
    )
    if not hmac.compare_digest(expected, hello.digest):
        return Error(HandshakeError(HandshakeErrorKind.WRONG_KEY, hello.host))
    return Ok(hello)


def make_welcome(
    hello: Hello, challenge: Challenge, key: bytes, host: str, incarnation: str
) -> Welcome:
    """Return the listener's proof for an accepted greeting."""
    digest = _digest(key, b"listen", challenge.nonce, hello.nonce, host, incarnation)
    return Welcome(host, incarnation, digest)


def check_welcome(
    answer: Welcome, hello: Hello, challenge: Challenge, key: bytes
) -> Result[Welcome, HandshakeError]:
    """Return the listener's answer if it proves the shared key."""
    expected = _digest(
        key, b"listen", challenge.nonce, hello.nonce, answer.host, answer.incarnation
    )
    if not hmac.compare_digest(expected, answer.digest):
        return Error(HandshakeError(HandshakeErrorKind.WRONG_KEY, answer.host))
    return Ok(answer)


def _digest(
    key: bytes,
    direction: bytes,
    challenge_nonce: bytes,
    hello_nonce: bytes,
    host: str,
    incarnation: str,
) -> bytes:
    parts = (
        direction,
        challenge_nonce,
        hello_nonce,
        host.encode(),
        incarnation.encode(),
    )
    framed = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.digest(key, framed, hashlib.sha256)


def _other_version(found: int) -> Result[Hello, HandshakeError]:
    detail = f"found {found}, this process speaks {PROTOCOL_VERSION}"
    return Error(HandshakeError(HandshakeErrorKind.OTHER_VERSION, detail))
