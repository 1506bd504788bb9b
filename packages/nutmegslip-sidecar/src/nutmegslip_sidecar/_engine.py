"""Call the model engine of this sidecar."""

import json
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from itertools import count
from typing import NamedTuple

import gevent
from geventhttpclient import HTTPClient

from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.sidecar import (
    EngineAccepted,
    EngineCut,
    EngineFinished,
    EngineLost,
    EngineNotSent,
    EngineReported,
    SidecarEvent,
    StartAttempt,
)
from nutmegslip_runtime.process import monotonic_ms
from nutmegslip_sidecar._batcher import PieceBatcher
from nutmegslip_sidecar._completion import merge_chunks

END_OF_STREAM = b"[DONE]"
EVENT_END = b"\n\n"
EVENT_PREFIX = b"data: "
MAX_CONNECTIONS = 1_024
REPORT_TIMEOUT_S = 1
CANCEL_TIMEOUT_S = 1


class EngineOptions(NamedTuple):
    """The address of the engine and its connect timeout."""

    address: str
    connect_timeout_ms: int


class Engine:
    """A client that runs attempts at the engine; each ends with exactly one event."""

    def __init__(
        self, options: EngineOptions, dispatch: Callable[[SidecarEvent], None]
    ) -> None:
        ip, _, port = options.address.rpartition(":")
        self._dispatch = dispatch
        self._batcher = PieceBatcher(dispatch)
        self._running: dict[str, gevent.Greenlet] = {}
        self._client = HTTPClient(
            ip,
            int(port),
            concurrency=MAX_CONNECTIONS,
            connection_timeout=options.connect_timeout_ms / 1_000,
            network_timeout=None,
        )

    def start(self, start: StartAttempt) -> None:
        """Start an attempt in the background."""
        attempt_id = start.submit.attempt_id
        self._running[attempt_id] = gevent.spawn(self._run, start)

    def cancel(self, attempt_id: str) -> None:
        """Stop an attempt; it still ends with an event."""
        greenlet = self._running.get(attempt_id)
        if greenlet is not None:
            greenlet.kill(_Cancelled, block=False)

    def poll_load(self, interval_s: float, started_ms: Millis) -> None:
        """Report the engine's load at each interval.

        Reports sampled before this process started are dropped: they do not show
        what a previous incarnation has left running at the engine.
        """
        while True:
            event = self._read_load(started_ms)
            if event is not None:
                self._dispatch(event)
            gevent.sleep(interval_s)

    def _run(self, start: StartAttempt) -> None:
        attempt_id = start.submit.attempt_id
        try:
            event = self._attempt(start)
        except _Cancelled:
            self._confirm_cancel(attempt_id)
            event = EngineCut(monotonic_ms(), attempt_id, "cancelled")
        except (ConnectionRefusedError, gevent.Timeout) as error:
            event = EngineNotSent(monotonic_ms(), attempt_id, type(error).__name__)
        except Exception as error:
            # The client raises its own types on truncated or malformed responses.
            event = EngineCut(monotonic_ms(), attempt_id, type(error).__name__)
        del self._running[attempt_id]
        self._dispatch(event)

    def _confirm_cancel(self, attempt_id: str) -> None:
        """Wait until the engine stops the attempt; until then it counts as running."""
        body = json.dumps({"id": attempt_id})
        headers = {"Content-Type": "application/json"}
        try:
            with gevent.Timeout(CANCEL_TIMEOUT_S):
                self._client.post("/v1/cancel", body, headers).read()
        except (Exception, gevent.Timeout):
            # The engine also cancels requests whose connection is lost.
            return

    def _attempt(self, start: StartAttempt) -> SidecarEvent:
        submit = start.submit
        body = _engine_body(submit)
        if monotonic_ms() >= submit.deadline_ms:
            # The deadline may have passed while this process was suspended.
            return EngineNotSent(monotonic_ms(), submit.attempt_id, "deadline passed")
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": submit.attempt_id,
        }
        response = self._client.request(submit.method, submit.path, body, headers)
        with ExitStack() as stack:
            # Closes the connection unless the response was read to its end.
            stack.callback(response.release)
            self._acknowledge(submit.attempt_id, response)
            content_type = response.get("content-type", "application/json")
            if response.status_code != 200:
                return self._read_whole(submit.attempt_id, response, content_type)
            if submit.stream:
                return self._read_stream(submit, response, content_type)
            return self._merge_stream(submit.attempt_id, response)

    def _acknowledge(self, attempt_id: str, response) -> None:
        cold = response.get("x-engine-state", "warm") == "cold"
        epoch = int(response.get("x-engine-epoch", 0))
        self._dispatch(EngineAccepted(monotonic_ms(), attempt_id, cold, epoch))

    def _read_whole(self, attempt_id: str, response, content_type: str) -> SidecarEvent:
        body = bytes(response.read())
        if response.status_code >= 500:
            detail = f"status {response.status_code}"
            return EngineCut(monotonic_ms(), attempt_id, detail)
        return EngineFinished(
            monotonic_ms(), attempt_id, response.status_code, content_type, body, 0
        )

    def _read_stream(self, submit, response, content_type: str) -> SidecarEvent:
        attempt_id = submit.attempt_id
        numbers = count(submit.resume_from)
        for piece in _pieces(response):
            number = next(numbers)
            if piece == END_OF_STREAM:
                self._batcher.flush()
                return EngineFinished(
                    monotonic_ms(), attempt_id, 200, content_type, b"", number
                )
            self._batcher.add(attempt_id, number, piece)
            if number == submit.resume_from:
                self._batcher.flush()
        self._batcher.flush()
        return EngineCut(monotonic_ms(), attempt_id, "stream ended early")

    def _merge_stream(self, attempt_id: str, response) -> SidecarEvent:
        """Merge the pieces for a caller that requested one JSON response."""
        pieces = list(_pieces(response))
        if not pieces or pieces[-1] != END_OF_STREAM:
            return EngineCut(monotonic_ms(), attempt_id, "stream ended early")
        body = merge_chunks(pieces[:-1])
        return EngineFinished(
            monotonic_ms(), attempt_id, 200, "application/json", body, 0
        )

    def _read_load(self, started_ms: Millis) -> SidecarEvent | None:
        try:
            with gevent.Timeout(REPORT_TIMEOUT_S):
                response = self._client.get("/v1/load")
                load = json.loads(bytes(response.read()))
        except (Exception, gevent.Timeout):
            return EngineLost(monotonic_ms())
        if monotonic_ms() - load["age_ms"] < started_ms:
            return None
        running = load["running"] + load["waiting"]
        cold = load["state"] == "cold"
        return EngineReported(monotonic_ms(), cold, load["epoch"], running)


class _Cancelled(BaseException):
    """Raised in the greenlet of an attempt to cancel it."""


def _pieces(response) -> Iterator[bytes]:
    while line := response.readline(EVENT_END):
        event = bytes(line).strip()
        if event.startswith(EVENT_PREFIX):
            yield event.removeprefix(EVENT_PREFIX)


def _engine_body(submit) -> bytes:
    if not submit.body:
        return b""
    content = json.loads(submit.body)
    content["priority"] = submit.priority
    # A stream is acknowledged at its start, a whole response only at its end.
    content["stream"] = True
    if submit.resume_from:
        content["nutmegslip_resume_from"] = submit.resume_from
    return json.dumps(content).encode()
