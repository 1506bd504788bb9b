"""Serve chat completions, as one JSON body or as server-sent events."""

import json
from collections.abc import Iterator
from itertools import count
from typing import Any

import falcon
from pydantic import BaseModel, NonNegativeInt, ValidationError

from fakes._serving import close_connection
from fakes.engine._batch import EndReason, Engine, RefusedError, Run
from fakes.engine._tokens import prompt_of

DEFAULT_MAX_TOKENS = 16


class ChatRequest(BaseModel):
    """Fields of a request that the engine uses."""

    messages: list[dict[str, Any]]
    max_tokens: NonNegativeInt = DEFAULT_MAX_TOKENS
    stream: bool = False
    priority: int = 0
    request_id: str | None = None
    nutmegslip_resume_from: NonNegativeInt = 0


class Completions:
    """Endpoint of chat completions."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._numbers = count(1)

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Respond with JSON, or with a stream if ``stream`` is true.

        The request's id is the body's ``request_id`` or the ``X-Request-Id``
        header; ``nutmegslip_resume_from`` is the index of the first token to send.
        """
        body = request.media
        try:
            chat = ChatRequest.model_validate(body)
        except ValidationError as error:
            raise falcon.HTTPBadRequest(description=str(error)) from error
        fallback = request.get_header("X-Request-Id", default=self._next_id())
        run = self._accept(chat, chat.request_id or fallback, prompt_of(body))
        response.set_header("x-engine-state", "warm" if run.warm else "cold")
        response.set_header("x-engine-epoch", str(run.epoch))
        if chat.stream:
            response.content_type = "text/event-stream"
            response.stream = self._events(run, request)
            return
        text = "".join(_texts(run))
        if run.ended is EndReason.FINISHED:
            response.media = _completion(run, text)
        else:
            close_connection(request)

    def _next_id(self) -> str:
        return f"run-{next(self._numbers)}"

    def _accept(self, chat: ChatRequest, id: str, prompt: str) -> Run:
        try:
            return self._engine.accept(
                id=id,
                prompt=prompt,
                resume_from=chat.nutmegslip_resume_from,
                max_tokens=chat.max_tokens,
                priority=chat.priority,
            )
        except RefusedError as error:
            raise falcon.HTTPInternalServerError(description=str(error)) from error

    def _events(self, run: Run, request: falcon.Request) -> Iterator[bytes]:
        # The server closes this generator when the caller disconnects.
        try:
            for text in _texts(run):
                yield _event(_chunk(run, {"content": text}, None))
            if run.ended is EndReason.FINISHED:
                yield _event(_chunk(run, {}, "stop")) + b"data: [DONE]\n\n"
            else:
                close_connection(request)
        finally:
            self._engine.end(run, EndReason.CANCELLED)


class Cancellations:
    """Endpoint that cancels a request by its id."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Cancel the request with this ``id``; return whether it was in flight."""
        response.media = {"cancelled": self._engine.cancel(request.media["id"])}


def _texts(run: Run) -> Iterator[str]:
    while not isinstance(part := run.chunks.get(), EndReason):
        yield part


def _chunk(run: Run, delta: dict[str, str], finish: str | None) -> dict[str, Any]:
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    return {"id": run.id, "object": "chat.completion.chunk", "choices": [choice]}


def _completion(run: Run, text: str) -> dict[str, Any]:
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    usage = {"completion_tokens": run.max_tokens - run.resume_from}
    return {
        "id": run.id,
        "object": "chat.completion",
        "choices": [choice],
        "usage": usage,
    }


def _event(data: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(data, separators=(",", ":")).encode() + b"\n\n"
