"""Serve the store's read API."""

import falcon

from fakes import _serving
from fakes.store._history import Copy, History


class StoreServer:
    """A fake store that listens on loopback; ``down`` makes each call return 503.

    Every answer names the era, which rises with each restore from a copy.
    """

    def __init__(self) -> None:
        self.history = History()
        self.down = False
        self.calls = 0
        self.era = 1
        app = falcon.App(middleware=[_EraHeader(self)])
        app.add_route("/kv-range", _Range(self))
        app.add_route("/kv-watch", _Watch(self))
        self._server = _serving.start(app, "127.0.0.1", 0)

    @property
    def address(self) -> str:
        """Return the address as ip:port."""
        return f"127.0.0.1:{self._server.server_port}"

    def count_call(self) -> None:
        """Count a call; raise HTTP 503 if the store is down."""
        self.calls += 1
        if self.down:
            raise falcon.HTTPServiceUnavailable(
                description="unavailable by an injected fault"
            )

    def restore(self, copy: Copy) -> None:
        """Lose every change since a copy, in a new era."""
        self.era += 1
        self.history.restore(copy)

    def close(self) -> None:
        """Stop serving."""
        self._server.stop(timeout=0)


class _EraHeader:
    def __init__(self, server: StoreServer) -> None:
        self._server = server

    def process_response(
        self,
        _request: falcon.Request,
        response: falcon.Response,
        _resource: object,
        _succeeded: bool,
    ) -> None:
        response.set_header("Store-Era", str(self._server.era))


class _Range:
    def __init__(self, server: StoreServer) -> None:
        self._server = server

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return one page of items."""
        self._server.count_call()
        prefix = request.get_param("pathPrefix", default="")
        after = request.get_param("after", default="")
        response.media = self._server.history.page(prefix, after)


class _Watch:
    def __init__(self, server: StoreServer) -> None:
        self._server = server

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the changes after a revision, or 410 if they were compacted."""
        self._server.count_call()
        changes = self._server.history.watch(
            request.get_param("pathPrefix", default=""),
            request.get_param_as_int("after", required=True),
            request.get_param_as_int("waitMs", default=0) / 1_000,
        )
        if changes is None:
            raise falcon.HTTPGone(
                description="the history after this revision was compacted"
            )
        response.media = changes
