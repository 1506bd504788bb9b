"""Send one streamed chat completion and time its tokens."""

import json
import random
import time
from typing import NamedTuple

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError, HTTPResponse
from geventhttpclient.url import URL

DATA_PREFIX = b"data: "
DONE_PAYLOAD = b"[DONE]"
HTTP_OK = 200
TIMEOUT_S = 60.0
MAX_CONNECTIONS = 4_096


class Shape(NamedTuple):
    """Workload, client account and size of the requests."""

    model: str
    bearer: str
    max_tokens: int
    prompt_words: int


class Sample(NamedTuple):
    """Outcome and timing of one request; times are in milliseconds.

    ``outcome`` is ``ok`` for a complete response, otherwise ``incomplete``, the
    problem type, the status or the error. ``gaps_ms`` are the times between tokens;
    the tokens of one event share the time since the previous event.
    """

    outcome: str
    start_ms: float
    first_ms: float | None
    total_ms: float
    tokens: int
    gaps_ms: tuple[float, ...]


class LoadClient:
    """Connections to one URL.

    ``name`` is part of the prompts, so that two targets in front of the same
    upstream do not hit each other's prefixes in its cache.
    """

    def __init__(self, name: str, url: str, shape: Shape) -> None:
        self._name = name
        parsed = URL(url)
        self._path = parsed.request_uri
        self._shape = shape
        self._http = HTTPClient.from_url(
            parsed,
            concurrency=MAX_CONNECTIONS,
            connection_timeout=TIMEOUT_S,
            network_timeout=TIMEOUT_S,
        )

    def send(self, number: int, seed: int) -> Sample:
        """Send the request given by number and seed; wait until it ends."""
        body = json.dumps(_chat_body(self._shape, f"{seed}/{self._name}/{number}"))
        headers = {"Content-Type": "application/json"}
        if self._shape.bearer:
            headers["Authorization"] = f"Bearer {self._shape.bearer}"
        start_ms = _now_ms()
        try:
            response = self._http.post(self._path, body, headers)
            return _read_stream(response, start_ms, self._shape.max_tokens)
        except (OSError, HTTPParseError) as error:
            outcome = type(error).__name__
            return Sample(outcome, start_ms, None, _now_ms() - start_ms, 0, ())

    def close(self) -> None:
        """Close every connection."""
        self._http.close()


def _chat_body(shape: Shape, seed: str) -> dict[str, object]:
    words = random.Random(seed).choices(range(10_000), k=shape.prompt_words)
    content = " ".join(map(str, words))
    return {
        "model": shape.model,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": shape.max_tokens,
        "stream": True,
    }


def _read_stream(response: HTTPResponse, start_ms: float, max_tokens: int) -> Sample:
    if response.status_code != HTTP_OK:
        outcome = _error_outcome(response.read(), response.status_code)
        return Sample(outcome, start_ms, None, _now_ms() - start_ms, 0, ())
    first_ms, last_ms, tokens, done = None, start_ms, 0, False
    gaps: list[float] = []
    while line := response.readline(b"\n"):
        if not line.startswith(DATA_PREFIX):
            continue
        payload = line.removeprefix(DATA_PREFIX).strip()
        if payload == DONE_PAYLOAD:
            done = True
            continue
        count = _count_tokens(payload)
        if not count:
            continue
        now_ms = _now_ms()
        if first_ms is None:
            first_ms = now_ms - start_ms
        else:
            gaps += [(now_ms - last_ms) / count] * count
        last_ms = now_ms
        tokens += count
    outcome = "ok" if done and tokens == max_tokens else "incomplete"
    total_ms = _now_ms() - start_ms
    return Sample(outcome, start_ms, first_ms, total_ms, tokens, tuple(gaps))


def _count_tokens(payload: bytes) -> int:
    """Return the number of words in a chunk; the fakes' tokens are words."""
    choices = json.loads(payload).get("choices", [])
    return sum(len(c["delta"].get("content", "").split()) for c in choices)


def _error_outcome(body: bytes, status: int) -> str:
    try:
        return str(json.loads(body)["type"])
    except (ValueError, KeyError, TypeError):
        return f"status {status}"


def _now_ms() -> float:
    return time.monotonic_ns() / 1_000_000
