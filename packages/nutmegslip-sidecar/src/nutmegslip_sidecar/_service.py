"""Call the plain service of this sidecar."""

from collections.abc import Callable

import gevent
from geventhttpclient import HTTPClient

from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.once import Answer
from nutmegslip_decisions.sidecar import (
    EngineCut,
    EngineFinished,
    EngineNotSent,
    OnceCut,
    OnceFinished,
    OnceNotSent,
    SidecarEvent,
    StartAttempt,
    StartOnce,
)
from nutmegslip_messages import ServiceCall, decode_call
from nutmegslip_runtime.process import monotonic_ms


class Service:
    """A client of a plain service; each call ends with exactly one event."""

    def __init__(
        self,
        address: str,
        connect_timeout_ms: int,
        dispatch: Callable[[SidecarEvent], None],
    ) -> None:
        self._ip, _, port = address.rpartition(":")
        self._port = int(port)
        self._connect_timeout_s = connect_timeout_ms / 1_000
        self._dispatch = dispatch
        self._running: dict[str, gevent.Greenlet] = {}

    def start_once(self, start: StartOnce) -> None:
        """Start a call that may not be repeated."""
        gevent.spawn(self._run_once, start)

    def start(self, start: StartAttempt) -> None:
        """Start a call that may be repeated."""
        attempt_id = start.submit.attempt_id
        self._running[attempt_id] = gevent.spawn(self._run, start)

    def cancel(self, attempt_id: str) -> None:
        """Do nothing: a call that is no longer needed runs to its end."""

    def _run_once(self, start: StartOnce) -> None:
        key = start.key
        try:
            answer = self._call(decode_call(start.payload), start.deadline_ms)
        except (_NotSentError, ConnectionRefusedError):
            event = OnceNotSent(monotonic_ms(), key)
        except (Exception, gevent.Timeout):
            event = OnceCut(monotonic_ms(), key)
        else:
            event = OnceFinished(monotonic_ms(), key, answer)
        self._dispatch(event)

    def _run(self, start: StartAttempt) -> None:
        submit = start.submit
        call = ServiceCall(
            submit.method, submit.path, "application/json", "", submit.body
        )
        attempt_id = submit.attempt_id
        try:
            answer = self._call(call, submit.deadline_ms)
        except (_NotSentError, ConnectionRefusedError) as error:
            event = EngineNotSent(monotonic_ms(), attempt_id, type(error).__name__)
        except (Exception, gevent.Timeout) as error:
            event = EngineCut(monotonic_ms(), attempt_id, type(error).__name__)
        else:
            event = EngineFinished(
                monotonic_ms(),
                attempt_id,
                answer.status,
                answer.content_type,
                answer.body,
                0,
            )
        del self._running[attempt_id]
        self._dispatch(event)

    def _call(self, call: ServiceCall, deadline_ms: Millis) -> Answer:
        remaining_s = (deadline_ms - monotonic_ms()) / 1_000
        if remaining_s <= 0:
            # The deadline may have passed while this process was suspended.
            raise _NotSentError
        # A new connection for each call: a refused one proves that nothing ran.
        client = HTTPClient(
            self._ip,
            self._port,
            connection_timeout=self._connect_timeout_s,
            network_timeout=remaining_s,
        )
        headers = {"Content-Type": call.content_type}
        if call.idempotency_key:
            headers["Idempotency-Key"] = call.idempotency_key
        try:
            with gevent.Timeout(remaining_s):
                response = client.request(call.method, call.path, call.body, headers)
                body = bytes(response.read())
                content_type = response.get("content-type", "application/json")
                return Answer(response.status_code, content_type, body)
        finally:
            client.close()


class _NotSentError(Exception):
    """A call that was abandoned before anything was sent."""
