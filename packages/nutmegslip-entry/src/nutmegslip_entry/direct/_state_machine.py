"""Run the reducer and deliver to each request its next step."""

import math
from collections import defaultdict
from collections.abc import Callable

from gevent.event import AsyncResult
from gevent.event import Event as Flag

from nutmegslip_decisions import direct
from nutmegslip_decisions.direct import (
    CancelAttempt,
    DeliverFailure,
    Effect,
    Event,
    Hedge,
    PaceMeasured,
    Refuse,
    Send,
    Upstream,
    UpstreamLeaving,
    UpstreamLimited,
    UpstreamPaused,
)
from nutmegslip_entry.direct._header_codec import AnswerFields
from nutmegslip_entry.direct._log_lines import log_lines
from nutmegslip_entry.direct._metrics import Metrics
from nutmegslip_runtime.eventlog import RateLimitedLog

GAP_QUANTILE = 0.9  # of the gaps between two measurements; of a few, the longest

_FIRST_PROCESS = direct.Process()


class StateMachine:
    """The state of this process; all its greenlets share one thread."""

    def __init__(
        self,
        options: direct.Options,
        clock: Callable[[], int],
        log: RateLimitedLog,
        metrics: Metrics,
        process: direct.Process = _FIRST_PROCESS,
    ) -> None:
        self._state = direct.State(options, process)
        self._steps: dict[int, AsyncResult] = {}
        self._gaps: defaultdict[tuple[str, str], list[int]] = defaultdict(list)
        self._log = log
        self._metrics = metrics
        self.clock = clock
        self.retry_sent = Flag()

    @property
    def state(self) -> direct.State:
        """Return the current state, for reading."""
        return self._state

    def dispatch(self, event: Event) -> tuple[Effect, ...]:
        """Reduce one event, log its changes, and deliver and return its effects."""
        before = self._state
        self._state, effects = direct.reduce(before, event)
        for line in log_lines(event, before, self._state, effects):
            self._log.emit(line.name, line.request, **line.fields)
            if line.name == "request-served":
                self._metrics.observe_request(int(line.fields["after_ms"]))
        for effect in effects:
            self._deliver_effect(effect)
        return effects

    def record_answer(
        self, upstream: Upstream, fields: AnswerFields, sent_ms: int | None = None
    ) -> None:
        """Dispatch what the head of an answer says about its upstream.

        ``sent_ms`` is when the request of a caller was sent that it answers, None if it
        answers none.
        """
        now_ms = self.clock()
        if fields.leaving:
            self.dispatch(UpstreamLeaving(now_ms, upstream, fields.misdirected))
        if fields.pause is not None:
            self.dispatch(UpstreamPaused(now_ms, upstream, *fields.pause))
        if fields.misdirected:
            return
        if fields.limit is not None:
            per_s, text = fields.limit
            unreadable = text if per_s is None else ""
            self.dispatch(UpstreamLimited(now_ms, upstream, per_s, sent_ms, unreadable))
        elif self._state.limit_of(upstream) is not None:
            self.dispatch(UpstreamLimited(now_ms, upstream, None, sent_ms))

    def record_gap(self, upstream: Upstream, gap_ms: int) -> None:
        """Record one gap between stream events for the next ``dispatch_paces``."""
        self._gaps[upstream.service, upstream.group].append(gap_ms)

    def dispatch_paces(self) -> None:
        """Dispatch a high quantile of the gaps of each group since the last call."""
        measured, self._gaps = self._gaps, defaultdict(list)
        for (service, group), gaps in measured.items():
            gap_ms = sorted(gaps)[math.ceil(GAP_QUANTILE * len(gaps)) - 1]
            self.dispatch(PaceMeasured(self.clock(), service, group, gap_ms))

    def dispatch_and_wait(self, ticket: int, event: Event) -> Effect:
        """Dispatch an event of a request and return the request's next step."""
        step = self._steps[ticket] = AsyncResult()
        try:
            self.dispatch(event)
            return step.get()
        finally:
            del self._steps[ticket]

    def _deliver_effect(self, effect: Effect) -> None:
        match effect:
            case Send(request, _):
                ticket = request.ticket
                if request.reached:
                    self.retry_sent.set()
            case Refuse(ticket) | DeliverFailure(ticket):
                pass
            case Hedge() | CancelAttempt():
                return  # the greenlet that has dispatched the event performs them
        if ticket in self._steps:
            self._steps[ticket].set(effect)
