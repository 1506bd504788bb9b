"""Run the reducer and hand each request its next step."""

from collections.abc import Callable

from gevent.event import AsyncResult

from nutmegslip_decisions import direct
from nutmegslip_decisions.direct import (
    DeliverFailure,
    Effect,
    Event,
    PaceMeasured,
    Refuse,
    Send,
    Upstream,
)
from nutmegslip_entry.direct._journal import lines_of
from nutmegslip_entry.direct._meters import Meters
from nutmegslip_runtime.eventlog import RateLimitedLog


class Machine:
    """Hold the state of this process; all its greenlets share one thread."""

    def __init__(
        self,
        options: direct.Options,
        clock: Callable[[], int],
        log: RateLimitedLog,
        meters: Meters,
    ) -> None:
        self._state = direct.State(options)
        self._steps: dict[int, AsyncResult] = {}
        self._gaps: dict[tuple[str, str], tuple[int, int]] = {}
        self._log = log
        self._meters = meters
        self.clock = clock

    @property
    def state(self) -> direct.State:
        """Return the state, to read it."""
        return self._state

    def take(self, event: Event) -> None:
        """Reduce one event, write what it changed, and pass its effects on."""
        before = self._state
        self._state, effects = direct.reduce(before, event)
        for line in lines_of(event, before, self._state, effects):
            self._meters.count(line.name)
            self._log.emit(line.name, line.request, **line.fields)
            if line.name == "request-served":
                self._meters.took(int(line.fields["after_ms"]))
        for effect in effects:
            self._pass_on(effect)

    def measure_gap(self, upstream: Upstream, gap_ms: int) -> None:
        """Remember one pause between events until the pace is taken."""
        key = (upstream.service, upstream.group)
        total, count = self._gaps.get(key, (0, 0))
        self._gaps[key] = (total + gap_ms, count + 1)

    def take_paces(self) -> None:
        """Reduce the mean pause of each group since the last call."""
        gaps, self._gaps = self._gaps, {}
        for (service, group), (total, count) in gaps.items():
            self.take(PaceMeasured(self.clock(), service, group, total / count))

    def ask(self, ticket: int, event: Event) -> Effect:
        """Reduce an event of a request and wait for the request's next step."""
        step = self._steps[ticket] = AsyncResult()
        try:
            self.take(event)
            return step.get()
        finally:
            del self._steps[ticket]

    def _pass_on(self, effect: Effect) -> None:
        match effect:
            case Send(request, _):
                ticket = request.ticket
            case Refuse(ticket) | DeliverFailure(ticket):
                pass
        if ticket in self._steps:
            self._steps[ticket].set(effect)
