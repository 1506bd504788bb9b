"""Run the fake of a group of ranks."""

import defopt

from fakes._serving import serve
from fakes.ranks import Group, make_app


def main(
    *,
    port: int,
    ranks: int,
    host: str = "127.0.0.1",
    experts: int = 16,
    step_ms: float = 10.0,
    weights_url: str | None = None,
    ignore_fencing: bool = False,
) -> None:
    """Serve a group of ranks whose steps wait for a permit of each rank.

    :param port: TCP port to listen on
    :param ranks: number of ranks in the group
    :param host: IP address to listen on
    :param experts: number of experts in the only layer
    :param step_ms: duration of a step with even load
    :param weights_url: weight store from which weights are loaded
    :param ignore_fencing: accept orders with stale fencing numbers
    """
    group = Group(ranks, step_ms, experts, not ignore_fencing)
    serve(make_app(group, weights_url), host, port)


if __name__ == "__main__":
    defopt.run(main)
