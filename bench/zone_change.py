"""Measure service while an availability zone is taken out and restored.

Run ``python -m bench.zone_change --seed 1 --out out/zone-change.json``.
"""

import collections
import functools
import itertools
import json
import pathlib
import sys
from typing import NamedTuple

import defopt
from immutables import Map

from bench.routing_fakes import (
    Call,
    Chooser,
    Engine,
    Entry,
    Site,
    call_name,
    choose_blind_round_robin,
    choose_two_candidates,
    model_workload,
    percentile,
)
from nutmegslip_decisions.limits import LimitsOptions
from nutmegslip_decisions.model import (
    Account,
    Catalogue,
    HostState,
    MarkState,
    RequestClass,
    Role,
    Workload,
    WorkloadKind,
)
from nutmegslip_decisions.routing import RequestFailed, RoutingOptions

ZONE = "c"
WARM_S, ZONE_OUT_S, ZONE_BACK_S, END_S = 10, 20, 40, 70
SETTLED_S = 55  # by then the zone's engines are warm again
ENTRY_UPDATE_DELAY_MS = (300, 2_000)  # range until an entry sees a change
SIDECAR_UPDATE_DELAY_MS = 1_000
HOST_LIST_DELAY_MS = 5_000
LOSS_DETECTION_MS = 1_000
COLD_START_MS = 8_000
DEADLINE_MS = 5_000
PUSH_DEADLINE_MS = 10_000
PUSH_TOKENS = 20


class TrafficShape(NamedTuple):
    """Traffic of one user."""

    lookups_per_s: float
    pushes_per_s: float
    templates: int
    prefix_blocks: int
    tokens: float


SHAPES = {
    # Short lookups that share few seasonal prompts; bursts of pushes before services.
    "hymn boards": TrafficShape(110, 15, 12, 6, 15),
    # Quotes from many rate cards, with longer responses.
    "rate cards": TrafficShape(100, 5, 40, 8, 20),
}


class Policy(NamedTuple):
    """One policy under test."""

    choose: Chooser
    admission: bool
    enforces_limits: bool


POLICIES = {
    "nutmegslip": Policy(choose_two_candidates, admission=True, enforces_limits=True),
    "round robin": Policy(
        choose_blind_round_robin, admission=False, enforces_limits=False
    ),
}


def run(policy_name: str, shape_name: str, change: str, *, seed: int) -> dict:
    """Take a zone out and back in under one user's traffic; return the figures."""
    policy, shape = POLICIES[policy_name], SHAPES[shape_name]
    site = _site(policy, seed)
    _offer_all(site, shape)
    if change != "none":
        remove_zone = _mark_out if change == "announced" else _cut_off
        site.clock.after(ZONE_OUT_S * 1_000, lambda: remove_zone(site))
        site.clock.after(ZONE_BACK_S * 1_000, lambda: _restore(site, change))
    site.clock.run_until((END_S + 15) * 1_000)
    return {"way": policy_name, "shape": shape_name, "change": change} | _figures(site)


def _site(policy: Policy, seed: int) -> Site:
    push = Workload(
        "push",
        "bench",
        WorkloadKind.SERVICE,
        RequestClass.INTERACTIVE,
        repeatable=False,
        cold_limit=8,
        warm_limit=16,
    )
    accounts = {f"acc{i}": Account(f"acc{i}", ()) for i in range(10)}
    return Site(
        {"m": (12, ("lookup",)), "s": (3, ("push",))},
        {"lookup": model_workload("lookup", 16), "push": push},
        accounts,
        3,
        policy.choose,
        seed,
        RoutingOptions(),
        LimitsOptions(),
        admission=policy.admission,
        enforces_limits=policy.enforces_limits,
    )


def _offer_all(site: Site, shape: TrafficShape) -> None:
    for workload, rate in (
        ("lookup", shape.lookups_per_s),
        ("push", shape.pushes_per_s),
    ):
        at_ms = 1_000.0
        for count in itertools.count():
            at_ms += site.random.expovariate(rate / 1_000)
            if at_ms > END_S * 1_000:
                break
            arrive = functools.partial(_arrive, site, shape, workload, count)
            site.clock.after(at_ms, arrive)


def _arrive(site: Site, shape: TrafficShape, workload: str, count: int) -> None:
    rng = site.random
    # The platform's load balancer sends new requests to healthy entries only.
    entry = rng.choice([e for e in site.entries if e.up])
    template = rng.choices(
        range(shape.templates), [1 / (i + 1) for i in range(shape.templates)]
    )[0]
    is_push = workload == "push"
    prefix = [f"{template}.{i}".encode() for i in range(shape.prefix_blocks)]
    tokens = min(int(rng.expovariate(1 / shape.tokens)) + 1, 100)
    now_ms = site.clock.now_ms
    entry.offer(
        Call(
            call_name(entry.name, f"{workload}{count}"),
            workload,
            RequestClass.INTERACTIVE,
            f"acc{rng.randrange(10)}",
            () if is_push else (*prefix, f"{count}".encode()),
            PUSH_TOKENS if is_push else tokens,
            now_ms,
            now_ms + (PUSH_DEADLINE_MS if is_push else DEADLINE_MS),
            repeatable=not is_push,
        )
    )


def _mark_out(site: Site) -> None:
    """Mark the zone out; entries and sidecars receive the mark after their delays."""
    _publish(site, MarkState.OUT)
    for engine in _zone_engines(site):
        site.clock.after(
            SIDECAR_UPDATE_DELAY_MS, lambda e=engine: _set_takes_work(e, False)
        )
    for entry in site.entries:
        if entry.zone == ZONE:
            site.clock.after(
                ENTRY_UPDATE_DELAY_MS[0], lambda e=entry: _set_up(e, False)
            )


def _cut_off(site: Site) -> None:
    """Cut off the whole zone; the list of hosts is updated later."""
    for engine in _zone_engines(site):
        engine.stop()
        site.clock.after(LOSS_DETECTION_MS, lambda e=engine: e.fail(0))
        for entry in site.entries:
            failed = functools.partial(_fail_link, entry, engine.host.name)
            site.clock.after(LOSS_DETECTION_MS, failed)
    for entry in site.entries:
        if entry.zone == ZONE:
            entry.stop()
    site.clock.after(
        HOST_LIST_DELAY_MS, lambda: _publish_hosts(site, HostState.LEAVING)
    )


def _fail_link(entry: Entry, host: str) -> None:
    entry.apply_routing(RequestFailed(entry.now_ms, host))


def _restore(site: Site, change: str) -> None:
    for engine in _zone_engines(site):
        engine.up = True
        engine.fail(COLD_START_MS)
        site.clock.after(
            SIDECAR_UPDATE_DELAY_MS, lambda e=engine: _set_takes_work(e, True)
        )
    for entry in site.entries:
        if entry.zone == ZONE:
            entry.restart()
    if change == "announced":
        _publish(site, MarkState.IN)
    else:
        site.clock.after(
            HOST_LIST_DELAY_MS, lambda: _publish_hosts(site, HostState.LIVE)
        )


def _publish(site: Site, mark: MarkState) -> None:
    site.catalogue = site.catalogue._replace(zone_marks=Map({ZONE: mark}))
    _distribute(site)


def _publish_hosts(site: Site, state: HostState) -> None:
    hosts = {
        name: host._replace(state=state)
        if host.zone == ZONE and host.role is Role.SIDECAR
        else host
        for name, host in site.roster.hosts.items()
    }
    site.roster = site.roster._replace(hosts=Map(hosts))
    _distribute(site)


def _distribute(site: Site) -> None:
    catalogue: Catalogue = site.catalogue
    for entry in site.entries:
        delay_ms = site.random.uniform(*ENTRY_UPDATE_DELAY_MS)
        site.clock.after(delay_ms, lambda e=entry: e.configure(catalogue, site.roster))


def _zone_engines(site: Site) -> list[Engine]:
    return [e for e in site.engines.values() if e.host.zone == ZONE]


def _set_takes_work(engine: Engine, takes_work: bool) -> None:
    engine.takes_work = takes_work


def _set_up(entry: Entry, up: bool) -> None:
    entry.up = up


def _figures(site: Site) -> dict:
    calls = site.calls()
    lookups = [call for call in calls if call.workload == "lookup"]
    pushes = [call for call in calls if call.workload == "push"]
    runs = [e.runs for e in site.engines.values() if e.workload.name == "push"]
    run_counts = {c.name: sum(counter[c.name] for counter in runs) for c in pushes}
    p95 = {
        name: _first_token_p95(lookups, start_s, end_s)
        for name, start_s, end_s in (
            ("before", WARM_S, ZONE_OUT_S),
            ("leaving", ZONE_OUT_S, ZONE_OUT_S + 5),
            ("out", ZONE_OUT_S + 5, ZONE_BACK_S),
            ("returning", ZONE_BACK_S, SETTLED_S),
            ("after", SETTLED_S, END_S),
        )
    }
    return {
        "lookups": len(lookups),
        "lookups_late": sum(c.ended_ms > c.deadline_ms for c in lookups),
        "lookups_refused": sum(c.outcome == "refused" for c in lookups),
        "lookups_unknown": sum(c.outcome == "unknown" for c in lookups),
        "lookups_cut_with_entry": sum(c.outcome == "cut" for c in lookups),
        "pushes": len(pushes),
        "pushes_done": sum(c.outcome == "done" for c in pushes),
        "pushes_unknown": sum(c.outcome == "unknown" for c in pushes),
        "pushes_cut_with_entry": sum(c.outcome == "cut" for c in pushes),
        "pushes_refused": sum(c.outcome == "refused" for c in pushes),
        "pushes_said_not_run_but_ran": sum(
            c.outcome == "refused" and run_counts[c.name] > 0 for c in pushes
        ),
        "pushes_run_twice": sum(count > 1 for count in run_counts.values()),
        "first_token_p95_ms": p95,
        "first_token_p95_worst_ratio": round(
            max(p95.values()) / max(p95["before"], 1), 2
        ),
        "retries": sum(entry.retried for entry in site.entries),
        "cold_excess": sum(e.cold_excess for e in site.engines.values()),
        "refused_by": dict(
            collections.Counter(c.refused_by for c in calls if c.outcome != "done")
        ),
        "last_new_work_after_ms": _last_new_work_ms(site),
        "share_back_after_s": _share_recovery_s(site),
    }


def _first_token_p95(calls: list[Call], start_s: float, end_s: float) -> float:
    return percentile(
        [
            call.first_token_ms - call.arrived_ms
            for call in calls
            if call.outcome == "done"
            and start_s * 1_000 <= call.arrived_ms < end_s * 1_000
        ],
        0.95,
    )


def _last_new_work_ms(site: Site) -> float | None:
    """Return the time from taking the zone out to its last start of new work."""
    out_ms, back_ms = ZONE_OUT_S * 1_000, ZONE_BACK_S * 1_000
    times = [
        at_ms - out_ms
        for engine in _zone_engines(site)
        for at_ms in engine.started_at_ms
        if out_ms <= at_ms < back_ms
    ]
    return round(max(times, default=0), 1)


def _share_recovery_s(site: Site) -> float | None:
    """Return the time until the zone has 0.9 of an even share for two seconds."""
    starts = [
        (at_ms, engine.host.zone)
        for engine in site.engines.values()
        if engine.workload.name == "lookup"
        for at_ms in engine.started_at_ms
    ]
    for start_s in range(ZONE_BACK_S, END_S - 1):
        zones = [z for t, z in starts if start_s <= t / 1_000 < start_s + 2]
        if zones and zones.count(ZONE) >= 0.9 * len(zones) / 3:
            return start_s + 2 - ZONE_BACK_S
    return None


def main(*, seed: int = 1, out: pathlib.Path) -> None:
    """Take a zone out and back in for both users and write the figures.

    :param seed: seed of arrivals and choices
    :param out: JSON file to write
    """
    rows = [
        run(policy, shape, change, seed=seed)
        for policy in POLICIES
        for shape in SHAPES
        for change in ("none", "announced", "loss")
    ]
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps({"seed": seed, "rows": rows}, indent=1))
    for row in rows:
        print(json.dumps(row), file=sys.stderr)


if __name__ == "__main__":
    defopt.run(main)
