"""Compute digests of the leading blocks of a prompt."""

from itertools import accumulate

import xxhash

BLOCK_CHARACTERS = 512
MAX_BLOCKS = 8


def prompt_prefix_digests(messages: object) -> tuple[bytes, ...]:
    """Return chained digests of the leading blocks of a chat's text.

    Prompts with a common prefix have the same first digests. The result is empty if
    ``messages`` is not a list.
    """
    if not isinstance(messages, list):
        return ()
    text = "\x00".join(_text(message) for message in messages)
    starts = range(0, min(len(text), MAX_BLOCKS * BLOCK_CHARACTERS), BLOCK_CHARACTERS)
    blocks = (text[start : start + BLOCK_CHARACTERS].encode() for start in starts)
    digests = accumulate(blocks, _chain_digest, initial=b"")
    return tuple(digests)[1:]


def _text(message: object) -> str:
    if not isinstance(message, dict):
        return ""
    return f"{message.get('role')}\x00{message.get('content')}"


def _chain_digest(digest: bytes, block: bytes) -> bytes:
    return xxhash.xxh3_64_digest(digest + block)
