"""Control one rank of a group that runs in lock-step."""

import json
from collections.abc import Callable
from typing import Any

import gevent
from geventhttpclient import HTTPClient

from nutmegslip_decisions.experts import agreement
from nutmegslip_decisions.experts.placement import LayerMap, LoadReport
from nutmegslip_decisions.sidecar import GroupEffect, GroupReported, SidecarEvent
from nutmegslip_runtime.process import monotonic_ms
from nutmegslip_runtime.settings import GroupSettings

CALL_TIMEOUT_S = 5
WEIGHTS_TIMEOUT_S = 600
STEP_WAIT_MS = 1_000
RETRY_INTERVAL_S = 0.2


class Rank:
    """A client that attaches to a rank, permits its steps and reports them."""

    def __init__(
        self,
        settings: GroupSettings,
        number: Callable[[], int],
        dispatch: Callable[[SidecarEvent], None],
    ) -> None:
        self._settings = settings
        self._number = number
        self._dispatch = dispatch
        self._incarnation = ""
        self._follower: gevent.Greenlet | None = None

    def perform(self, effect: GroupEffect) -> None:
        """Perform an effect of the agreement at the rank."""
        match effect:
            case agreement.AttachEngine(incarnation):
                self._attach(incarnation)
            case agreement.ConfirmEngine(token):
                gevent.spawn(self._confirm, token)
            case agreement.LoadWeights(wanted, fencing):
                gevent.spawn(self._load, wanted, fencing)
            case agreement.PermitStep():
                gevent.spawn(self._permit, effect)

    def poll_reports(self) -> None:
        """Report the group's load at each interval."""
        while True:
            gevent.sleep(self._settings.report_interval_ms / 1_000)
            answer = self._call("report")
            if answer is not None and answer["paces"]:
                loads = tuple(tuple(layer) for layer in answer["loads"])
                report = LoadReport(loads, tuple(answer["paces"]))
                self._dispatch(GroupReported(monotonic_ms(), report))

    def _attach(self, incarnation: str) -> None:
        self._incarnation = incarnation
        if self._follower is not None:
            self._follower.kill(block=False)
        self._follower = gevent.spawn(self._follow, incarnation)

    def _follow(self, incarnation: str) -> None:
        """Attach, then report each step that the rank requests to enter."""
        while True:
            attached = self._call("attach", {"incarnation": incarnation})
            if attached is not None:
                self._dispatch(_decode_attached(attached))
                self._follow_steps(attached["step"])
                self._dispatch(agreement.EngineLost(monotonic_ms()))
            gevent.sleep(RETRY_INTERVAL_S)

    def _follow_steps(self, step: int) -> None:
        while True:
            query = f"next?after={step}&wait_ms={STEP_WAIT_MS}"
            answer = self._call(query)
            if answer is None:
                return
            if answer["step"] > step:
                step = answer["step"]
            self._dispatch(agreement.StepReached(monotonic_ms(), answer["step"]))

    def _confirm(self, token: int) -> None:
        answer = self._call("confirm", {"incarnation": self._incarnation})
        if answer is not None:
            self._dispatch(agreement.EngineConfirmed(monotonic_ms(), token))

    def _load(self, wanted: agreement.ExpertMap, fencing: int) -> None:
        body = {
            "digest": wanted.digest,
            "version": wanted.version,
            "layers": [[layer.slots, layer.shares] for layer in wanted.placement],
            "fence": fencing,
        }
        if self._call("load", body, WEIGHTS_TIMEOUT_S) is not None:
            self._dispatch(agreement.WeightsLoaded(monotonic_ms(), wanted.digest))

    def _permit(self, permit: agreement.PermitStep) -> None:
        body = {
            "step": permit.step,
            "digest": permit.digest,
            "incarnation": permit.incarnation,
            "fence": permit.fencing,
        }
        self._call("permit", body)

    def _call(
        self, path: str, body: object = None, timeout_s: float = CALL_TIMEOUT_S
    ) -> Any | None:
        """Return the rank's response, or None if it refused or was not reached."""
        ip, _, port = self._settings.address.rpartition(":")
        client = HTTPClient(ip, int(port), network_timeout=timeout_s)
        url = f"/ranks/{self._number()}/{path}"
        try:
            if body is None:
                response = client.get(url)
            else:
                headers = {"Content-Type": "application/json"}
                response = client.post(url, json.dumps(body), headers)
            content = bytes(response.read())
            return json.loads(content) if response.status_code == 200 else None
        except Exception:
            # The client raises many exception types; the caller retries later.
            return None
        finally:
            client.close()


def _decode_attached(answer: dict[str, Any]) -> agreement.EngineAttached:
    return agreement.EngineAttached(
        now_ms=monotonic_ms(),
        step=answer["step"],
        map=_decode_map(answer["map"]),
        loaded=frozenset(answer["loaded"]),
        fencing=answer["fence"],
    )


def _decode_map(content: dict[str, Any] | None) -> agreement.ExpertMap | None:
    if content is None:
        return None
    layers = tuple(
        LayerMap(
            tuple(tuple(rank) for rank in slots),
            tuple(tuple(rank) for rank in shares),
        )
        for slots, shares in content["layers"]
    )
    return agreement.ExpertMap(content["version"], content["digest"], layers)
