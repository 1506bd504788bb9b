"""Hold the processes, stand-ins and links that a soak breaks."""

import pathlib
import signal
from collections import Counter
from itertools import count

import gevent

from bench.direct_site import make_configuration, make_route
from bench.entry_process import EntryProcess, free_ports
from fakes.runners import Fault, Runner
from fakes.store import StoreServer
from nutmegslip_runtime.http1 import HttpRequest
from soak._promises import EVENTS
from soak._proxy import Link, Proxy
from soak._schedule import ENTRIES, RUNNERS, Act, Identity, Step

BOARDS = RUNNERS // 2  # the others stream
EVENT_PAUSE_S = 0.05
STOP_S = 9.0  # the grace time and a margin
ZONE = "a"  # that of the even runners


class SoakSite:
    """Run the steps of a schedule on entries, runners and the store."""

    def __init__(self, folder: pathlib.Path, entries: int = ENTRIES) -> None:
        self.store = StoreServer()
        self._versions = count(1)
        self._births = count(1)
        self._past: list[Runner] = []
        self.runners = [self._runner(number) for number in range(RUNNERS)]
        self._links = [Proxy(runner.address) for runner in self.runners]
        stores = [Proxy(self.store.address) for _ in range(entries)]
        self._links += stores
        ips = [f"127.0.0.{number + 11}" for number in range(entries)]
        ports = free_ports()
        self.entries = [
            EntryProcess(
                folder, f"entry-{ip}", link.address, ip=ip, ports=ports, seeds=ips[:3]
            )
            for ip, link in zip(ips, stores, strict=True)
        ]

    def start(self) -> None:
        """Publish everything and start every entry."""
        for number in range(RUNNERS):
            self._list(number)
        self._publish()
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            entry.wait_ready()

    def run(self, step: Step) -> None:
        """Break something, wait, and mend it."""
        match step.act:
            case Act.FREEZE:
                self._freeze(self.entries[step.target], step.for_s)
            case Act.KILL:
                self._kill(self.entries[step.target], step.for_s)
            case Act.STOP:
                self._stop(self.entries[step.target])
            case Act.RELOAD:
                self._signal(self.entries[step.target], signal.SIGHUP)
            case Act.LINK:
                self._links[step.target].turn(Link(step.how))
                gevent.sleep(step.for_s)
                self._links[step.target].turn(Link.SOUND)
            case Act.RUNNER:
                self.runners[step.target].fault = Fault(step.how)
                gevent.sleep(step.for_s)
                self.runners[step.target].fault = Fault.NONE
            case Act.REPLACE:
                self._replace(step.target, Identity(step.how))
            case Act.DRAIN:
                self._list(step.target, state="draining")
                gevent.sleep(step.for_s)
                self._list(step.target)
            case Act.STORE:
                self.store.down = True
                gevent.sleep(step.for_s)
                self.store.down = False
            case Act.FORGET:
                self.store.history.compact()
            case Act.PUBLISH:
                self._publish()
            case Act.ZONE:
                self.store.history.put(f"op/evacuate/{ZONE}", {})
                gevent.sleep(step.for_s)
                self.store.history.remove(f"op/evacuate/{ZONE}")

    def mend(self) -> None:
        """Mend whatever is left broken, and start every entry that has ended."""
        for link in self._links:
            link.turn(Link.SOUND)
        for runner in self.runners:
            runner.fault = Fault.NONE
        self.store.down = False
        for entry in self.entries:
            if not entry.is_running:
                entry.start()
        for entry in self.entries:
            entry.wait_ready()

    def runs(self) -> Counter[str]:
        """Return how often each request ran, on runners that are gone too."""
        every = [runner.runs for runner in (*self._past, *self.runners)]
        return sum(every, Counter())

    def arrivals(self) -> list[HttpRequest]:
        """Return every request that a runner ran."""
        return [one for runner in (*self._past, *self.runners) for one in runner.seen]

    def close(self) -> None:
        """End everything that this site started."""
        for entry in self.entries:
            entry.kill()
        for link in self._links:
            link.close()
        for runner in (*self._past, *self.runners):
            runner.close()
        self.store.close()

    def _runner(self, number: int, name: str = "") -> Runner:
        events = EVENTS if number >= BOARDS else 0
        pause_s = EVENT_PAUSE_S if events else 0.0
        return Runner(
            name or f"r{number}-{next(self._births)}", events=events, pause_s=pause_s
        )

    def _list(self, number: int, **fields: object) -> None:
        runner = self.runners[number]
        entry = runner.entry(
            "model" if number >= BOARDS else "board",
            zone=ZONE if number % 2 == 0 else "b",
            address=self._links[number].address,
            born=next(self._births),
            **fields,
        )
        self.store.history.put(f"servers/{runner.name}", entry)

    def _replace(self, number: int, identity: Identity) -> None:
        old = self.runners[number]
        keeps_id = identity is Identity.OLD
        self._past.append(old)
        old.close()
        self._links[number].close()
        self.runners[number] = self._runner(number, old.name if keeps_id else "")
        self._links[number] = Proxy(self.runners[number].address)
        if not keeps_id:
            self.store.history.remove(f"servers/{old.name}")
        self._list(number)

    def _publish(self) -> None:
        version = next(self._versions)
        routes = (
            make_route("lookups", "board", "idempotent"),
            # With attempts to spare, only the kind keeps a push from running again.
            make_route("pushes", "board", "non_idempotent"),
            make_route("verses", "model", "streaming", resumable=True, gapTargetMs=120),
            make_route(f"extra{version}", "board", "idempotent"),
        )
        self.store.history.put("op/config", make_configuration(version, *routes))

    def _freeze(self, entry: EntryProcess, for_s: float) -> None:
        self._signal(entry, signal.SIGSTOP)
        gevent.sleep(for_s)
        self._signal(entry, signal.SIGCONT)

    def _kill(self, entry: EntryProcess, for_s: float) -> None:
        entry.kill()
        gevent.sleep(for_s)
        self._start(entry)

    def _stop(self, entry: EntryProcess) -> None:
        self._signal(entry, signal.SIGTERM)
        self._signal(entry, signal.SIGCONT)
        entry.wait_exit(STOP_S)
        entry.kill()
        self._start(entry)

    def _start(self, entry: EntryProcess) -> None:
        if not entry.is_running:  # another step may have started it
            entry.start()

    def _signal(self, entry: EntryProcess, number: signal.Signals) -> None:
        if entry.is_running:
            entry.signal(number)
