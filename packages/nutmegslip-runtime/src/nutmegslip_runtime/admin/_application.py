"""Serve the admin endpoints."""

from collections.abc import Callable
from typing import NamedTuple

import falcon
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from nutmegslip_runtime.admin._status import ProcessStatus


class AdminViews(NamedTuple):
    """The data of the process that the endpoints serve."""

    is_ready: Callable[[], bool]
    status: Callable[[], ProcessStatus]
    registry: CollectorRegistry


def make_admin(views: AdminViews) -> falcon.App:
    """Return the WSGI application: /healthz, /readyz, /metrics and /status."""
    application = falcon.App()
    application.add_route("/healthz", _Health())
    application.add_route("/readyz", _Readiness(views.is_ready))
    application.add_route("/metrics", _Metrics(views.registry))
    application.add_route("/status", _Status(views.status))
    return application


class _Health:
    """Report that the process is running."""

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        response.media = {"healthy": True}


class _Readiness:
    """Report whether the process accepts new requests."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        ready = self._is_ready()
        response.media = {"ready": ready}
        response.status = falcon.HTTP_200 if ready else falcon.HTTP_503


class _Metrics:
    """Serve the metrics in the Prometheus text format."""

    def __init__(self, registry: CollectorRegistry) -> None:
        self._registry = registry

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        response.content_type = CONTENT_TYPE_LATEST
        response.data = generate_latest(self._registry)


class _Status:
    """Serve the status of the process as JSON."""

    def __init__(self, status: Callable[[], ProcessStatus]) -> None:
        self._status = status

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        response.media = self._status()
