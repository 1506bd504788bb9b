"""Stand in for a weight store whose readers share one rate."""

from collections.abc import Iterator

import defopt
import falcon
import gevent

from fakes._serving import now_ms, serve

CHUNK_BYTES = 65_536


class WeightStore:
    """Spread chunks over time, so that all readers together keep the rate."""

    def __init__(self, bytes_per_second: int) -> None:
        self.served_bytes = 0
        self._bytes_per_second = bytes_per_second
        self._next_free_ms = 0.0

    def chunks(self, size: int) -> Iterator[bytes]:
        """Yield ``size`` zero bytes, each chunk when the rate allows it."""
        for start in range(0, size, CHUNK_BYTES):
            length = min(CHUNK_BYTES, size - start)
            gevent.sleep(self._reserve(length) / 1_000)
            self.served_bytes += length
            yield bytes(length)

    def _reserve(self, length: int) -> float:
        """Return how many milliseconds to wait before a chunk is through."""
        now = now_ms()
        start_ms = max(self._next_free_ms, now)
        self._next_free_ms = start_ms + length * 1_000 / self._bytes_per_second
        return self._next_free_ms - now


class Weights:
    """Answer reads of weights."""

    def __init__(self, store: WeightStore) -> None:
        self._store = store

    def on_get(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Stream as many bytes as ``bytes`` asks for, whatever the name."""
        size = request.get_param_as_int("bytes", required=True, min_value=0)
        response.set_header("x-weights", name)
        response.content_type = "application/octet-stream"
        response.set_stream(self._store.chunks(size), size)


class Served:
    """Tell tests how much was read."""

    def __init__(self, store: WeightStore) -> None:
        self._store = store

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Answer the count of bytes sent."""
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
    """Serve weights at a rate that all readers share.

    :param port: TCP port to listen on
    :param host: IP number to listen on
    :param bytes_per_second: rate of all readers together
    """
    serve(make_app(bytes_per_second), host, port)


if __name__ == "__main__":
    defopt.run(main)
