"""Connect a reducer to links, platform reads, ticks and signals."""

import signal
from collections.abc import Callable
from itertools import groupby
from typing import Any, NamedTuple

import gevent
from gevent.event import Event
from prometheus_client import CollectorRegistry

from nutmegslip_decisions import process
from nutmegslip_decisions.configuration import ReadService, Source
from nutmegslip_decisions.log_events import LogEvent
from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.work import Pieces
from nutmegslip_runtime.admin import (
    AdminViews,
    ProcessStatus,
    make_admin,
    sync_status,
)
from nutmegslip_runtime.eventlog import EventLog, make_log
from nutmegslip_runtime.exits import ExitCode
from nutmegslip_runtime.links import LinkEvents, Links
from nutmegslip_runtime.process import (
    HttpServer,
    Machine,
    PlatformReader,
    monotonic_ms,
    serve_http,
)
from nutmegslip_runtime.program._codec import make_codec
from nutmegslip_runtime.program._metrics import Gauge, Metrics, sync_gauges
from nutmegslip_runtime.program._options import ProcessIdentity, Settings, link_options

TICK_S = 0.05
ADMIN_STOP_TIMEOUT_S = 2


class ShellParts(NamedTuple):
    """The parts of a process that differ between programs.

    ``perform`` handles the effects that only this program has. ``is_ready``,
    ``gauges`` and ``details`` are computed from the state.
    """

    state: Any
    reduce: Callable[..., tuple]
    perform: Callable[[object], None]
    is_ready: Callable[[Any, Millis], bool]
    gauges: Callable[[Any], tuple[Gauge, ...]]
    details: Callable[[Any], dict[str, Any]]


class Shell:
    """A process that turns I/O into events, and effects into I/O."""

    def __init__(
        self, settings: Settings, identity: ProcessIdentity, parts: ShellParts
    ) -> None:
        self._settings = settings
        self._identity = identity
        self._parts = parts
        self._log = _make_log(settings, identity)
        self._metrics = Metrics(self._gauges)
        self._seeds = {seed.host: seed.address for seed in settings.links.seeds}
        self._roster_version = -1
        self._stop_requested = False
        self._stopped = Event()
        self._admin: HttpServer | None = None
        self._links = Links(
            link_options(settings, identity),
            make_codec(),
            LinkEvents(
                messages=self._messages,
                up=self._up,
                down=self._down,
                send_failed=self._send_failed,
                peer_rejected=self._peer_rejected,
            ),
        )
        self._platform = PlatformReader(settings.platform.address, self._read_done)
        self._machine: Machine = Machine(
            parts.state, parts.reduce, self._perform, self._log.log_reducer_error
        )

    @property
    def machine(self) -> Machine:
        """Return the machine that runs the reducer."""
        return self._machine

    @property
    def registry(self) -> CollectorRegistry:
        """Return the registry to which a program adds its metrics."""
        return self._metrics.registry

    def run(self) -> ExitCode:
        """Run until a graceful stop completes or times out."""
        gevent.signal_handler(signal.SIGTERM, self._request_stop)
        gevent.signal_handler(signal.SIGINT, self._request_stop)
        views = AdminViews(self._is_ready, self._status, self._metrics.registry)
        self._admin = serve_http(self._settings.http.admin, make_admin(views))
        self._links.set_addresses(self._seeds)
        self._links.start()
        self._log.emit("process-started")
        self._machine.dispatch(process.Started(monotonic_ms()))
        ticker = gevent.spawn(self._tick)
        self._stopped.wait()
        ticker.kill()
        stopped = self._machine.state.stopped
        if not stopped:
            self._log.emit("drain-timed-out")
        self._log.flush()
        return ExitCode.OK if stopped else ExitCode.DRAIN_TIMED_OUT

    def close(self) -> None:
        """Write queued messages to peers, close the links and stop the admin server."""
        self._links.close()
        if self._admin is not None:
            self._admin.stop(ADMIN_STOP_TIMEOUT_S)

    def keep_links(self, hosts: tuple[str, ...]) -> None:
        """Keep links to hosts, at the addresses in force."""
        self._update_addresses()
        self._links.keep(hosts)

    def _perform(self, effect: object) -> None:
        match effect:
            case process.Send(host, message):
                self._links.send(host, message)
            case ReadService():
                self._platform.read(effect)
            case LogEvent():
                self._metrics.count(effect)
                self._log.write(effect)
            case process.Stopped():
                self._stopped.set()
            case _:
                self._parts.perform(effect)

    def _tick(self) -> None:
        while True:
            self._update_addresses()
            self._machine.dispatch(process.Tick(monotonic_ms()))
            self._log.flush()
            gevent.sleep(TICK_S)

    def _update_addresses(self) -> None:
        roster = self._machine.state.sync.roster
        if roster.version == self._roster_version:
            return
        self._roster_version = roster.version
        published = {host.name: host.address for host in roster.hosts.values()}
        self._links.set_addresses(self._seeds | published)

    def _is_ready(self) -> bool:
        ready = self._parts.is_ready(self._machine.state, monotonic_ms())
        return ready and not self._stop_requested

    def _gauges(self) -> tuple[Gauge, ...]:
        state, links = self._machine.state, len(self._links.up)
        common = sync_gauges(state.sync, monotonic_ms(), links)
        return (*common, *self._parts.gauges(state))

    def _status(self) -> ProcessStatus:
        state, now_ms = self._machine.state, monotonic_ms()
        remembers_ms = now_ms - state.once.started_ms
        return ProcessStatus(
            **sync_status(state.sync, now_ms, self._links.up),
            program=self._identity.program,
            incarnation=self._identity.incarnation,
            ready=self._is_ready(),
            details={"remembers_ms": remembers_ms, **self._parts.details(state)},
        )

    def _request_stop(self) -> None:
        if self._stop_requested:
            # A second signal does not interrupt the drain.
            return
        self._stop_requested = True
        gevent.spawn(self._stop_gracefully)

    def _stop_gracefully(self) -> None:
        # Load balancers and entries see the readiness change before any refusal.
        gevent.sleep(self._settings.stop.notice_ms / 1_000)
        drain_ms = self._settings.stop.drain_timeout_ms
        now_ms = monotonic_ms()
        self._machine.dispatch(process.StopRequested(now_ms, now_ms + drain_ms))
        gevent.sleep(drain_ms / 1_000)
        self._stopped.set()

    def _messages(self, host: str, messages: list[object]) -> None:
        for is_pieces, group in groupby(messages, _is_pieces):
            if is_pieces:
                pieces = tuple(group)
                self._machine.dispatch(process.PeerPieces(monotonic_ms(), host, pieces))
                continue
            for message in group:
                self._machine.dispatch(
                    process.PeerMessage(monotonic_ms(), host, message)
                )

    def _up(self, host: str, incarnation: str) -> None:
        self._machine.dispatch(process.LinkUp(monotonic_ms(), host, incarnation))

    def _down(self, host: str, reason: str) -> None:
        self._machine.dispatch(process.LinkDown(monotonic_ms(), host))

    def _send_failed(self, host: str, message: object) -> None:
        self._machine.dispatch(process.SendFailed(monotonic_ms(), host, message))

    def _peer_rejected(self, reason: str) -> None:
        self._log.log_rejected_peer(reason)

    def _read_done(self, source: Source, result) -> None:
        now_ms = monotonic_ms()
        if result.is_ok():
            self._machine.dispatch(process.ServiceAnswered(now_ms, source, result.ok))
        else:
            self._machine.dispatch(process.ServiceFailed(now_ms, source))


def _is_pieces(message: object) -> bool:
    return isinstance(message, Pieces)


def _make_log(settings: Settings, identity: ProcessIdentity) -> EventLog:
    return make_log(
        settings.log.level,
        settings.process.host,
        settings.process.zone,
        process=f"{identity.program} {identity.incarnation}",
    )
