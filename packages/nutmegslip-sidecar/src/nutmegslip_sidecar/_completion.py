"""Merge the chunks of a streamed chat completion."""

import json
from collections.abc import Sequence
from typing import Any


def merge_chunks(pieces: Sequence[bytes]) -> bytes:
    """Return the chunks as one chat completion in JSON, as without streaming."""
    chunks = [json.loads(piece) for piece in pieces]
    choices = [chunk["choices"][0] for chunk in chunks if chunk.get("choices")]
    content = "".join(choice["delta"].get("content", "") for choice in choices)
    finish = next((c["finish_reason"] for c in reversed(choices)), None)
    message = {"role": "assistant", "content": content}
    choice = {"index": 0, "message": message, "finish_reason": finish}
    usage = next((c["usage"] for c in reversed(chunks) if c.get("usage")), None)
    completion: dict[str, Any] = {
        "id": chunks[0].get("id") if chunks else None,
        "object": "chat.completion",
        "model": chunks[0].get("model") if chunks else None,
        "choices": [choice],
    }
    return json.dumps(completion | ({"usage": usage} if usage else {})).encode()
