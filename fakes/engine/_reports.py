"""Serve reports of load and cache, and accept orders."""

import falcon
import gevent

from fakes._serving import now_ms
from fakes.engine._batch import Engine
from fakes.engine._cache import blocks_of
from fakes.engine._orders import Orders

MIN_SAMPLE_INTERVAL_MS = 1


class Load:
    """Endpoint that reports load as of the last sample."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._sample: dict[str, object] = {}
        gevent.spawn(self._sample_forever)

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the last sample and its age."""
        sampled_ms = self._sample["at_ms"]
        response.media = self._sample | {"age_ms": now_ms() - sampled_ms}

    def _sample_forever(self) -> None:
        while True:
            engine = self._engine
            warm = engine.warmup.is_warm(now_ms())
            self._sample = {
                "at_ms": now_ms(),
                "running": engine.running,
                "waiting": engine.in_flight - engine.running,
                "cached_blocks": len(engine.cache),
                "state": "warm" if warm else "cold",
                "epoch": engine.warmup.epoch,
            }
            gevent.sleep(
                max(engine.options.load_lag_ms, MIN_SAMPLE_INTERVAL_MS) / 1_000
            )


class CacheEvents:
    """Endpoint that reports cache events, late and with gaps."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the events after the sequence number ``after``."""
        after = request.get_param_as_int("after", default=0)
        response.media = {"events": self._engine.cache.events(after, now_ms())}


class KvCache:
    """Endpoint that exports and imports the cached blocks of a prompt, by hash."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the leading blocks of ``prompt`` that are cached."""
        blocks = blocks_of(request.get_param("prompt", required=True))
        response.media = {"blocks": self._engine.cache.cached_prefix(blocks)}

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Cache the ``blocks`` that another engine exported."""
        blocks = request.media["blocks"]
        self._engine.cache.store(blocks, now_ms())
        response.media = {"imported": len(blocks)}


class OrderCalls:
    """Endpoint of orders that load models, adapters and versions, or set the role."""

    def __init__(self, orders: Orders, order_ms: int) -> None:
        self._orders = orders
        self._order_ms = order_ms

    def on_get(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return every order, the role and what is loaded."""
        orders = self._orders
        response.media = {
            "orders": orders.received,
            "role": orders.role,
            "loaded": orders.loaded,
        }

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Accept ``{"order": ..., "fence": n, ...}``; 409 if the fence is stale."""
        details = dict(request.media)
        order, fence = details.pop("order"), details.pop("fence", 0)
        gevent.sleep(self._order_ms / 1_000)
        done = self._orders.apply(order, fence, details)
        response.status = falcon.HTTP_200 if done else falcon.HTTP_409
        response.media = {"done": done, "fence": self._orders.highest_fence}
