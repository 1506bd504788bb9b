"""Apply faults and operator edits to several processes, as named moves."""

from collections.abc import Callable
from typing import Any

from bench.configuration_oracle import Oracle, ViolationError
from bench.configuration_world import World
from nutmegslip_decisions.configuration import Source

STEP_MS = 100
CONVERGE_MS = 60_000  # for a peer timeout, fallback read, settling and several polls
OUTAGE_MS = 15_000

WORKLOAD = {"owner": "o", "kind": "model", "class": "standard"}


def topology() -> dict[str, dict]:
    """Return three zones of one region, and a small second region."""
    hosts = {}
    for zone in "abc":
        hosts[f"e-{zone}"] = _host("entry", zone, "r1")
        for number in (1, 2):
            hosts[f"s-{zone}{number}"] = _host("sidecar", zone, "r1")
    hosts["e-d"] = _host("entry", "d", "r2")
    hosts["s-d1"] = _host("sidecar", "d", "r2")
    return hosts


class Scenario:
    """A world, its oracle, and the moves of operators and faults."""

    def __init__(self, seed: int, hosts: dict[str, dict] | None = None) -> None:
        self.hosts = hosts or topology()
        # With small pages every catch-up takes several polls.
        self.world = World(self.hosts, seed, page_max_bytes=(60, 65_536)[seed % 2])
        self.oracle = Oracle(self.world)
        self.reached = self.oracle.reached
        self._list_backlog: list[dict[str, Any]] = []
        self._replacements = 0
        self.run(3_000)

    @property
    def moves(self) -> dict[str, Callable[[int], None]]:
        """Return the moves by name; the number passed to a move selects its details."""
        return {
            "mark zone": self.mark_zone,
            "edit badly": self.edit_badly,
            "edit many": self.edit_many,
            "degrade service": self.degrade_service,
            "partition": self.partition,
            "isolate": self.isolate,
            "join": self.heal_partitions,
            "freeze": self.freeze,
            "wake": self.resume,
            "restart": self.restart,
            "replace": self.replace,
            "restart behind": self.restart_behind,
            "drop majority": self.drop_majority,
            "leave": self.leave,
            "publish list": self.publish_list,
            "lossy": self.degrade_network,
            "run": lambda number: self.run(200 + number % 6_000),
            "run long": lambda number: self.run(6_000 + number % 20_000),
        }

    def run(self, duration_ms: int) -> None:
        """Advance time, and check every process at every step."""
        for _ in range(0, duration_ms, STEP_MS):
            self.world.run(STEP_MS)
            self.oracle.check_all()

    def mark_zone(self, number: int) -> None:
        """Mark an availability zone in or out."""
        mark = "out" if number % 2 else "in"
        self._edit({f"zone/{'abcd'[number // 2 % 4]}": {"mark": mark}})

    def edit_badly(self, number: int) -> None:
        """Publish a version with an invalid value and a valid one."""
        bad = [{"owner": 1}, {}, {**WORKLOAD, "cold_limit": 99}][number % 3]
        self._edit({"workload/w": bad, f"zone/{'abcd'[number % 4]}": {"mark": "out"}})

    def edit_many(self, number: int) -> None:
        """Publish several valid versions one after another."""
        for index in range(number % 5 + 1):
            workload = {**WORKLOAD, "timeout_ms": index + 1}
            self._edit({f"workload/{'wx'[index % 2]}": workload})

    def degrade_service(self, number: int) -> None:
        """Take the service down, make it stale or slow, or restore it."""
        feed = self.world.feeds[Source.CATALOGUE]
        hosts = self.world.feeds[Source.HOSTS]
        self._restore_service()
        match number % 6:
            case 0:
                self.world.service_up = False
            case 1:
                feed.stale_at = max(feed.version - number % 4, 0)
            case 2:
                hosts.stale_at = max(hosts.version - number % 4, 0)
            case 3:
                self.world.service_delay_ms = 1_500

    def partition(self, number: int) -> None:
        """Partition the processes and the service into two sides that keep running."""
        names = [*self._names(), "service"]
        side = {name for i, name in enumerate(names) if number >> i & 1}
        self._cut(side, set(names) - side)

    def isolate(self, number: int) -> None:
        """Cut one process, or one availability zone, off from all others."""
        names = [*self._names(), "service"]
        name = names[number % len(names[:-1])]
        zone = self._zone(name)
        whole_zone = number // len(names) % 2
        side = {
            other
            for other in names[:-1]
            if other == name or (whole_zone and self._zone(other) == zone)
        }
        self._cut(side, set(names) - side)

    def heal_partitions(self, _number: int = 0) -> None:
        """End every partition."""
        self.world.cut_links.clear()

    def freeze(self, number: int) -> None:
        """Freeze one process."""
        self.world.freeze(self._name(number))
        self.reached["frozen"] += 1

    def resume(self, number: int = 0) -> None:
        """Resume one frozen process, and check it before it handles any event."""
        frozen = [n for n, p in self.world.processes.items() if p.frozen]
        if not frozen:
            return
        name = frozen[number % len(frozen)]
        self.world.processes[name].frozen = False
        self.oracle.check(name)
        self.reached["resumed after its lease"] += not self.world.holds_lease(name)
        self.world.resume(name)

    def restart(self, number: int) -> None:
        """Restart one process with empty state."""
        name = self._name(number)
        state = self.world.processes[name].state
        self.reached["witness restarted"] += state.grants
        self.restart_named(name)

    def restart_named(self, name: str) -> None:
        """Restart a process on its host."""
        options = self.world.processes[name].options
        self.world.start(name, {"zone": options.zone, "region": options.region})

    def replace(self, number: int) -> None:
        """Replace a host by a new one; the published list follows later."""
        name = self._name(number)
        if name not in self.hosts:
            return
        # Half of the time the old host is only partitioned and keeps running.
        if number // 64 % 2:
            self.world.stop(name)
        else:
            self._cut({name}, {*self._names(), "service"} - {name})
            self.reached["dropped host runs on"] += 1
        self._replace_host(name)

    def restart_behind(self, number: int) -> None:
        """Restart a witness of an accepted version among processes that lack it."""
        witnesses = self._witnesses()
        majority = witnesses[: len(witnesses) // 2 + 1]
        entries = {name for name in self._names() if name.startswith("e-")}
        ahead = set(majority) | entries - set(witnesses)
        behind = set(self._names()) - ahead
        self._publish_to_side(ahead, behind, number)
        restarted = majority[number % len(majority)]
        self.restart_named(restarted)
        self.heal_partitions()
        self._cut(behind | {restarted}, ahead - {restarted} | {"service"})
        self.run(8_000)
        self.reached["witness restarted behind"] += 1

    def drop_majority(self, number: int) -> None:
        """Unlist a majority of witnesses that keep running in a partition."""
        witnesses = self._witnesses()
        dropped = set(witnesses[: len(witnesses) // 2 + 1])
        if not dropped <= set(self.hosts):
            return
        behind = dropped | {n for n in self._names() if n.startswith("s-a")}
        ahead = set(self._names()) - behind
        dropped_hosts = {name: self.hosts.pop(name) for name in sorted(dropped)}
        self._list_backlog += [{name: None} for name in dropped_hosts]
        self.publish_list()
        self._publish_to_side(ahead, behind, number)
        self.run(number % 30_000)
        for name, host in dropped_hosts.items():
            self._add_host(name, host)
        self.reached["majority dropped"] += 1

    def leave(self, number: int) -> None:
        """List a host as leaving, or as live again."""
        name = self._name(number)
        if name not in self.hosts:
            return
        state = "leaving" if self.hosts[name].get("state") != "leaving" else "live"
        self.hosts[name] = {**self.hosts[name], "state": state}
        self._list_backlog.append({name: self.hosts[name]})

    def publish_list(self, _number: int = 0) -> None:
        """Publish the pending edits of the list."""
        for edit in self._list_backlog:
            self.world.feeds[Source.HOSTS].publish(edit)
        self._list_backlog.clear()

    def degrade_network(self, number: int) -> None:
        """Set the rates of lost and repeated messages, and the longest delay."""
        self.world.drop_rate = (0.0, 0.1, 0.4)[number % 3]
        self.world.repeat_rate = (0.0, 0.3)[number // 3 % 2]
        self.world.delay_max_ms = (5, 300, 3_000)[number // 6 % 3]

    def heal(self) -> None:
        """End every fault; check that all processes converge and take work."""
        self.heal_partitions()
        self.degrade_network(0)
        self._restore_service()
        while any(process.frozen for process in self.world.processes.values()):
            self.resume()
        for name in set(self.world.processes) - set(self.hosts):
            self.world.stop(name)
        self.hosts = {k: {**v, "state": "live"} for k, v in self.hosts.items()}
        self._list_backlog += [{k: v} for k, v in self.hosts.items()]
        self.publish_list()
        self.run(CONVERGE_MS)
        self._check_converged()

    def outage(self, number: int) -> None:
        """Heal, then let only the service fail: no process may lose its lease."""
        self.heal()
        self.degrade_service(number % 2)
        self._check_leases(OUTAGE_MS)
        self._restore_service()
        self.reached["outage of the service alone"] += 1

    def _check_leases(self, duration_ms: int) -> None:
        for _ in range(0, duration_ms, 500):
            self.run(500)
            without_lease = [
                n for n in self.world.processes if not self.world.holds_lease(n)
            ]
            if without_lease:
                raise ViolationError(
                    f"without a lease at {self.world.now_ms} ms: {without_lease}"
                )

    def _check_converged(self) -> None:
        wanted = {source: feed.version for source, feed in self.world.feeds.items()}
        for name, process in self.world.processes.items():
            for source, version in wanted.items():
                source_state = process.state.source_state(source)
                if source_state.version != version:
                    raise ViolationError(
                        f"{name} has {source} {source_state.version}, not {version}"
                    )
        views = {
            (process.state.catalogue.view, process.state.hosts.view)
            for process in self.world.processes.values()
        }
        if len(views) != 1:
            raise ViolationError("views differ at the same version")
        (_, roster), *_ = views
        if set(roster.hosts) != set(self.hosts):
            raise ViolationError("the list in force is not the one published")
        self._check_leases(500)
        self.reached["converged"] += 1

    def _replace_host(self, name: str) -> None:
        """Start a new host in place of a listed one; the list is published later."""
        self._list_backlog.append({name: None})
        self._add_host(name, self.hosts.pop(name))

    def _add_host(self, name: str, host: dict) -> None:
        self._replacements += 1
        new = f"{name.split('.')[0]}.{self._replacements}"
        self.hosts[new] = host
        self.world.start(new, host)
        self._list_backlog.append({new: host})

    def _publish_to_side(self, ahead: set[str], behind: set[str], number: int) -> None:
        """Publish an edit that only one side receives."""
        self._restore_service()
        self.heal_partitions()
        self._cut(behind, ahead | {"service"})
        self.mark_zone(number | 1)
        self.run(3_000)

    def _witnesses(self) -> list[str]:
        """Return the running witnesses of the first region, by name."""
        states = [p.state for p in self.world.processes.values()]
        sets = [s.placement.witnesses for s in states if s.options.region == "r1"]
        members = max(sets, key=lambda witnesses: len(witnesses.members)).members
        return [name for name in members if name in self.world.processes]

    def _restore_service(self) -> None:
        self.world.service_up = True
        self.world.service_delay_ms = 2
        for feed in self.world.feeds.values():
            feed.stale_at = None

    def _edit(self, edits: dict[str, Any]) -> None:
        self.world.feeds[Source.CATALOGUE].publish(edits)

    def _cut(self, side: set[str], other: set[str]) -> None:
        self.world.cut_links |= {frozenset((a, b)) for a in side for b in other}
        self.reached["cut"] += 1

    def _names(self) -> list[str]:
        return sorted(self.world.processes)

    def _zone(self, name: str) -> str:
        return self.world.processes[name].options.zone

    def _name(self, number: int) -> str:
        names = self._names()
        return names[number % len(names)]


def _host(role: str, zone: str, region: str) -> dict:
    return {"role": role, "address": "127.0.0.1:1", "zone": zone, "region": region}
