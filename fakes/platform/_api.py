"""Route the platform's HTTP API and the control endpoints for tests."""

from dataclasses import dataclass, field

import falcon
import gevent

from fakes._serving import close_connection
from fakes.platform._feed import Feed, TooLargeError


@dataclass
class Mode:
    """The injected faults, and the number of calls so far.

    ``down`` responds 503, ``cut`` closes each connection without a response,
    ``slow_ms`` delays each response.
    """

    down: bool = False
    cut: bool = False
    slow_ms: int = 0
    counts: dict[str, int] = field(default_factory=dict)


def make_app(hosts_lag_ms: int) -> falcon.App:
    """Return the application: ``/v1/changes``, ``/v1/hosts``, ``/_control/...``."""
    mode = Mode()
    feeds = {"changes": Feed(), "hosts": Feed(hosts_lag_ms)}
    app = falcon.App()
    for name, feed in feeds.items():
        app.add_route(f"/v1/{name}", Reads(name, feed, mode))
    app.add_route("/_control/publish", Publishing(feeds["changes"]))
    app.add_route("/_control/hosts", Publishing(feeds["hosts"]))
    app.add_route("/_control/counts", Counts(mode))
    app.add_route("/_control/mode", Modes(mode, feeds))
    return app


class Reads:
    """Endpoint of reads and watches of one feed; counts each call."""

    def __init__(self, name: str, feed: Feed, mode: Mode) -> None:
        self._name = name
        self._feed = feed
        self._mode = mode

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return all changes after a version, waiting up to ``wait_ms``."""
        mode = self._mode
        mode.counts[self._name] = mode.counts.get(self._name, 0) + 1
        after = request.get_param_as_int("after", default=0)
        wait_ms = request.get_param_as_int("wait_ms", default=0)
        gevent.sleep(mode.slow_ms / 1000)
        if not (mode.down or mode.cut):
            response.media = self._feed.read(after, wait_ms)
        if mode.cut:
            close_connection(request)
        if mode.down:
            raise falcon.HTTPServiceUnavailable(
                description="unavailable by an injected fault"
            )


class Publishing:
    """Control endpoint that publishes edits to one feed."""

    def __init__(self, feed: Feed) -> None:
        self._feed = feed

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Publish a list of ``{"key": ..., "value": ...}`` edits."""
        try:
            self._feed.publish(request.media)
        except TooLargeError as error:
            raise falcon.HTTPContentTooLarge(description=str(error)) from error
        response.media = {"version": self._feed.version}


class Counts:
    """Control endpoint that returns the number of calls by feed."""

    def __init__(self, mode: Mode) -> None:
        self._mode = mode

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the counts by feed name."""
        response.media = self._mode.counts


class Modes:
    """Control endpoint that sets faults."""

    def __init__(self, mode: Mode, feeds: dict[str, Feed]) -> None:
        self._mode = mode
        self._feeds = feeds

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Set ``down``, ``cut``, ``slow_ms``, ``stale``, ``hosts_lag_ms``, ``compact``.

        Missing keys are reset to their defaults, except the lag of hosts.
        """
        body = request.media
        self._mode.down = body.get("down", False)
        self._mode.cut = body.get("cut", False)
        self._mode.slow_ms = body.get("slow_ms", 0)
        hosts = self._feeds["hosts"]
        hosts.lag_ms = body.get("hosts_lag_ms", hosts.lag_ms)
        for feed in self._feeds.values():
            feed.freeze(body.get("stale", False))
            if body.get("compact", False):
                feed.compact()
        response.media = {"hosts_lag_ms": hosts.lag_ms}
