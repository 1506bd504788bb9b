"""Generate tokens that depend only on the prompt and the position."""

import json
from typing import Any

import xxhash


def prompt_of(body: dict[str, Any]) -> str:
    """Return the text that determines the tokens: model, seed and messages."""
    parts = [body.get("model"), body.get("seed"), body["messages"]]
    return json.dumps(parts, separators=(",", ":"))


def token(prompt: str, index: int) -> str:
    """Return the token at one position of the completion of a prompt."""
    return f"{xxhash.xxh32_hexdigest(prompt.encode(), seed=index)[:4]} "


def text_of(prompt: str, start: int, stop: int) -> str:
    """Return the tokens from ``start`` up to ``stop``, joined."""
    return "".join(token(prompt, index) for index in range(start, stop))
