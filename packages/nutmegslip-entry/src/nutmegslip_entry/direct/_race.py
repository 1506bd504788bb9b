"""Run the attempts of a request that may be hedged, and keep the first answer.

Each attempt reads in a greenlet of its own: a plain answer completely, a stream up to
its first events. So an answer that breaks off early does not cost the other attempt.
"""

from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent.queue import Empty, Queue

from nutmegslip_decisions.direct import (
    AttemptFailed,
    CancelAttempt,
    EventSplitter,
    Failure,
    Hedge,
    HedgeDue,
    Request,
    ResponseStarted,
    Upstream,
)
from nutmegslip_entry.direct._state_machine import StateMachine
from nutmegslip_runtime.http1 import ClientConnection, ResponseHead

READ_S = 0.001  # lets the attempts read what has arrived


class CompleteAnswer(NamedTuple):
    """A complete answer of an upstream."""

    answer: ResponseHead
    body: bytes | bytearray


class BegunStream(NamedTuple):
    """A stream up to its first events; without any it has ended.

    ``connection`` has the rest, of which ``splitter`` holds what was already read.
    """

    connection: ClientConnection
    answer: ResponseHead
    splitter: EventSplitter
    events: bytes


class FailedAttempt(NamedTuple):
    """An attempt that failed."""

    failure: Failure


AttemptResult = CompleteAnswer | BegunStream | FailedAttempt


class Outcome(NamedTuple):
    """The result of the attempt at an upstream."""

    request: Request
    upstream: Upstream
    result: AttemptResult | Exception


class Race:
    """The attempts of one request; ``attempt`` makes one of them."""

    def __init__(
        self,
        machine: StateMachine,
        attempt: Callable[[Request, Upstream], AttemptResult],
    ) -> None:
        self._machine = machine
        self._attempt = attempt
        self._running: dict[str, gevent.Greenlet] = {}
        self._outcomes: Queue[Outcome] = Queue()
        self._over = False

    def run(self, request: Request, upstream: Upstream) -> Outcome:
        """Return the first answer, or the last failure if there is none.

        The reducer knows of every event but the last failure.
        """
        self._start(request, upstream)
        try:
            while True:
                outcome = self._next_outcome(request.ticket)
                match outcome.result:
                    case Exception() as error:
                        raise error
                    case FailedAttempt(failure):
                        if not self._running:
                            return outcome
                        self._report_failure(outcome, failure)
                    case _:
                        self._report_answer(outcome)
                        return outcome
        finally:
            self._end()

    def _start(self, request: Request, upstream: Upstream) -> None:
        greenlet = gevent.spawn(self._run_attempt, request, upstream)
        self._running[upstream.id] = greenlet

    def _run_attempt(self, request: Request, upstream: Upstream) -> None:
        try:
            result: AttemptResult | Exception = self._attempt(request, upstream)
        except Exception as error:
            result = error  # raised again by the greenlet that serves the caller
        if self._over:
            _close(result)
        else:
            self._outcomes.put(Outcome(request, upstream, result))

    def _next_outcome(self, ticket: int) -> Outcome:
        """Return the next outcome; hedge the request each time that is due."""
        while True:
            try:
                outcome = self._outcomes.get(timeout=self._hedge_delay_s(ticket))
            except Empty:
                # After a suspension answers may have arrived that are not read yet.
                gevent.sleep(READ_S)
                if self._outcomes.empty():
                    self._dispatch_due(ticket)
                continue
            del self._running[outcome.upstream.id]
            return outcome

    def _hedge_delay_s(self, ticket: int) -> float | None:
        request = self._machine.state.requests.get(ticket)
        if request is None or request.hedge_ms is None:
            return None
        return max(request.hedge_ms - self._machine.clock(), 1) / 1_000

    def _dispatch_due(self, ticket: int) -> None:
        due = HedgeDue(self._machine.clock(), ticket)
        for effect in self._machine.dispatch(due):
            if isinstance(effect, Hedge) and effect.request.ticket == ticket:
                self._start(effect.request, effect.upstream)

    def _report_failure(self, outcome: Outcome, failure: Failure) -> None:
        self._machine.dispatch(
            AttemptFailed(
                self._machine.clock(),
                outcome.request.ticket,
                failure,
                upstream=outcome.upstream.id,
            )
        )

    def _report_answer(self, outcome: Outcome) -> None:
        ticket = outcome.request.ticket
        started = ResponseStarted(self._machine.clock(), ticket, outcome.upstream.id)
        for effect in self._machine.dispatch(started):
            if isinstance(effect, CancelAttempt) and effect.ticket == ticket:
                self._running[effect.upstream_id].kill(block=False)

    def _end(self) -> None:
        """Close the connections of all attempts that were not returned."""
        self._over = True
        for greenlet in self._running.values():
            greenlet.kill(block=False)
        while not self._outcomes.empty():
            _close(self._outcomes.get_nowait().result)


def _close(result: AttemptResult | Exception) -> None:
    if isinstance(result, BegunStream):
        result.connection.close()
