"""Serve the control endpoints of a model engine for tests."""

from typing import Any

import falcon

from fakes.engine._batch import Engine, Run


class ControlRuns:
    """Endpoint that lists every request that the engine accepted."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the runs in the order of acceptance."""
        response.media = {"runs": [_record(run) for run in self._engine.runs]}


class ControlViolations:
    """Endpoint that lists violations of the cold limit."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the violations and the current epoch."""
        warmup = self._engine.warmup
        response.media = {"violations": warmup.violations, "epoch": warmup.epoch}


class ControlMode:
    """Endpoint that turns the engine cold or warm, or slows it down."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Accept ``{"state": "cold"|"warm", "slow_factor": x}``, both optional."""
        body = request.media
        match body.get("state"):
            case "cold":
                self._engine.turn_cold()
            case "warm":
                self._engine.warmup.turn_warm()
        self._engine.slow_factor = body.get("slow_factor", 1.0)
        response.media = {"epoch": self._engine.warmup.epoch}


def _record(run: Run) -> dict[str, Any]:
    return {
        "id": run.id,
        "prompt": run.prompt,
        "resume_from": run.resume_from,
        "max_tokens": run.max_tokens,
        "priority": run.priority,
        "at_ms": run.at_ms,
        "epoch": run.epoch,
        "warm": run.warm,
        "cached_blocks": run.cached_blocks,
        "sent_until": run.next_index,
        "ended": run.ended,
    }
