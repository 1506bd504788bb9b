"""Apply random faults, edits and requests to a world of entries and sidecars."""

import random

from bench.once_world import World
from nutmegslip_decisions.model import Role

MAX_HOSTS = 9


class Chaos:
    """Seeded random faults, edits and requests."""

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        self.world = World(seed)
        self.keys: list[str] = []
        self.hosts = 3
        # Few faults reach long sequences of states, many reach rare combinations.
        self.intensity = self.random.choice((0.1, 0.3, 1.0))

    def run(self, steps: int) -> World:
        """Run a number of steps, then end all faults and let requests finish."""
        for _ in range(steps):
            self.step()
        self.settle()
        return self.world

    def step(self) -> None:
        """Perform one action and advance a short time."""
        actions, weights = zip(*self._actions(), strict=True)
        self.random.choices(actions, weights)[0]()
        self.world.advance(self.random.choice((0, 0, 1, 2, 5, 20, 120)))

    def settle(self) -> None:
        """End every fault and run until each request has its outcome."""
        self.clear_network_faults()
        for process in list(self.world.processes.values()):
            self.world.resume(process.host)
        self.world.advance(3_000)

    def clear_network_faults(self) -> None:
        """Restore every link; end loss, repetition and delay of messages."""
        self.world.heal()
        self.world.loss_rate = self.world.repeat_rate = 0.0
        self.world.spike_ms = 0
        self.world.silent = False

    def _actions(self):
        faults = (
            (self.pass_long_time, 0.3),
            (self.restart, 1.2),
            (self.kill, 0.7),
            (self.planned_restart, 1.2),
            (self.start_while_frozen, 0.5),
            (self.freeze, 1),
            (self.cut_link, 1),
            (self.isolate, 0.4),
            (self.bad_network, 1),
            (self.cut_from_config, 0.4),
            (self.mark, 0.5),
            (self.replace_host, 0.5),
            (self.unlist, 0.4),
            (self.upstream_faults, 0.5),
        )
        return (
            (self.submit_new, 8),
            (self.submit_again, 10),
            (self.pass_time, 3),
            (self.resume, 1.5),
            (self.clear_network_faults, 1),
            (self.reconnect_config, 0.6),
            (self.relist_hosts, 0.6),
            *((action, weight * self.intensity) for action, weight in faults),
        )

    def submit_new(self) -> None:
        """Send a new key through one entry, sometimes through two."""
        self.keys.append(f"k{len(self.keys)}")
        for _ in range(self.random.choice((1, 1, 1, 2))):
            self._submit(self.keys[-1])

    def submit_again(self) -> None:
        """Send a known key again, usually a recent one."""
        if self.keys:
            recent = self.random.random() < 0.8
            self._submit(self.random.choice(self.keys[-3:] if recent else self.keys))

    def _submit(self, key: str) -> None:
        entry = self._pick(Role.ENTRY)
        marked = {p.host for p in self.world.processes.values() if p.out}
        avoid = frozenset(marked if self.random.random() < 0.7 else ())
        deadline_ms = self.random.choice((300, 1_000, 2_500))
        self.world.submit(key, entry, deadline_ms, avoid)

    def pass_time(self) -> None:
        """Advance up to a few seconds."""
        self.world.advance(self.random.choice((200, 800, 3_000)))

    def pass_long_time(self) -> None:
        """Advance a long time, in which restarted processes may regain their memory."""
        self.world.advance(self.random.choice((8_000, 30_000)))

    def restart(self) -> None:
        """Kill a process and start it again."""
        host = self._pick()
        self.world.kill(host)
        if self.random.random() < 0.5:
            self.world.advance(self.random.choice((1, 50, 500)))
        self.world.start(host)

    def planned_restart(self) -> None:
        """Stop a process gracefully and usually start its successor soon after."""
        host = self._pick()
        self.world.stop(host)
        self.world.advance(self.random.choice((5, 50, 500, 3_100)))
        if self.random.random() < 0.9:
            self.world.kill(host)
            self.world.start(host)

    def start_while_frozen(self) -> None:
        """Start a process while the old one of its host is frozen."""
        host = self._pick()
        self.world.freeze(host)
        self.world.advance(self.random.choice((2_500, 6_000)))
        self.world.start(host)

    def kill(self) -> None:
        """Kill a process, or start one that is dead."""
        host = self._pick()
        process = self.world.processes[host]
        if process.alive:
            self.world.kill(host)
        else:
            self.world.start(host)

    def freeze(self) -> None:
        """Freeze a process."""
        self.world.freeze(self._pick())

    def resume(self) -> None:
        """Resume all frozen processes."""
        for process in list(self.world.processes.values()):
            if process.frozen and process.queue:
                self.world.cases["a frozen process resumes with messages queued"] += 1
            self.world.resume(process.host)

    def cut_link(self) -> None:
        """Cut one link, with or without a notification of both ends."""
        self.world.silent = self.random.random() < 0.5
        self.world.block(self._pick(), self._pick())

    def isolate(self) -> None:
        """Cut the links of one host to most others."""
        host = self._pick()
        for other in self.world.processes:
            if other != host and self.random.random() < 0.7:
                self.world.block(host, other)

    def bad_network(self) -> None:
        """Lose, repeat, delay and reorder messages."""
        self.world.loss_rate = self.random.choice((0, 0.05, 0.3))
        self.world.repeat_rate = self.random.choice((0, 0.3))
        self.world.spike_ms = self.random.choice((0, 20, 400, 2_500))

    def cut_from_config(self) -> None:
        """Disconnect a process from the configuration; its lease expires."""
        self.world.processes[self._pick()].cut_off = True

    def reconnect_config(self) -> None:
        """Reconnect every process to the configuration."""
        for process in self.world.processes.values():
            process.cut_off = False

    def mark(self) -> None:
        """Mark the host of a sidecar out, or in again."""
        process = self.world.processes[self._pick(Role.SIDECAR)]
        process.out = not process.out

    def replace_host(self) -> None:
        """Replace a host by one of a new name; the old one may keep running."""
        if len(self.world.processes) >= MAX_HOSTS:
            return
        old = self._pick()
        role = self.world.processes[old].role
        new = f"{role[0]}{self.hosts}"
        self.hosts += 1
        listed = {h: r for h, r in self.world.listed.items() if h != old}
        self.world.publish(listed | {new: role})
        self.world.start(new)
        if self.random.random() < 0.5:
            self.world.kill(old)

    def unlist(self) -> None:
        """Remove a host from the list while its process keeps running."""
        listed = dict(self.world.listed)
        host = self.random.choice(sorted(listed))
        if len(listed) > 4:
            del listed[host]
            self.world.publish(listed)

    def relist_hosts(self) -> None:
        """Put every known host back on the list."""
        everyone = {p.host: p.role for p in self.world.processes.values()}
        if everyone != self.world.listed:
            self.world.publish(everyone)

    def upstream_faults(self) -> None:
        """Make upstreams refuse connections, cut off calls, or respond slowly."""
        self.world.not_sent_rate = self.random.choice((0, 0, 0.3))
        self.world.cut_off_rate = self.random.choice((0, 0, 0.2))
        self.world.run_ms = self.random.choice((5, 5, 900))

    def _pick(self, role: Role | None = None) -> str:
        hosts = sorted(
            p.host for p in self.world.processes.values() if role in (None, p.role)
        )
        return self.random.choice(hosts)
