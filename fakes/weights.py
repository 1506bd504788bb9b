"""Fake of a weight store whose readers share one rate limit."""

from collections.abc import Iterator

import defopt
import falcon
import gevent

from fakes._serving import now_ms, serve

CHUNK_BYTES = 65_536


class WeightStore:
    """A store that limits the total rate of all readers."""

    def __init__(self, bytes_per_second: int) -> None:
        self.served_bytes = 0
        self._bytes_per_second = bytes_per_second
        self._next_free_ms = 0.0

    def chunks(self, size: int) -> Iterator[bytes]:
        """Yield ``size`` zero bytes in chunks, each when the rate limit allows it."""
        for start in range(0, size, CHUNK_BYTES):
            length = min(CHUNK_BYTES, size - start)
            gevent.sleep(self._reserve(length) / 1_000)
            self.served_bytes += length
            yield bytes(length)

    def _reserve(self, length: int) -> float:
        """Reserve time to send a chunk; return the milliseconds until its end."""
        now = now_ms()
        start_ms = max(self._next_free_ms, now)
        self._next_free_ms = start_ms + length * 1_000 / self._bytes_per_second
        return self._next_free_ms - now


class Weights:
    """Endpoint that serves weights."""

    def __init__(self, store: WeightStore) -> None:
        self._store = store

    def on_get(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Stream the number of bytes given in ``bytes``, for any name."""
        size = request.get_param_as_int("bytes", required=True, min_value=0)
        response.set_header("x-weights", name)
        response.content_type = "application/octet-stream"
        response.set_stream(self._store.chunks(size), size)


class Served:
    """Control endpoint that returns the number of bytes sent."""

    def __init__(self, store: WeightStore) -> None:
        self._store = store

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the number of bytes sent."""
        response.media = {"bytes": self._store.served_bytes}


def make_app(bytes_per_second: int) -> falcon.App:
    """Return the application: ``/v1/weights/NAME`` and ``/_control/served``."""
    store = WeightStore(bytes_per_second)
    app = falcon.App()
    app.add_route("/v1/weights/{name}", Weights(store))
    app.add_route("/_control/served", Served(store))
    return app


def main(
    *, port: int, host: str = "127.0.0.1", bytes_per_second: int = 100_000_000
) -> None:
    """Serve weights at a rate limit that all readers share.

    :param port: TCP port to listen on
    :param host: IP address to listen on
    :param bytes_per_second: total rate of all readers
    """
    serve(make_app(bytes_per_second), host, port)


if __name__ == "__main__":
    defopt.run(main)
