"""Run the entry process: callers, links and reducer."""

from typing import Any

from nutmegslip_decisions import entry
from nutmegslip_decisions.entry import (
    Complete,
    Deliver,
    EntryOptions,
    EntryState,
    Fail,
    KeepLinks,
)
from nutmegslip_entry._callers import Callers, make_callers_application
from nutmegslip_entry._metrics import CallerMetrics
from nutmegslip_runtime.process import serve_http
from nutmegslip_runtime.program import (
    ExitCode,
    Gauge,
    ProcessIdentity,
    Shell,
    ShellParts,
    new_identity,
    once_options,
    sync_options,
)
from nutmegslip_runtime.settings import EntrySettings

PROCESS_NAME = "nutmegslip-entry"
STOP_TIMEOUT_S = 10


class Program:
    """One incarnation of the entry process."""

    def __init__(self, settings: EntrySettings, first_start: bool) -> None:
        self._http = settings.http
        identity = new_identity(PROCESS_NAME, first_start)
        parts = ShellParts(
            state=entry.new_state(_options(settings, identity)),
            reduce=entry.reduce,
            perform=self._perform,
            is_ready=entry.is_ready,
            gauges=_gauges,
            details=_details,
        )
        self._shell = Shell(settings, identity, parts)
        metrics = CallerMetrics(self._shell.registry)
        self._callers = Callers(self._shell.machine.dispatch, metrics)

    def run(self) -> ExitCode:
        """Run until stopped; return the exit code."""
        application = make_callers_application(self._callers, self._http.max_body_bytes)
        callers = serve_http(self._http.callers, application)
        code = self._shell.run()
        callers.stop(STOP_TIMEOUT_S)
        self._shell.close()
        return code

    def _perform(self, effect: object) -> None:
        match effect:
            case Deliver() | Complete() | Fail():
                self._callers.reply(effect)
            case KeepLinks(hosts):
                self._shell.keep_links(hosts)


def _options(settings: EntrySettings, identity: ProcessIdentity) -> EntryOptions:
    return EntryOptions(
        sync=sync_options(settings, identity),
        incarnation=identity.incarnation,
        started_ms=identity.started_ms,
        once=once_options(settings),
        first_start=identity.first_start,
    )


def _gauges(state: EntryState) -> tuple[Gauge, ...]:
    requests, attempts = len(state.requests), len(state.attempts)
    budget, logged = state.retries.budget, len(state.once.logs)
    return (
        Gauge("requests_in_hand", "Requests without an answer.", requests),
        Gauge("attempts_in_hand", "Attempts under way.", attempts),
        Gauge("retry_budget", "Retries that may be made now.", budget),
        Gauge("keys_logged", "Idempotency keys in the log.", logged),
    )


def _details(state: EntryState) -> dict[str, Any]:
    upstreams = {
        name: {
            "load": upstream.load,
            "own": upstream.own_in_flight,
            "cold": upstream.cold,
            "credits": upstream.credits,
        }
        for name, upstream in sorted(state.routing.upstreams.items())
    }
    return {
        "requests": len(state.requests),
        "attempts": len(state.attempts),
        "keys_logged": len(state.once.logs),
        "stopping": state.stopping,
        "upstreams": upstreams,
    }
