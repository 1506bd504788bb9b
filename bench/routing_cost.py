"""Measure the processor time and memory of routing and limits by size.

Run ``python -m bench.routing_cost --out out/routing-cost.json``.
"""

import gc
import itertools
import json
import pathlib
import sys
import time
import tracemalloc
from collections.abc import Callable

import defopt
from immutables import Map

from bench.routing_fakes import REGION, ZONES, model_workload
from nutmegslip_decisions import limits, routing
from nutmegslip_decisions.model import (
    Account,
    Catalogue,
    Host,
    HostState,
    Limits,
    RequestClass,
    Role,
    Roster,
)

UPSTREAM_COUNTS = (110, 350, 1_100, 3_500)
ACCOUNT_COUNTS = (37, 370, 3_700)
WORKLOAD_COUNT = 15
ITERATIONS = 2_000


def routing_row(upstreams: int) -> dict:
    """Return the cost of one entry's routing with a number of upstreams."""
    catalogue, roster = _site(upstreams, 10)
    changed = routing.UpstreamsChanged(0, catalogue, roster)
    gc.collect()
    tracemalloc.start()
    state = routing.RoutingState(ZONES[0], REGION, 1)
    state, _ = routing.reduce(state, changed)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    for name in roster.hosts:
        state, _ = routing.reduce(state, routing.LoadReported(0, name, 4, 0))
    current = [state]
    counter = itertools.count()

    def choose_once() -> None:
        prefixes = (b"%d" % (next(counter) % 40),) * 2
        request = routing.Request("w0", RequestClass.STANDARD, "acc0", prefixes)
        chosen, answer = routing.choose(current[0], request, 1)
        current[0], _ = routing.reduce(chosen, routing.RequestEnded(1, answer.ok))

    reports = itertools.cycle(
        routing.LoadReported(1, name, load, 0)
        for name, load in zip(roster.hosts, itertools.cycle((3, 5)), strict=False)
    )

    def report_once() -> None:
        current[0], _ = routing.reduce(current[0], next(reports))

    def change_once() -> None:
        routing.reduce(current[0], changed)

    host = roster.hosts["m0"]._replace(state=HostState.LEAVING)
    hosts = roster._replace(hosts=roster.hosts.set("m0", host))
    changed_hosts = routing.UpstreamsChanged(0, catalogue, hosts)

    def change_hosts_once() -> None:
        routing.reduce(current[0], changed_hosts)

    return {
        "upstreams": upstreams,
        "choice_and_end_us": _mean_us(choose_once, ITERATIONS),
        "report_us": _mean_us(report_once, ITERATIONS),
        "change_us": _mean_us(change_once, 10),
        "host_change_us": _mean_us(change_hosts_once, 10),
        "state_kb": round(memory / 1_024),
    }


def limits_row(accounts: int) -> dict:
    """Return the cost of one entry's admission with a number of active accounts."""
    catalogue, _ = _site(3, accounts)
    gc.collect()
    tracemalloc.start()
    state = limits.LimitsState("e0")
    state, _ = limits.reduce(state, limits.LimitsChanged(0, catalogue, ("e0",)))
    state, _ = limits.reduce(state, limits.HeadroomChanged(0, "w0", 10**9))
    current, counter = [state], itertools.count()

    def request_once() -> None:
        count = next(counter)
        name, account = f"r{count}", f"acc{count % accounts}"
        offered = limits.RequestOffered(
            1, name, "w0", RequestClass.STANDARD, account, 9_000
        )
        current[0], _ = limits.reduce(current[0], offered)
        current[0], _ = limits.reduce(current[0], limits.RequestDone(1, name))

    for _ in range(accounts):
        request_once()
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    state = current[0]
    return {
        "accounts": accounts,
        "request_us": _mean_us(request_once, ITERATIONS),
        "tick_us": _mean_us(lambda: limits.reduce(state, limits.Tick(2)), 10),
        "state_kb": round(memory / 1_024),
    }


def _mean_us(action: Callable[[], None], iterations: int) -> float:
    start_s = time.process_time()
    for _ in range(iterations):
        action()
    return round((time.process_time() - start_s) * 1e6 / iterations, 1)


def _site(upstreams: int, accounts: int) -> tuple[Catalogue, Roster]:
    names = [f"w{index}" for index in range(WORKLOAD_COUNT)]
    workloads = {name: model_workload(name, 64) for name in names}
    hosts = {
        f"m{index}": Host(
            f"m{index}",
            Role.SIDECAR,
            "127.0.0.1:1",
            ZONES[index % 3],
            REGION,
            # Each upstream serves two of the workloads.
            workloads=(
                names[index % WORKLOAD_COUNT],
                names[(index + 1) % WORKLOAD_COUNT],
            ),
        )
        for index in range(upstreams)
    }
    account_limits = Limits(1_000.0, 1_000, 1_000)
    account_map = {
        f"acc{i}": Account(f"acc{i}", (), account_limits) for i in range(accounts)
    }
    return Catalogue(1, Map(workloads), Map(account_map)), Roster(1, Map(hosts))


def main(*, out: pathlib.Path) -> None:
    """Measure the costs for each number of upstreams and accounts and write them.

    :param out: JSON file to write
    """
    rows = {
        "routing": [routing_row(count) for count in UPSTREAM_COUNTS],
        "limits": [limits_row(count) for count in ACCOUNT_COUNTS],
    }
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(rows, indent=1))
    print(json.dumps(rows, indent=1), file=sys.stderr)


if __name__ == "__main__":
    defopt.run(main)
