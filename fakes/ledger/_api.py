"""Record every submission that ran, and serve lookups."""

from dataclasses import dataclass, field
from typing import TypedDict

import falcon
import gevent

from fakes._serving import close_connection, now_ms


class Run(TypedDict):
    """One submission; it counts as run once its body is read."""

    key: str | None
    body: object
    at_ms: int
    answered: bool


@dataclass
class Ledger:
    """The recorded runs and the injected faults.

    For the next ``cut_next`` submissions the connection is closed after the run
    is recorded; the next ``refuse_next`` get 503 and are not run.
    """

    runs: list[Run] = field(default_factory=list)
    lookups: int = 0
    delay_ms: int = 0
    cut_next: int = 0
    refuse_next: int = 0


def make_app(delay_ms: int = 0) -> falcon.App:
    """Return the application of one service."""
    ledger = Ledger(delay_ms=delay_ms)
    app = falcon.App()
    app.add_route("/submit", Submissions(ledger))
    app.add_route("/lookup", Lookups(ledger))
    app.add_route("/health", Health())
    app.add_route("/_control/runs", Runs(ledger))
    app.add_route("/_control/mode", Modes(ledger))
    return app


class Submissions:
    """Endpoint that runs each submission, duplicates too."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Record the submission, then respond after the configured delay."""
        ledger = self._ledger
        body = request.media
        if ledger.refuse_next > 0:
            ledger.refuse_next -= 1
            raise falcon.HTTPServiceUnavailable(
                description="refused by an injected fault"
            )
        key = request.get_header("Idempotency-Key")
        run = Run(key=key, body=body, at_ms=now_ms(), answered=False)
        ledger.runs.append(run)
        number = len(ledger.runs)
        gevent.sleep(ledger.delay_ms / 1000)
        if ledger.cut_next > 0:
            ledger.cut_next -= 1
            close_connection(request)
            return
        run["answered"] = True
        response.media = {"accepted": True, "number": number, "key": key}


class Lookups:
    """Endpoint of idempotent lookups."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the query and the number of submissions that ran."""
        self._ledger.lookups += 1
        gevent.sleep(self._ledger.delay_ms / 1000)
        response.media = {"query": request.params, "runs": len(self._ledger.runs)}


class Health:
    """Health check endpoint."""

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return status 200."""
        response.media = {"status": "ok"}


class Runs:
    """Control endpoint that lists the runs."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return every run in order, and the number of lookups."""
        response.media = {"runs": self._ledger.runs, "lookups": self._ledger.lookups}


class Modes:
    """Control endpoint that sets faults."""

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Set ``delay_ms``, ``cut_next``, ``refuse_next``; missing keys become zero."""
        body = request.media
        self._ledger.delay_ms = body.get("delay_ms", 0)
        self._ledger.cut_next = body.get("cut_next", 0)
        self._ledger.refuse_next = body.get("refuse_next", 0)
        response.media = {}
