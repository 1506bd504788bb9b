"""Exchange reports with other entries: requests, demand, suspect parts, limits.

UDP fits better than TCP here: the next report replaces a lost one, and none is
delayed behind an older one.
"""

from collections.abc import Callable
from itertools import count

import gevent
from gevent import socket
from immutables import Map

from nutmegslip_decisions.direct import (
    PeerReported,
    Standing,
    demand_report,
    limit_report,
    load_report,
    pace_report,
    part_report,
    slowness_report,
    spending_report,
)
from nutmegslip_entry.direct._reports import (
    Report,
    ReportError,
    decode_report,
    encode_report,
)
from nutmegslip_entry.direct._state_machine import StateMachine

REPORT_INTERVAL_MS = 100  # well below the time for which a request holds a slot
HEARTBEAT_INTERVALS = 5  # an unchanged report is sent every fifth time
MAX_DATAGRAM_BYTES = 65_507
PEER_TIMEOUT_MS = 30_000


class Peers:
    """Exchange reports over UDP; peers are discovered via seeds and other peers."""

    def __init__(
        self,
        machine: StateMachine,
        address: tuple[str, int],
        seeds: Callable[[], tuple[str, ...]],
        standing: Callable[[], Standing],
        log_failure: Callable[[str], None],
    ) -> None:
        self._machine = machine
        self._address = address
        self._seeds = seeds
        self._standing = standing
        self._log_failure = log_failure
        self._last_received_ms: dict[str, int] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(address)

    def receive(self) -> None:
        """Receive reports until killed."""
        while True:
            try:
                data, (host, _) = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                self._log_failure(f"receiving failed: {error}")
                gevent.sleep(REPORT_INTERVAL_MS / 1_000)
                continue
            self._handle_datagram(host, data)

    def _handle_datagram(self, host: str, data: bytes) -> None:
        now_ms = self._machine.clock()
        try:
            report = decode_report(data, now_ms)
        except ReportError as error:
            self._log_failure(f"a datagram from {host} cannot be read: {error}")
            return
        self._last_received_ms[host] = now_ms
        for peer in report.peers:
            self._last_received_ms.setdefault(peer, now_ms - PEER_TIMEOUT_MS // 2)
        self._machine.dispatch(
            PeerReported(
                now_ms,
                host,
                report.in_flight,
                report.parts,
                report.standing,
                report.spending,
                report.limits,
                report.paces,
                report.demand,
                report.slow_ranks,
            )
        )

    def send(self) -> None:
        """Send reports until killed; a retry is reported as it is sent.

        A retry that is not reported when this process is killed would be spent
        from the budget once more.
        """
        retry_sent = self._machine.retry_sent
        last = None
        for number in count():
            retry_sent.wait(REPORT_INTERVAL_MS / 1_000)
            retry_sent.clear()
            now_ms = self._machine.clock()
            state = self._machine.state
            standing = self._standing()
            spending = spending_report(state, now_ms)
            limits = limit_report(state, now_ms)
            loads = load_report(state), part_report(state)
            paces, demand = pace_report(state, now_ms), demand_report(state, now_ms)
            slow_ranks = slowness_report(state)
            current = *loads, standing, spending, limits, paces, demand, slow_ranks
            unchanged = current == last and not standing.leads
            if unchanged and number % HEARTBEAT_INTERVALS:
                continue
            last = current
            in_flight, parts, *_ = current
            report = Report(
                Map(in_flight),
                tuple(self._last_received_ms),
                parts,
                standing,
                spending,
                limits,
                paces,
                demand,
                slow_ranks,
            )
            data = encode_report(report, now_ms)
            for host in self._known_peers():
                self._send(host, data)

    def _known_peers(self) -> set[str]:
        oldest_ms = self._machine.clock() - PEER_TIMEOUT_MS
        self._last_received_ms = {
            peer: received_ms
            for peer, received_ms in self._last_received_ms.items()
            if received_ms > oldest_ms
        }
        return ({*self._seeds(), *self._last_received_ms}) - {self._address[0]}

    def _send(self, host: str, data: bytes) -> None:
        try:
            self._socket.sendto(data, (host, self._address[1]))
        except OSError as error:
            self._log_failure(f"sending to {host} failed: {error}")
