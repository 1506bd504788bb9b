"""Offer tests a side door to a model engine."""

from typing import Any

import falcon

from fakes.engine._batch import Engine, Run


class ControlRuns:
    """Show every request that the engine accepted."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Answer the runs in the order of acceptance."""
        response.media = {"runs": [_record(run) for run in self._engine.runs]}


class ControlViolations:
    """Show how often the cold limit was passed."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Answer the violations and the present epoch."""
        warmup = self._engine.warmup
        response.media = {"violations": warmup.violations, "epoch": warmup.epoch}


class ControlMode:
    """Turn the engine cold or warm, or slow it down."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Take ``{"state": "cold"|"warm", "slow_factor": x}``, each optional."""
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
