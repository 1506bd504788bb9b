"""Authenticate both ends of a link with a shared key.

The listener sends a challenge; the dialler replies with its name and a digest
over both nonces; the listener replies with a digest of its own. Each digest
covers its direction, so neither can be replayed as the other.
"""

import hashlib
import hmac
from dataclasses import dataclass
from enum import StrEnum

from expression import Error, Ok, Result

PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class Challenge:
    """The listener's first message on a new link."""

    protocol: int
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Hello:
    """The dialler's reply: its identity and its proof of the shared key."""

    protocol: int
    host: str
    incarnation: str
    nonce: bytes
    digest: bytes


@dataclass(frozen=True, slots=True)
class Welcome:
    """The listener's reply: its identity and its proof of the shared key."""

    host: str
    incarnation: str
    digest: bytes


HANDSHAKE_MESSAGES = (Challenge, Hello, Welcome)


class HandshakeErrorKind(StrEnum):
    """The reasons for closing a link before any message is accepted."""

    OTHER_VERSION = "peer-of-another-version"
    WRONG_KEY = "peer-with-another-key"
    UNEXPECTED = "peer-sent-no-greeting"


@dataclass(frozen=True, slots=True)
class HandshakeError:
    """A failed handshake with a peer."""

    kind: HandshakeErrorKind
    detail: str

    @property
    def message(self) -> str:
        """Return the error with its remedy."""
        return (
            f"{self.kind}: {self.detail}. Run the same release on both hosts and "
            "set the same [links] key in their settings."
        )


def answer_challenge(
    challenge: Challenge, key: bytes, host: str, incarnation: str, nonce: bytes
) -> Result[Hello, HandshakeError]:
    """Return the dialler's reply to a challenge."""
    if challenge.protocol != PROTOCOL_VERSION:
        return _other_version(challenge.protocol)
    digest = _digest(key, b"dial", challenge.nonce, nonce, host, incarnation)
    return Ok(Hello(PROTOCOL_VERSION, host, incarnation, nonce, digest))


def check_hello(
    hello: Hello, challenge: Challenge, key: bytes
) -> Result[Hello, HandshakeError]:
    """Return the hello if it proves the shared key."""
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
    """Return the listener's reply to an accepted hello."""
    digest = _digest(key, b"listen", challenge.nonce, hello.nonce, host, incarnation)
    return Welcome(host, incarnation, digest)


def check_welcome(
    answer: Welcome, hello: Hello, challenge: Challenge, key: bytes
) -> Result[Welcome, HandshakeError]:
    """Return the listener's reply if it proves the shared key."""
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
    detail = f"peer uses protocol {found}, this process uses {PROTOCOL_VERSION}"
    return Error(HandshakeError(HandshakeErrorKind.OTHER_VERSION, detail))
