"""Compare policies that choose an upstream under delayed reports and overload.

Run ``python -m bench.routing_choice --seed 1 --out out/routing-choice.json``.
"""

import itertools
import json
import pathlib
import sys
from collections.abc import Callable

import defopt

from bench.routing_fakes import (
    Call,
    Chooser,
    Site,
    call_name,
    choose_least_reported,
    choose_round_robin,
    choose_two_candidates,
    model_workload,
    percentile,
)
from nutmegslip_decisions.limits import LimitsOptions
from nutmegslip_decisions.model import Account, RequestClass
from nutmegslip_decisions.routing import RoutingOptions

FIRST_TOKEN_OBJECTIVE_MS = 550  # as in the stated target
WARM_LIMIT = 16
LARGE_ACCOUNT_SHARES = (0.4, 0.3)  # of the traffic, for two of ten client accounts
DEADLINE_MS = 5_000
IGNORE_ZONE = RoutingOptions()
PREFER_ZONE = RoutingOptions(zone_load_bound=1.25)
POLICIES: dict[str, tuple[Chooser, RoutingOptions]] = {
    "round robin": (choose_round_robin, IGNORE_ZONE),
    "least reported": (choose_least_reported, IGNORE_ZONE),
    "two choices": (choose_two_candidates, IGNORE_ZONE._replace(affinity_blocks=0)),
    "two, affinity": (choose_two_candidates, IGNORE_ZONE),
    "two, zone": (choose_two_candidates, PREFER_ZONE._replace(affinity_blocks=0)),
    "two, affinity, zone": (choose_two_candidates, PREFER_ZONE),
}


def run(
    policy: str,
    rate_per_s: float,
    *,
    seed: int,
    engine_count: int = 12,
    entries: int = 3,
    seconds: float = 20,
    options: RoutingOptions | None = None,
    limits_options: LimitsOptions | None = None,
) -> dict:
    """Offer load at one rate to one policy; return the figures."""
    choose, default_options = POLICIES[policy]
    accounts = {f"acc{i}": Account(f"acc{i}", ()) for i in range(10)}
    site = Site(
        {"m": (engine_count, tuple(RequestClass))},
        {
            name: model_workload(name, WARM_LIMIT)._replace(request_class=name)
            for name in RequestClass
        },
        accounts,
        entries,
        choose,
        seed,
        options or default_options,
        limits_options or LimitsOptions(),
    )
    engines = list(site.engines.values())
    engines[1].slowdown = 2.0
    for engine in engines[2::12]:
        engine.warm_at_ms = seconds * 500
    site.clock.run_until(1_000)
    _offer_all(site, rate_per_s, seconds)
    site.clock.run_until(1_000 + seconds * 1_000 + DEADLINE_MS)
    return _figures(site, seconds) | {"policy": policy, "offered_per_s": rate_per_s}


def _offer_all(site: Site, rate_per_s: float, seconds: float) -> None:
    rng = site.random
    account_weights = [
        *LARGE_ACCOUNT_SHARES,
        *[(1 - sum(LARGE_ACCOUNT_SHARES)) / 8] * 8,
    ]
    template_weights = [1 / (rank + 1) for rank in range(40)]
    at_ms = 0.0
    for count in itertools.count():
        at_ms += rng.expovariate(rate_per_s / 1_000)
        if at_ms > seconds * 1_000:
            return
        entry = rng.choice(site.entries)
        template = rng.choices(range(40), template_weights)[0]
        prefix = [f"{template}.{i}".encode() for i in range(8)]
        tail = [f"{count}.{i}".encode() for i in range(rng.randint(1, 3))]
        request_class = rng.choices(list(RequestClass), [0.6, 0.3, 0.1])[0]
        call = Call(
            call_name(entry.name, count),
            request_class,
            request_class,
            f"acc{rng.choices(range(10), account_weights)[0]}",
            (*prefix, *tail),
            min(int(rng.expovariate(1 / 20)) + 1, 100),
            site.clock.now_ms + at_ms,
            site.clock.now_ms + at_ms + DEADLINE_MS,
        )
        site.clock.after(at_ms, lambda e=entry, c=call: e.offer(c))


def _figures(site: Site, seconds: float) -> dict:
    calls = site.calls()
    done = [call for call in calls if call.outcome == "done"]
    waits_ms = [call.first_token_ms - call.arrived_ms for call in done]
    good = [
        c for c in done if c.first_token_ms - c.arrived_ms <= FIRST_TOKEN_OBJECTIVE_MS
    ]
    engines = site.engines.values()
    return {
        "goodput_per_s": round(len(good) / seconds, 1),
        "done_per_s": round(len(done) / seconds, 1),
        "answered": len(calls),
        "refused": sum(call.outcome == "refused" for call in calls),
        "late_answers": sum(call.ended_ms > call.deadline_ms for call in calls),
        "first_token_ms": [percentile(waits_ms, p) for p in (0.5, 0.95, 0.99)],
        "cache_hits": round(
            sum(e.hits for e in engines) / max(sum(e.blocks for e in engines), 1), 3
        ),
        "retries_per_request": round(
            sum(entry.retried for entry in site.entries) / max(len(calls), 1), 4
        ),
        "good_by_class": {
            name: _share(good, calls, lambda c, n=name: c.request_class == n)
            for name in RequestClass
        },
        "good_small_interactive": _share(
            good,
            calls,
            lambda c: not _is_large(c) and c.workload == RequestClass.INTERACTIVE,
        ),
        "good_large_accounts": _share(good, calls, _is_large),
        "good_small_accounts": _share(good, calls, lambda c: not _is_large(c)),
        "worst_small_account": min(
            _share(good, calls, lambda c, n=f"acc{i}": c.account == n)
            for i in range(2, 10)
        ),
        "cold_excess": sum(engine.cold_excess for engine in engines),
    }


def _is_large(call: Call) -> bool:
    return call.account in ("acc0", "acc1")


def _share(
    good: list[Call], calls: list[Call], predicate: Callable[[Call], bool]
) -> float:
    return round(sum(map(predicate, good)) / max(sum(map(predicate, calls)), 1), 3)


def main(*, seed: int = 1, out: pathlib.Path, quick: bool = False) -> None:
    """Compare the policies and write the figures.

    :param seed: seed of arrivals and choices
    :param out: JSON file to write
    :param quick: run fewer rates and skip the large site
    """
    rates = (100, 400) if quick else (50, 100, 150, 200, 250, 300, 400, 600)
    rows = [run(p, rate, seed=seed) for p in POLICIES for rate in rates]
    large = [
        run(p, 2_400, seed=seed, engine_count=204, entries=6, seconds=5)
        for p in POLICIES
        if not quick
    ]
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps({"seed": seed, "today": rows, "large": large}, indent=1))
    for row in rows + large:
        print(json.dumps(row), file=sys.stderr)


if __name__ == "__main__":
    defopt.run(main)
