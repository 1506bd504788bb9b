"""Measure processor time and memory of the at-most-once reducers by size."""

import json
import pathlib
import time
import tracemalloc
from typing import NamedTuple

import defopt
from immutables import Map

from nutmegslip_decisions import once
from nutmegslip_decisions.model import Host, Role, Roster, rendezvous_order
from nutmegslip_decisions.once import OnceOptions

RECORDS = (1_000, 3_000, 10_000)
HOSTS = (100, 1_000, 7_000)
BODY = b"x" * 256


class Point(NamedTuple):
    """One measured point."""

    what: str
    size: int
    microseconds: float
    bytes_each: float


def cost(*, out: pathlib.Path | None = None) -> None:
    """Print the time per start and per list of hosts, and the memory per record.

    :param out: file for the figures, as JSON
    """
    points = [
        *(_measure_starts(count) for count in RECORDS),
        *(_measure_roster_change(count) for count in HOSTS),
    ]
    for point in points:
        print(
            f"{point.what:22}{point.size:8}{point.microseconds:10.1f} us"
            f"{point.bytes_each:10.0f} bytes"
        )
    if out:
        out.write_text(json.dumps([p._asdict() for p in points], indent=2) + "\n")


def _measure_starts(count: int) -> Point:
    """Measure starting and finishing keys, with promises from two other sidecars."""
    names = ("s0", "s1", "s2")
    sidecars = {name: _sidecar(name, _roster(6)) for name in names}
    keys = [f"k{number}" for number in range(count)]
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    started_s = time.process_time()
    for now_ms, key in enumerate(keys):
        _start(sidecars, rendezvous_order(key, names)[0], key, now_ms)
    traced_s = time.process_time() - started_s
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    fresh = {name: _sidecar(name, _roster(6)) for name in names}
    started_s = time.process_time()
    for now_ms, key in enumerate(keys):
        _start(fresh, rendezvous_order(key, names)[0], key, now_ms)
    spent_s = min(time.process_time() - started_s, traced_s)
    return Point(
        "start on 3 sidecars", count, spent_s * 1e6 / count, (after - before) / count
    )


def _start(sidecars: dict, home: str, key: str, now_ms: int) -> None:
    request = once.StartRequest(
        entry="e0",
        entry_incarnation="e0.1",
        request=key,
        to_incarnation=f"{home}.1",
        workload="push",
        key=key,
        fingerprint="f",
        payload=BODY,
        deadline_ms=now_ms + 30_000,
        remembers_ms=10**9,
        last=False,
    )
    queue = [(home, request)]
    while queue:
        host, message = queue.pop(0)
        event = once.Received(now_ms, message)
        sidecars[host], effects = once.reduce_sidecar(sidecars[host], event)
        for effect in effects:
            match effect:
                case once.SendToPeer(to, reply) if to in sidecars:
                    queue.append((to, reply))
                case once.StartUpstream():
                    answer = once.Answer(200, "text/plain", BODY)
                    done = once.UpstreamFinished(now_ms, key, answer)
                    sidecars[host], _ = once.reduce_sidecar(sidecars[host], done)


def _measure_roster_change(count: int) -> Point:
    """Measure a newer list of hosts that has one more host."""
    state = _sidecar("s0", _roster(count))
    newer = _roster(count, version=2)
    started_s = time.process_time()
    once.reduce_sidecar(state, once.RosterChanged(1, newer))
    spent_s = time.process_time() - started_s
    return Point("newer list of hosts", count, spent_s * 1e6, 0.0)


def _sidecar(name: str, roster: Roster) -> once.SidecarState:
    options = OnceOptions()
    state = once.new_sidecar(name, f"{name}.1", 0, options, first_start=True)
    state, _ = once.reduce_sidecar(state, once.RosterChanged(0, roster))
    allowed = once.PermissionChanged(0, 10**9, takes_work=True)
    return once.reduce_sidecar(state, allowed)[0]


def _roster(count: int, version: int = 1) -> Roster:
    """Return half entries, half sidecars; a later version has one more sidecar."""
    names = [f"e{n}" for n in range(count // 2)] + [f"s{n}" for n in range(count // 2)]
    names += ["s-new"] if version > 1 else []
    return Roster(
        version,
        Map(
            {
                name: Host(
                    name,
                    Role.ENTRY if name[0] == "e" else Role.SIDECAR,
                    name,
                    f"z{number % 3}",
                    "r",
                    workloads=("push",) if name[0] == "s" else (),
                )
                for number, name in enumerate(names)
            }
        ),
    )


if __name__ == "__main__":
    defopt.run(cost)
