"""Encode heads and chunks of messages, and drop hop-by-hop headers."""

from collections.abc import Iterable
from enum import Enum, auto
from http.client import responses

Header = tuple[bytes, bytes]

LAST_CHUNK = b"0\r\n\r\n"

# Content-Length is dropped too: each hop sends the framing of its own message.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class Framing(Enum):
    """How the end of a body is marked."""

    NONE = auto()
    LENGTH = auto()
    CHUNKED = auto()
    CLOSE = auto()


def end_to_end_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers that are not hop-by-hop, in their order."""
    headers = tuple(headers)
    named = frozenset(
        word.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for word in value.split(b",")
    )
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP and name.lower() not in named
    )


def encode_request(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes
) -> bytes:
    """Return a complete request."""
    return encode_request_head(method, target, headers, len(body)) + body


def encode_request_head(
    method: bytes, target: bytes, headers: Iterable[Header], body_length: int
) -> bytes:
    """Return the head of a request; POST, PUT and PATCH always have a length."""
    has_length = body_length or method in (b"POST", b"PUT", b"PATCH")
    lines = [b"%s %s HTTP/1.1\r\n" % (method, target)]
    lines += [b"%s: %s\r\n" % header for header in headers]
    if has_length:
        lines.append(b"content-length: %d\r\n" % body_length)
    return b"".join([*lines, b"\r\n"])


def encode_head(
    status: int,
    headers: Iterable[Header],
    *,
    reason: bytes = b"",
    length: int | None = None,
    chunked: bool = False,
    close: bool = False,
) -> bytes:
    """Return the head of a response with the requested framing headers."""
    phrase = reason or responses.get(status, "").encode()
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, phrase)]
    lines += [b"%s: %s\r\n" % header for header in headers]
    if length is not None:
        lines.append(b"content-length: %d\r\n" % length)
    if chunked:
        lines.append(b"transfer-encoding: chunked\r\n")
    if close:
        lines.append(b"connection: close\r\n")
    return b"".join([*lines, b"\r\n"])


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a body; ``data`` must not be empty."""
    return b"%x\r\n%s\r\n" % (len(data), data)
