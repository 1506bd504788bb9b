"""Route a model engine's HTTP API and the control endpoints for tests."""

import falcon

from fakes.engine._batch import Engine, Options
from fakes.engine._completions import Cancellations, Completions
from fakes.engine._control import ControlMode, ControlRuns, ControlViolations
from fakes.engine._orders import Orders
from fakes.engine._reports import CacheEvents, KvCache, Load, OrderCalls


def make_app(options: Options) -> falcon.App:
    """Return the application of one engine, initially cold."""
    engine = Engine(options)
    orders = Orders(options.check_fencing)
    app = falcon.App()
    app.add_route("/v1/chat/completions", Completions(engine))
    app.add_route("/v1/cancel", Cancellations(engine))
    app.add_route("/v1/load", Load(engine))
    app.add_route("/v1/cache_events", CacheEvents(engine))
    app.add_route("/v1/kv", KvCache(engine))
    app.add_route("/v1/orders", OrderCalls(orders, options.order_ms))
    app.add_route("/_control/runs", ControlRuns(engine))
    app.add_route("/_control/violations", ControlViolations(engine))
    app.add_route("/_control/mode", ControlMode(engine))
    return app
