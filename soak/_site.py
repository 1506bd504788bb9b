"""Manage the processes, fakes and links in which a soak injects faults."""

import contextlib
import pathlib
import signal
from collections import Counter
from collections.abc import Iterator
from itertools import count

import gevent

from bench.direct_site import make_configuration, make_route
from bench.entry_process import EntryProcess, reserve_port
from fakes.runners import Arrival, Fault, Runner
from fakes.store import StoreServer
from nutmegslip_runtime.clock import boottime_ms
from nutmegslip_runtime.http1 import HttpRequest
from soak._crowds import BODY_BYTES, HOST_LIMITS, memory_violation, send_crowd
from soak._guarantees import EVENTS_PER_STREAM
from soak._notices import DRAIN_S, Disturbance
from soak._odd_entries import ODD_ENTRIES
from soak._proxy import LinkState, Proxy
from soak._retries import RETRIES
from soak._schedule import ENTRIES, RUNNERS, Action, Build, Identity, Step

ROOT = pathlib.Path(__file__).parent.parent
BOARD_RUNNERS = RUNNERS // 2  # the others serve streams
EVENT_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 9.0  # the grace period of 8 s and a margin
ZONE = "a"  # of the runners with even numbers
PAUSE = b"1.5"  # seconds, as runners write it
LOST_REVISIONS = 60
RESTORE_S = 0.3  # for which the store is away
REWRITE_S = 1.0  # until operator and runners have written again
UNLISTED_S, BACK_S = 0.8, 1.5  # after the end of a runner
LAPSE_S = 2.6  # with the time above three heartbeats of 1.2 s


class SoakSite:
    """Entries, runners and a store on which the steps of a schedule run."""

    def __init__(
        self,
        folder: pathlib.Path,
        entries: int = ENTRIES,
        hedge_share: float = 0.0,
        production: pathlib.Path = ROOT,
    ) -> None:
        self._builds = {Build.OLD: production, Build.NEW: ROOT}
        self.store = StoreServer()
        self._versions = count(1)
        self._birth_numbers = count(1)
        self._births: dict[str, int] = {}
        self._written: dict[str, dict] = {}
        self._stopped_runners: list[Runner] = []
        self._disturbances: list[Disturbance] = []
        self._crashing_part = ""
        self._ending_target = b""
        self.runners = [self._start_runner(number) for number in range(RUNNERS)]
        self._links = [Proxy(runner.address) for runner in self.runners]
        stores = [Proxy(self.store.address) for _ in range(entries)]
        self._links += stores
        ips = [f"127.0.0.{number + 11}" for number in range(entries)]
        # All entries use the same port for their reports.
        self._peers_port = reserve_port()
        self.entries = [
            EntryProcess(
                folder,
                f"entry-{ip}",
                link.address,
                ip=ip,
                peers_port=self._peers_port.getsockname()[1],
                seeds=ips[:3],
                retries=RETRIES,
                hedge_share=hedge_share,
                host_limits=HOST_LIMITS,
                root=production,
            )
            for ip, link in zip(ips, stores, strict=True)
        ]

    def start(self) -> None:
        """Register the runners, publish the configuration and start every entry."""
        for number in range(RUNNERS):
            self._register(number)
        self._publish()
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            entry.wait_ready()

    def run(self, step: Step) -> None:
        """Inject a fault, wait, and repair it."""
        match step.action:
            case Action.FREEZE:
                self._freeze(self.entries[step.target], step.duration_s)
            case Action.KILL:
                self._kill(self.entries[step.target], step.duration_s)
            case Action.STOP:
                self._stop(self.entries[step.target])
            case Action.RELOAD:
                self._signal(self.entries[step.target], signal.SIGHUP)
            case Action.LINK:
                self._disturb_link(step)
            case Action.RUNNER:
                self.runners[step.target].fault = Fault(step.variant)
                gevent.sleep(step.duration_s)
                self.runners[step.target].fault = Fault.NONE
            case Action.REPLACE:
                self._replace(step.target, Identity(step.variant))
            case Action.DRAIN:
                self._register(step.target, state="draining")
                gevent.sleep(max(step.duration_s, DRAIN_S))
                self._replace(step.target, Identity.NEW)
            case Action.STORE:
                self.store.down = True
                gevent.sleep(step.duration_s)
                self.store.down = False
            case Action.FORGET:
                self.store.history.compact()
            case Action.PUBLISH:
                self._publish()
            case Action.ZONE:
                self._write(f"op/evacuate/{ZONE}", {})
                gevent.sleep(step.duration_s)
                self._remove(f"op/evacuate/{ZONE}")
            case Action.LEAVE:
                leaving = self.runners[step.target]
                leaving.leaving = True
                gevent.sleep(DRAIN_S + step.duration_s)
                if self.runners[step.target] is leaving:
                    self._replace(step.target, Identity.NEW)
            case Action.PAUSE:
                runner = self.runners[step.target]
                runner.fault = Fault.PAUSE
                gevent.sleep(step.duration_s)
                runner.fault = Fault.NONE
            case Action.LIMIT:
                self._limit(self.runners[step.target], step)
            case Action.RESTORE:
                self._restore(step.duration_s)
            case Action.ODD_ENTRY:
                key = f"servers/odd-{step.variant}"
                self.store.history.put(key, ODD_ENTRIES[int(step.variant)])
                gevent.sleep(step.duration_s)
                self.store.history.remove(key)
            case Action.CROWD:
                send_crowd(self.entries[step.target], step.duration_s)
            case Action.UPGRADE:
                entry = self.entries[step.target]
                entry.root = self._builds[Build(step.variant)]
                self._stop(entry)

    def repair(self) -> None:
        """Repair every remaining fault, and start every entry that has ended."""
        for link in self._links:
            link.set_state(LinkState.HEALTHY)
        for runner in self.runners:
            runner.fault = Fault.NONE
            runner.limit_per_s = None
        self.store.down = False
        for entry in self.entries:
            if not entry.is_running:
                entry.start()
            # An entry that got a stop signal may end only now, and is started again.
            if not entry.becomes_ready():
                entry.start()
            entry.wait_ready()

    def runs(self) -> Counter[str]:
        """Return how often each request ran, on stopped runners too."""
        counts = [runner.runs for runner in (*self._stopped_runners, *self.runners)]
        return sum(counts, Counter())

    def runner_requests(self) -> list[HttpRequest]:
        """Return every request that any runner ran."""
        return [
            request
            for runner in (*self._stopped_runners, *self.runners)
            for request in runner.requests
        ]

    def memory_violations(self) -> list[str]:
        """Return the entries of this build that take more than their hosts allow."""
        entries = [entry for entry in self.entries if entry.root == ROOT]
        return [text for text in map(memory_violation, entries) if text]

    def crash_on(self, part: str) -> None:
        """Make each runner, also later ones, crash on a part of a prompt."""
        self._crashing_part = part
        for runner in self.runners:
            runner.crashing_part = part

    def end_on(self, target: bytes) -> None:
        """Make each runner, also later ones, end on a request; another replaces it."""
        self._ending_target = target
        for number, runner in enumerate(self.runners):
            self._let_end(number, runner)

    def ends_ms(self) -> list[int]:
        """Return when runners ended on a request."""
        runners = (*self._stopped_runners, *self.runners)
        return [at_ms for runner in runners for at_ms in runner.ends_ms]

    def crashes_ms(self) -> list[int]:
        """Return when runners crashed on a part of a prompt."""
        runners = (*self._stopped_runners, *self.runners)
        return [at_ms for runner in runners for at_ms in runner.crashes_ms]

    def close(self) -> None:
        """End everything that this site started."""
        for entry in self.entries:
            entry.close()
        self._peers_port.close()
        for link in self._links:
            link.close()
        for runner in (*self._stopped_runners, *self.runners):
            runner.close()
        self.store.close()

    def arrivals(self) -> list[tuple[str, list[Arrival]]]:
        """Return every request that arrived, with each runner's name."""
        return [
            (runner.name, list(runner.arrivals))
            for runner in (*self._stopped_runners, *self.runners)
        ]

    def disturbances(self) -> list[Disturbance]:
        """Return the times at which entries or links to runners were disturbed."""
        return list(self._disturbances)

    def _disturb_link(self, step: Step) -> None:
        link = self._links[step.target]
        runner = self.runners[step.target] if step.target < RUNNERS else None
        with self._disturbing(runner.name if runner else ""):
            link.set_state(LinkState(step.variant))
            gevent.sleep(step.duration_s)
            link.set_state(LinkState.HEALTHY)

    @contextlib.contextmanager
    def _disturbing(self, name: str) -> Iterator[None]:
        """Record a disturbance; until it ends, its end is open."""
        started_ms = boottime_ms()
        self._disturbances.append(Disturbance(name, started_ms))
        yield
        self._disturbances.append(Disturbance(name, started_ms, boottime_ms()))
        self._disturbances.remove(Disturbance(name, started_ms))

    def _start_runner(self, number: int, name: str = "") -> Runner:
        events = EVENTS_PER_STREAM if number >= BOARD_RUNNERS else 0
        pause_s = EVENT_INTERVAL_S if events else 0.0
        born = next(self._birth_numbers)
        runner = Runner(name or f"r{number}-{born}", events=events, pause_s=pause_s)
        runner.pause = PAUSE
        runner.crashing_part = self._crashing_part
        self._births[runner.name] = born
        return runner

    def _write(self, key: str, value: dict) -> None:
        self._written[key] = value
        self.store.history.put(key, value)

    def _remove(self, key: str) -> None:
        self._written.pop(key, None)
        self.store.history.remove(key)

    def _restore(self, age_s: float) -> None:
        """Restore the store from a copy, then let everyone write again."""
        copy = self.store.history.copy()
        # The lost revisions outnumber those that are written again, so that later
        # changes come under revisions that the entries have seen before.
        for number in range(LOST_REVISIONS):
            self.store.history.put("op/other", {"lost": number})
        gevent.sleep(age_s)
        self.store.down = True
        gevent.sleep(RESTORE_S)
        self.store.restore(copy)
        self.store.down = False
        gevent.sleep(REWRITE_S)
        for key, value in tuple(self._written.items()):
            self.store.history.put(key, value)
        gevent.sleep(LAPSE_S)
        for key in self.store.history.listed():
            if key not in self._written:
                self.store.history.remove(key)

    def _let_end(self, number: int, runner: Runner) -> None:
        runner.ending_target = self._ending_target
        runner.on_end = lambda: gevent.spawn(self._bring_back, number, runner)

    def _bring_back(self, number: int, ended: Runner) -> None:
        """Remove an ended runner from the list, and replace it some time later."""
        gevent.sleep(UNLISTED_S)
        if self.runners[number] is ended:
            self._remove(f"servers/{ended.name}")
        gevent.sleep(BACK_S - UNLISTED_S)
        if self.runners[number] is ended:
            self._replace(number, Identity.NEW)

    def _limit(self, runner: Runner, step: Step) -> None:
        first_per_s = float(step.variant)
        for per_s in (first_per_s, first_per_s / 2, None):
            runner.limit_per_s = per_s
            gevent.sleep(step.duration_s / 2 if per_s else 0)

    def _register(self, number: int, **fields: object) -> None:
        runner = self.runners[number]
        record = runner.registration(
            "model" if number >= BOARD_RUNNERS else "board",
            zone=ZONE if number % 2 == 0 else "b",
            address=self._links[number].address,
            born=self._births[runner.name],
            **fields,
        )
        self._write(f"servers/{runner.name}", record)

    def _replace(self, number: int, identity: Identity) -> None:
        old = self.runners[number]
        keeps_id = identity is Identity.OLD
        self._stopped_runners.append(old)
        old.close()
        self._links[number].close()
        self.runners[number] = self._start_runner(number, old.name if keeps_id else "")
        self._links[number] = Proxy(self.runners[number].address)
        self._let_end(number, self.runners[number])
        if not keeps_id:
            self._remove(f"servers/{old.name}")
        self._register(number)

    def _publish(self) -> None:
        version = next(self._versions)
        routes = (
            make_route("lookups", "board", "idempotent"),
            # Two attempts are allowed: only the kind prevents a second run of a push.
            make_route("pushes", "board", "non_idempotent"),
            make_route("verses", "model", "streaming", resumable=True, gapTargetMs=120),
            make_route(f"extra{version}", "board", "idempotent"),
        )
        configuration = make_configuration(version, *routes)
        configuration["limits"]["bodyBytes"] = BODY_BYTES
        self._write("op/config", configuration)

    def _freeze(self, entry: EntryProcess, duration_s: float) -> None:
        with self._disturbing(entry.ip):
            self._signal(entry, signal.SIGSTOP)
            gevent.sleep(duration_s)
            self._signal(entry, signal.SIGCONT)

    def _kill(self, entry: EntryProcess, duration_s: float) -> None:
        with self._disturbing(entry.ip):
            entry.kill()
            gevent.sleep(duration_s)
            self._start(entry)

    def _stop(self, entry: EntryProcess) -> None:
        with self._disturbing(entry.ip):
            self._signal(entry, signal.SIGTERM)
            self._signal(entry, signal.SIGCONT)
            entry.wait_exit(STOP_TIMEOUT_S)
            entry.kill()
            self._start(entry)

    def _start(self, entry: EntryProcess) -> None:
        if not entry.is_running:  # another step may have started it already
            entry.start()

    def _signal(self, entry: EntryProcess, number: signal.Signals) -> None:
        if entry.is_running:
            entry.signal(number)
