"""Test the exchange of reports between entries over loopback sockets."""

import unittest
from unittest import mock

import gevent
from gevent import socket
from immutables import Map

from nutmegslip_decisions.direct import (
    AttemptFailed,
    Declined,
    ListingRead,
    Options,
    Standing,
)
from nutmegslip_entry.direct import _peers
from nutmegslip_entry.direct._metrics import Metrics
from nutmegslip_entry.direct._peers import Peers
from nutmegslip_entry.direct._reports import decode_report
from nutmegslip_entry.direct._state_machine import StateMachine
from nutmegslip_runtime.eventlog import RateLimitedLog, make_log
from tests.direct_world import World, upstream

HEAR_TIMEOUT_S = 10.0  # ends a test whose report never comes


class RetryReportTests(unittest.TestCase):
    """Guard against a kill right after a retry that was not reported yet."""

    def test_a_retry_is_reported_as_it_is_sent(self):
        world = World(options=Options("e", address="127.0.0.1", budget_slack=9.0))
        log = RateLimitedLog(make_log("error", "e", "a", process="test"))
        machine = StateMachine(
            world.state.options, lambda: world.now_ms, log, Metrics()
        )
        machine._state = world.state  # with a configuration
        machine.dispatch(
            ListingRead(world.now_ms, tuple(upstream(f"u{n}") for n in (1, 2)))
        )
        world.state = machine.state
        world.arrive()
        machine._state = world.state
        peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        peer.bind(("127.0.0.2", 0))
        peer.settimeout(HEAR_TIMEOUT_S)
        port = peer.getsockname()[1]
        peers = Peers(
            machine, ("127.0.0.1", port), lambda: ("127.0.0.2",), Standing, print
        )
        with mock.patch.object(_peers, "REPORT_INTERVAL_MS", 60_000):
            sender = gevent.spawn(peers.send)
            gevent.sleep(0)
            machine.dispatch(AttemptFailed(world.now_ms, 1, Declined()))
            data, _ = peer.recvfrom(65_507)
        sender.kill()
        peer.close()
        spending = decode_report(data, world.now_ms).spending
        self.assertEqual(spending.retries, Map({"board": 1}))
