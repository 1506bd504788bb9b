"""Route each rank's HTTP API and the control endpoints for tests."""

from typing import Any

import falcon
from geventhttpclient import HTTPClient
from geventhttpclient.url import URL

from fakes.ranks._group import Group, LoadedMap, Permit, RefusedError


def make_app(group: Group, weights_url: str | None = None) -> falcon.App:
    """Return the application: ``/ranks/R/...`` and ``/_control/...``."""
    app = falcon.App()
    app.add_error_handler(RefusedError, _conflict)
    app.add_route("/ranks/{rank:int}/attach", Attachments(group))
    app.add_route("/ranks/{rank:int}/confirm", Confirmations(group))
    app.add_route("/ranks/{rank:int}/next", Next(group))
    app.add_route("/ranks/{rank:int}/permit", Permits(group))
    app.add_route("/ranks/{rank:int}/load", Loads(group, weights_url))
    app.add_route("/ranks/{rank:int}/report", Reports(group))
    app.add_route("/_control/steps", ControlSteps(group))
    app.add_route("/_control/mode", ControlMode(group))
    return app


class Attachments:
    """Endpoint that attaches a sidecar incarnation to a rank."""

    def __init__(self, group: Group) -> None:
        self._group = group

    def on_post(self, request: falcon.Request, response: falcon.Response, rank: int):
        """Accept ``{"incarnation"}``; return the state of the rank."""
        response.media = self._group.attach(rank, request.media["incarnation"])


class Confirmations:
    """Endpoint that confirms that a sidecar incarnation is still attached."""

    def __init__(self, group: Group) -> None:
        self._group = group

    def on_post(self, request: falcon.Request, response: falcon.Response, rank: int):
        """Accept ``{"incarnation"}``; 409 if another one is attached."""
        self._group.check_attached(rank, request.media["incarnation"])
        response.media = {"confirmed": True}


class Next:
    """Endpoint that returns the step that a rank wants to enter."""

    def __init__(self, group: Group) -> None:
        self._group = group

    def on_get(self, request: falcon.Request, response: falcon.Response, rank: int):
        """Return the wanted step, waiting for one above ``after``."""
        after = request.get_param_as_int("after", default=-1)
        wait_ms = request.get_param_as_int("wait_ms", default=0)
        response.media = {"step": self._group.wait_for_step(rank, after, wait_ms)}


class Permits:
    """Endpoint of permits to enter the wanted step."""

    def __init__(self, group: Group) -> None:
        self._group = group

    def on_post(self, request: falcon.Request, response: falcon.Response, rank: int):
        """Accept ``{"step", "digest", "incarnation", "fence"}``; 409 if refused."""
        self._group.permit(rank, Permit(**request.media))
        response.media = {"step": self._group.wanted_step}


class Loads:
    """Endpoint that loads a map's weights from the weight store."""

    def __init__(self, group: Group, weights_url: str | None) -> None:
        self._group = group
        self._weights_url = weights_url

    def on_post(self, request: falcon.Request, response: falcon.Response, rank: int):
        """Accept ``{"digest", "version", "layers", "fence", "bytes"}``."""
        body = request.media
        self._fetch(rank, body.get("bytes", 0))
        loaded = LoadedMap(
            version=body["version"],
            digest=body["digest"],
            layers=body["layers"],
        )
        self._group.load(rank, loaded, body.get("fence", 0))
        response.media = {"loaded": sorted(self._group.members[rank].loaded)}

    def _fetch(self, rank: int, size: int) -> None:
        if not (self._weights_url and size):
            return
        url = URL(self._weights_url)
        client = HTTPClient.from_url(url, network_timeout=600)
        client.get(f"/v1/weights/rank-{rank}?bytes={size}").read()
        client.close()


class Reports:
    """Endpoint that reports the load of each expert and the pace of each rank."""

    def __init__(self, group: Group) -> None:
        self._group = group

    def on_get(self, _request: falcon.Request, response: falcon.Response, rank: int):
        """Return loads by layer and expert, and paces by rank."""
        group = self._group
        response.media = {"loads": [group.expert_load], "paces": group.paces()}


class ControlSteps:
    """Control endpoint that lists the steps."""

    def __init__(self, group: Group) -> None:
        self._group = group

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return every step, and those in which the ranks' maps differed."""
        records = self._group.records
        mixed = [r["step"] for r in records if len(set(r["maps"])) > 1]
        response.media = {"steps": records, "mixed": mixed}


class ControlMode:
    """Control endpoint that stalls, slows or restarts ranks and sets expert loads."""

    def __init__(self, group: Group) -> None:
        self._group = group

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Accept ``stalled``, ``slow_factors``, ``expert_load``, ``restart``."""
        body, group = request.media, self._group
        group.stalled = set(body.get("stalled", []))
        group.slow_factors = body.get("slow_factors", group.slow_factors)
        for expert, load in body.get("expert_load", {}).items():
            group.expert_load[int(expert)] = load
        for rank in body.get("restart", []):
            group.restart(rank)
        response.media = {"step": group.wanted_step}


def _conflict(
    _request: falcon.Request,
    _response: falcon.Response,
    error: RefusedError,
    _params: dict[str, Any],
) -> None:
    raise falcon.HTTPConflict(description=str(error))
