"""Run the fake of a model engine."""

import defopt

from fakes._serving import serve
from fakes.engine import Options, make_app


def main(
    *,
    port: int,
    host: str = "127.0.0.1",
    step_ms: float = 10.0,
    slowdown_us: int = 0,
    max_batch: int = 256,
    tokens_per_chunk: int = 1,
    cold_limit: int = 2,
    warm_after_ms: int = 0,
    warm_after_requests: int = 1_000_000,
    fall_ms: int = 1_000,
    load_lag_ms: int = 200,
    cache_blocks: int = 4_096,
    cache_lag_ms: int = 200,
    lose_event_every: int = 0,
    check_fencing: bool = False,
    order_ms: int = 0,
) -> None:
    """Serve chat completions with deterministic tokens.

    :param port: TCP port to listen on
    :param host: IP address to listen on
    :param step_ms: duration of one step
    :param slowdown_us: time that each request in a step adds to it
    :param max_batch: maximum number of requests in one step
    :param tokens_per_chunk: tokens that a step generates for each request
    :param cold_limit: maximum number of requests in flight while cold
    :param warm_after_ms: time after which a cold engine is warm
    :param warm_after_requests: finished requests after which it is warm
    :param fall_ms: time during which everything is refused after a crash
    :param load_lag_ms: interval between load samples
    :param cache_blocks: capacity of the prefix cache in blocks of 16 words
    :param cache_lag_ms: delay of cache events
    :param lose_event_every: drop each n-th cache event; 0 drops none
    :param check_fencing: refuse orders with a stale fencing number
    :param order_ms: duration of an order
    """
    settings = locals()
    options = Options(
        **{name: settings[name] for name in Options._fields if name in settings}
    )
    serve(make_app(options), host, port)


if __name__ == "__main__":
    defopt.run(main)
