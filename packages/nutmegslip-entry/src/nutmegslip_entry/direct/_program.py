"""Run an entry that sends to upstreams directly: callers, store, peers and reducer."""

import os
import secrets
import signal
import sys
from collections.abc import Callable
from itertools import chain, count
from typing import Protocol

import gevent
from gevent.event import Event as Flag
from gevent.server import StreamServer
from prometheus_client import generate_latest

from nutmegslip_decisions import direct
from nutmegslip_decisions.direct import (
    CallerLimit,
    CallerLimits,
    Event,
    OptionsChanged,
    RequestLimits,
    StorePosition,
    Tick,
    Upstream,
    max_idle_connections,
)
from nutmegslip_decisions.experts.rollout import IDENTITY_COUNT
from nutmegslip_entry.direct._caller_connections import CallerConnections
from nutmegslip_entry.direct._callers import (
    MAX_ACCEPTED_TOGETHER,
    Caller,
    CallerDisconnected,
    Connection,
    accept_waiting,
    listen,
)
from nutmegslip_entry.direct._exchange import Exchanges
from nutmegslip_entry.direct._expert_maps import ExpertMapManager, RankClient
from nutmegslip_entry.direct._header_codec import AnswerFields, HeaderCodec
from nutmegslip_entry.direct._metrics import Metrics
from nutmegslip_entry.direct._peers import Peers
from nutmegslip_entry.direct._pool import Pool
from nutmegslip_entry.direct._settings import Settings, read_settings
from nutmegslip_entry.direct._state_machine import StateMachine
from nutmegslip_entry.direct._watchdog import Watchdog
from nutmegslip_runtime.clock import boottime_ms
from nutmegslip_runtime.eventlog import BoundedStream, RateLimitedLog, make_log
from nutmegslip_runtime.exits import ExitCode
from nutmegslip_runtime.http1 import HttpRequest

TICK_INTERVAL_S = 0.05  # a queued request is refused at most this late
PACE_INTERVAL_S = 0.25  # two or three steps of a group
HOUSEKEEPING_INTERVAL_S = 1.0
LONG_TURN_MS = 250  # streams of all callers stand still meanwhile
TASK_RESTART_DELAY_S = 0.25
PROCESS_ID_COUNT = 2**32
PROBE_LIMITS = CallerLimits(held_bytes=1_048_576, connections=16)
LAST_LINES_TIMEOUT_S = 0.3  # within the stop margin
LEAVE_ROTATION_MS = 2_500  # balancers probe each second and remove after two failures
STOP_MARGIN_MS = 500  # subtracted from the grace period, to exit before a kill
METRICS_CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4")


class Feed(Protocol):
    """A source of published configuration and upstreams."""

    calls: int
    position: StorePosition
    answered_ms: int

    def run(self) -> None:
        """Read and watch until killed."""


AnswerRecorder = Callable[[Upstream, AnswerFields], None]
RankClientFactory = Callable[
    [Pool, Callable[[], int], RateLimitedLog, AnswerRecorder], RankClient
]
FeedFactory = Callable[
    [str, Callable[[Event], None], RateLimitedLog, Callable[[], bool]], Feed
]


class Program:
    """One run of the entry process."""

    def __init__(
        self,
        file: str,
        settings: Settings,
        header_codec: HeaderCodec,
        make_feed: FeedFactory,
        make_rank_client: RankClientFactory,
    ) -> None:
        self._file = file
        self._file_modified_ns = _modified_ns(file)
        self._settings = settings
        self._log_stream = BoundedStream(sys.stdout.fileno())
        log = make_log(
            settings.log_level,
            settings.host,
            settings.zone,
            self._log_stream,
            process="nutmegslip-entry",
        )
        self._metrics = Metrics()
        self._log = RateLimitedLog(log, count=self._metrics.count_event)
        self._dropped_lines = 0
        self._watchdog = Watchdog()
        self._machine = StateMachine(
            settings.options,
            boottime_ms,
            self._log,
            self._metrics,
            direct.Process(
                secrets.randbelow(PROCESS_ID_COUNT - 1) + 1,
                boottime_ms(),
                settings.first_start,
            ),
        )
        self._connections = CallerConnections(
            direct.caller_limits(settings.host_limits),
            boottime_ms,
            self._report_refused_caller,
        )
        self._probes = CallerConnections(
            PROBE_LIMITS, boottime_ms, self._report_refused_caller
        )
        self._pool = Pool(
            boottime_ms,
            lambda upstream: max_idle_connections(
                self._machine.state, upstream.service
            ),
            self._connections.bodies,
        )
        self._exchanges = Exchanges(self._machine, header_codec, self._pool, count(1))
        self._feed = make_feed(
            settings.store,
            self._machine.dispatch,
            self._log,
            lambda: direct.depends_on_one_zone(self._machine.state),
        )
        self._peers = Peers(
            self._machine,
            settings.peers,
            lambda: self._settings.seeds,
            lambda: self._expert_maps.standing,
            lambda reason: self._log.emit("peer-report-refused", reason=reason),
        )
        self._expert_maps = ExpertMapManager(
            self._machine,
            make_rank_client(
                self._pool, boottime_ms, self._log, self._machine.record_answer
            ),
            lambda: self._stopping,
            secrets.randbelow(IDENTITY_COUNT - 1) + 1,
            lambda: self._feed.position,
            self._log,
        )
        self._stopping = False
        self._stop_requested = Flag()

    def run(self) -> ExitCode:
        """Run until a stop signal; return DRAIN_TIMED_OUT if requests remain."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._stop_requested.set)
        gevent.signal_handler(signal.SIGHUP, self._reload)
        tasks = [
            gevent.spawn(self._run_again_on_errors, task)
            for task in (
                self._feed.run,
                self._peers.receive,
                self._peers.send,
                self._tick,
                self._expert_maps.run,
                self._dispatch_paces,
                self._run_housekeeping,
            )
        ]
        callers = self._listen(self._settings.callers, self._serve, self._connections)
        self._listen(self._settings.ready, self._serve_ready, self._probes)
        self._listen(self._settings.metrics, self._serve_metrics, self._probes)
        self._watchdog.start()
        self._log.emit("process-started")
        self._log.flush()
        self._stop_requested.wait()
        code = self._stop(callers)
        self._watchdog.stop()
        gevent.killall(tasks)
        self._log.flush()
        self._log_stream.finish(LAST_LINES_TIMEOUT_S)
        return code

    def _run_again_on_errors(self, task: Callable[[], None]) -> None:
        """Run a task until killed; an unexpected error does not end it for good."""
        while True:
            try:
                task()
            except Exception as error:
                self._log.emit_error("task-failed", error)
            gevent.sleep(TASK_RESTART_DELAY_S)

    def _listen(
        self,
        address: tuple[str, int],
        serve: Callable[[Caller, HttpRequest], None],
        connections: CallerConnections,
    ) -> StreamServer:
        def handle(sock, _peer: object) -> None:
            connection = Connection(
                sock,
                serve,
                self._limits,
                lambda: self._stopping,
                boottime_ms,
                connections,
            )
            connection.run()

        server = StreamServer(listen(address), handle)
        server.max_accept = MAX_ACCEPTED_TOGETHER
        server.start()
        return server

    def _report_refused_caller(self, limit: CallerLimit) -> None:
        self._metrics.count_refused_caller(limit)
        self._log.emit(
            "caller-refused",
            reason=str(limit),
            held_bytes=self._connections.bodies.held_bytes,
            connections=len(self._connections),
        )

    def _limits(self) -> RequestLimits:
        configuration = self._machine.state.configuration
        return configuration.limits if configuration else RequestLimits()

    def _serve(self, caller: Caller, request: HttpRequest) -> None:
        try:
            self._exchanges.serve(caller, request)
        except CallerDisconnected:
            raise
        except Exception as error:
            self._log.emit_error("request-dropped", error)
            if caller.streaming:
                caller.abort()
            else:
                caller.answer(502, [], b"")  # 502 does not say whether it has run

    def _serve_ready(self, caller: Caller, _request: HttpRequest) -> None:
        ready = direct.is_ready(self._machine.state) and not self._stopping
        caller.answer(200 if ready else 503, [], b"")

    def _serve_metrics(self, caller: Caller, _request: HttpRequest) -> None:
        self._metrics.update_gauges(
            self._machine.state, self._feed.calls, boottime_ms()
        )
        self._metrics.update_store(
            self._feed.position.revision, boottime_ms() - self._feed.answered_ms
        )
        self._metrics.update_pool(self._pool)
        self._metrics.update_callers(len(self._connections))
        caller.answer(
            200, [METRICS_CONTENT_TYPE], generate_latest(self._metrics.registry)
        )

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_INTERVAL_S)
            self._machine.dispatch(Tick(boottime_ms()))

    def _dispatch_paces(self) -> None:
        while True:
            gevent.sleep(PACE_INTERVAL_S)
            self._machine.dispatch_paces()

    def _run_housekeeping(self) -> None:
        while True:
            gevent.sleep(HOUSEKEEPING_INTERVAL_S)
            self._pool.close_expired()
            self._report_longest_turn()
            self._report_dropped_lines()
            self._log.end_second()
            self._log.flush()
            if _modified_ns(self._file) != self._file_modified_ns:
                self._reload()

    def _report_longest_turn(self) -> None:
        turn = self._watchdog.longest_turn()
        self._metrics.observe_turn(turn.took_ms)
        if turn.took_ms >= LONG_TURN_MS:
            self._log.emit("event-loop-blocked", **turn._asdict())

    def _report_dropped_lines(self) -> None:
        """Log how many lines were dropped, once the log is read again."""
        dropped = self._log_stream.dropped
        self._metrics.update_dropped_lines(dropped)
        if dropped > self._dropped_lines and not self._log_stream.is_stalled:
            self._log.emit("log-lines-dropped", count=dropped - self._dropped_lines)
            self._dropped_lines = dropped

    def _reload(self) -> None:
        self._file_modified_ns = _modified_ns(self._file)
        read = read_settings(self._file)
        if read.is_error():
            self._log.emit(
                "settings-refused",
                file=self._file,
                key="",
                found=read.error.detail,
                allowed="a valid settings file; the previous settings stay in force",
            )
            return
        self._settings = read.ok
        self._machine.dispatch(OptionsChanged(boottime_ms(), read.ok.options))
        self._log.emit("settings-changed", seeds=",".join(read.ok.seeds))

    def _stop(self, callers: StreamServer) -> ExitCode:
        """Leave the rotation, accept no new connection, finish requests in flight."""
        self._stopping = True
        self._log.emit("drain-started")
        self._log.flush()
        end_ms = boottime_ms() + self._settings.stop_grace_ms - STOP_MARGIN_MS
        gevent.sleep(LEAVE_ROTATION_MS / 1_000)
        accept_waiting(callers)
        gevent.sleep(0)  # lets the accepted connections read what has arrived
        for connection in chain(self._connections, self._probes):
            connection.close_if_idle()
        while self._has_busy_callers() and boottime_ms() < end_ms:
            gevent.sleep(TICK_INTERVAL_S)
        done = not self._has_busy_callers()
        for connection in chain(self._connections, self._probes):
            connection.reset_if_busy()
        self._log.emit("drained" if done else "drain-timed-out")
        return ExitCode.OK if done else ExitCode.DRAIN_TIMED_OUT

    def _has_busy_callers(self) -> bool:
        connections = chain(self._connections, self._probes)
        return any(connection.is_busy for connection in connections)


def _modified_ns(file: str) -> int:
    try:
        return os.stat(file).st_mtime_ns
    except FileNotFoundError:
        return 0  # the file is being replaced; the next check finds it
