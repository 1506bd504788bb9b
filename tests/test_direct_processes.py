"""Test a real entry process against healthy and faulty fakes of the platform."""

import json
import pathlib
import signal
import tempfile
import unittest

import gevent
from gevent import socket

from bench.direct_site import API_KEY, Site, make_configuration, make_route
from bench.entry_process import ANSWER_TIMEOUT_MS, EntryProcess
from fakes.runners import Fault
from nutmegslip_runtime.clock import boottime_ms
from nutmegslip_runtime.http1 import encode_request
from soak._proxy import LinkState, Proxy

PROPAGATION_BOUND_S = 2.0  # a published change takes effect within this time
OUTAGE_S = 5.2  # the waiting call has timed out and the next one is in progress
SETTLE_S = 1.0  # half the bound within which a change takes effect


class DirectTestCase(unittest.TestCase):
    """One entry process with two runners of each service."""

    def setUp(self):
        self.site = Site()
        self.addCleanup(self.site.close)
        self.site.publish(make_configuration(3))
        self.board = [self.site.add_runner(name, "board") for name in ("b1", "b2")]
        self.model = [self.site.add_runner(n, "model", events=6) for n in ("m1", "m2")]
        self.site.start()

    def runs(self, request_id):
        return sum(runner.runs[request_id] for runner in self.board + self.model)

    def fail_all(self, fault):
        for runner in self.board + self.model:
            runner.fault = fault


class ForwardingTests(DirectTestCase):
    def test_headers_are_forwarded_replaced_or_removed(self):
        headers = (
            (b"X-Nutmegslip-Tenant", b"somebody-else"),
            (b"Connection", b"X-Hop"),
            (b"X-Hop", b"1"),
            (b"X-Kept", b"a"),
        )
        body = bytes(range(256)) * 100
        target = "/lookups/a%2Fb?c=%20d"
        reply = self.site.send(target, method="POST", body=body, headers=headers)
        self.assertEqual((reply.status, reply.complete), (200, True))
        (seen,) = [request for runner in self.board for request in runner.requests]
        found = {name.lower(): value for name, value in seen.headers}
        self.assertEqual((seen.target, seen.body), (target.encode(), body))
        self.assertEqual(found[b"x-nutmegslip-tenant"], b"parish")
        self.assertEqual(found[b"x-kept"], b"a")
        self.assertNotIn(b"x-nutmegslip-key", found)
        self.assertNotIn(b"x-hop", found)
        self.assertLessEqual(int(found[b"x-nutmegslip-deadline-ms"]), 3_000)
        seal = reply.head.header(b"x-nutmegslip-response-seal")
        self.assertIn(seal.split(b".")[0], (b"b1", b"b2"))

    def test_unknown_routes_and_keys_are_refused(self):
        cases = (
            ("/none/1", API_KEY, 404),
            ("/lookups/1", "bad", 401),
            ("/open/1", None, 200),
        )
        for target, key, status in cases:
            with self.subTest(target=target):
                self.assertEqual(self.site.send(target, key=key).status, status)

    def test_without_any_account_left_routes_are_closed(self):
        """Guard against an empty list of accounts that opens every route."""
        for version, tenants in ((4, []), (5, [{"name": "parish", "apiKeys": []}])):
            self.site.publish(make_configuration(version, tenants=tenants))
            gevent.sleep(SETTLE_S)
            for target, key, status in (
                ("/lookups/1", API_KEY, 401),
                ("/lookups/1", None, 401),
                ("/open/1", None, 200),
            ):
                with self.subTest(tenants=tenants, target=target, key=key):
                    self.assertEqual(self.site.send(target, key=key).status, status)
        without = make_configuration(6)
        del without["tenants"]
        self.site.publish(without)
        gevent.sleep(SETTLE_S)
        self.assertEqual(self.site.send("/lookups/1", key=None).status, 200)

    def test_malformed_requests_are_refused_and_not_forwarded(self):
        head = b"POST /lookups/1 HTTP/1.1\r\nHost: hymns.example\r\n"
        cases = (
            (b"400", head + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"),
            (b"413", head + b"Content-Length: 70000\r\n\r\n"),
            (b"431", head + b"x: " + b"y" * 5_000 + b"\r\n\r\n"),
            (b"408", head),
        )
        for status, data in cases:
            with self.subTest(status=status):
                found = self.site.send_raw(data)
                self.assertTrue(found.startswith(b"HTTP/1.1 " + status), found)
        self.assertFalse([r for runner in self.board for r in runner.requests])

    def test_connection_serves_requests_in_sequence(self):
        connection = self.site.entry.connect()
        for number in range(3):
            fields = self.site.request_headers(f"kept-{number}")
            connection.send(encode_request(b"GET", b"/lookups/1", fields, b""), 1.0)
            answer = connection.read_head(boottime_ms() + ANSWER_TIMEOUT_MS)
            body = connection.read_whole_body(boottime_ms() + ANSWER_TIMEOUT_MS)
            self.assertEqual(answer.status, 200)
            self.assertEqual(body, f"answer to kept-{number}".encode())
        connection.close()

    def test_stream_arrives_complete_and_in_order(self):
        reply = self.site.send("/verses/1", method="POST", request_id="s1")
        ids = [
            line for line in reply.body.decode().splitlines() if line.startswith("id:")
        ]
        self.assertEqual(ids, [f"id: {number}" for number in range(1, 7)])
        self.assertTrue(reply.complete)


class FaultTests(DirectTestCase):
    def test_answers_for_faulty_upstreams(self):
        kinds = (("/lookups/1", "idempotent"), ("/pushes/1", "non-idempotent"))
        expected = {
            Fault.SHED: ((503, 0), (503, 0)),
            Fault.ERROR: ((500, 2), (500, 1)),
            Fault.RESET: ((502, 2), (502, 1)),
            Fault.RUBBISH: ((502, 2), (502, 1)),
            Fault.STATUS_000: ((502, 2), (502, 1)),
            Fault.STATUS_600: ((502, 2), (502, 1)),
            Fault.SHORT: ((502, 2), (502, 1)),
            Fault.UNSEALED: ((502, 2), (502, 1)),
            Fault.NO_LENGTH: ((200, 1), (200, 1)),
            Fault.TWICE: ((200, 1), (200, 1)),
            Fault.OTHER_FIRST: ((200, 1), (200, 1)),
            Fault.MISDIRECTED: ((503, 0), (503, 0)),
        }
        for fault, outcomes in expected.items():
            self.fail_all(fault)
            for (target, kind), (status, runs) in zip(kinds, outcomes, strict=True):
                with self.subTest(fault=fault, kind=kind):
                    name = f"{fault}-{kind}"
                    reply = self.site.send(target, method="POST", request_id=name)
                    found = (reply.status, self.runs(name), reply.complete)
                    self.assertEqual(found, (status, runs, True))
                    if status == 503:
                        self.assertIsNotNone(reply.head.header(b"retry-after"))
                    if status == 200:
                        self.assertEqual(reply.body, f"answer to {name}".encode())

    def test_silent_upstream_fails_at_the_route_timeout(self):
        self.fail_all(Fault.SILENT)
        routes = (make_route("lookups", "board", "idempotent", timeoutMs=400),)
        self.site.publish(make_configuration(4, *routes))
        gevent.sleep(SETTLE_S)
        started_ms = boottime_ms()
        reply = self.site.send("/lookups/1", request_id="quiet")
        self.assertIn(reply.status, (502, 504))
        self.assertLess(boottime_ms() - started_ms, 900)

    def test_broken_stream_resumes_elsewhere_without_duplicates(self):
        self.model[0].fault = self.model[1].fault = Fault.CUT_EVENT
        reply = self.site.send("/verses/1", method="POST", request_id="s2")
        ids = [
            line for line in reply.body.decode().splitlines() if line.startswith("id:")
        ]
        self.assertEqual(ids, [f"id: {number}" for number in range(1, 5)])
        self.assertFalse(reply.complete)  # both were cut off: must not look complete
        self.model[0].fault = self.model[1].fault = Fault.NONE
        self.model[0].fault = Fault.CUT_EVENT
        for number in range(4):
            whole = self.site.send("/verses/1", method="POST", request_id=f"t{number}")
            ids = [
                line
                for line in whole.body.decode().splitlines()
                if line.startswith("id:")
            ]
            self.assertEqual(ids, [f"id: {n}" for n in range(1, 7)])

    def test_caller_disconnect_ends_the_upstream_request(self):
        for runner in self.model:
            runner.pause_s, runner.events = 0.05, 200
        connection = self.site.entry.connect()
        fields = self.site.request_headers("leaver")
        connection.send(encode_request(b"POST", b"/verses/1", fields, b""), 1.0)
        connection.read_head(boottime_ms() + ANSWER_TIMEOUT_MS)
        connection.close()
        with gevent.Timeout(5):
            while not any("leaver" in runner.disconnected for runner in self.model):
                gevent.sleep(0.02)


class PublishedChangeTests(DirectTestCase):
    def test_changes_take_effect_without_a_restart(self):
        self.site.publish(
            make_configuration(4, make_route("new", "board", "idempotent"))
        )
        gevent.sleep(SETTLE_S)
        statuses = [self.site.send(f"/{n}/1").status for n in ("new", "lookups")]
        self.assertEqual(statuses, [200, 404])

    def test_draining_upstreams_and_zones_out_get_no_requests(self):
        self.site.register_runner("b1", "board", state="draining")
        self.site.register_runner("b2", "board", zone="z")
        gevent.sleep(SETTLE_S)
        self.board[0].requests.clear()
        for number in range(4):
            self.site.send("/lookups/1", request_id=f"d{number}")
        self.assertEqual(
            (len(self.board[0].requests), len(self.board[1].requests)), (0, 4)
        )
        self.site.store.history.put("op/evacuate/z", {})
        gevent.sleep(SETTLE_S)
        reply = self.site.send("/lookups/1")
        self.assertEqual((reply.status, len(self.board[1].requests)), (503, 4))
        self.site.store.history.remove("op/evacuate/z")
        gevent.sleep(SETTLE_S)
        self.assertEqual(self.site.send("/lookups/1").status, 200)

    def test_unreadable_entries_are_logged_and_skipped(self):
        put = self.site.store.history.put
        bad = self.site.runners["b1"].registration("board")
        put("servers/x1", b"\xff\x00")
        put("servers/x2", bad | {"address": 7})
        put("servers/x3", bad | {"state": "asleep"})
        put("servers/x4", {k: v for k, v in bad.items() if k != "zone"})
        put("op/config", b"{}")
        gevent.sleep(SETTLE_S)
        self.assertEqual(self.site.send("/lookups/1").status, 200)
        gevent.sleep(1.2)
        lines = [
            json.loads(line) for line in self.site.entry.log.read_text().splitlines()
        ]
        keys = [
            line["fields"]["key"]
            for line in lines
            if line["event"] == "entry-unreadable"
        ]
        self.assertEqual(
            sorted(keys), ["op/config", *(f"servers/x{n}" for n in range(1, 5))]
        )

    def test_burst_of_changes_needs_few_store_calls(self):
        gevent.sleep(0.5)
        before = self.site.store.calls
        for number in range(40):
            self.site.register_runner("b1", "board", sequence=number)
            gevent.sleep(0.01)
        self.site.publish(
            make_configuration(5, make_route("new", "board", "idempotent"))
        )
        with gevent.Timeout(SETTLE_S):
            while self.site.send("/new/1").status != 200:
                gevent.sleep(0.02)
        self.assertLessEqual(self.site.store.calls - before, 8)

    def test_store_outage_and_compaction_do_not_stop_serving(self):
        self.site.store.down = True
        gevent.sleep(0.5)
        self.assertEqual(self.site.send("/lookups/1").status, 200)
        self.site.publish(
            make_configuration(4, make_route("new", "board", "idempotent"))
        )
        self.site.store.history.compact()
        self.site.store.down = False
        with gevent.Timeout(5):
            while self.site.send("/new/1").status != 200:
                gevent.sleep(0.05)


class StoreRecoveryTests(DirectTestCase):
    """Reproduce an outage whose last call is lost just before the store recovers."""

    def setUp(self):
        super().setUp()
        self.site.entry.close()
        self.link = Proxy(self.site.store.address)
        self.addCleanup(self.link.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site.entry = EntryProcess(
            pathlib.Path(folder.name), "entry-2", self.link.address
        )
        self.site.start()

    def test_change_after_an_outage_takes_effect_within_the_bound(self):
        self.link.set_state(LinkState.LOST)
        gevent.sleep(OUTAGE_S)
        self.link.set_state(LinkState.HEALTHY)
        self.site.publish(
            make_configuration(4, make_route("new", "board", "idempotent"))
        )
        with gevent.Timeout(PROPAGATION_BOUND_S):
            while self.site.send("/new/1").status != 200:
                gevent.sleep(0.05)


class RestoredStoreTests(DirectTestCase):
    """Reproduce a store that returns from a copy and gives out revisions again."""

    def _restore(self, copy, *, changes):
        """Restore the store, then write as many revisions as were lost."""
        self.site.store.down = True
        self.site.store.restore(copy)
        for change in changes:
            change()
        self.site.store.down = False

    def _wait_served(self, target, status=200):
        with gevent.Timeout(PROPAGATION_BOUND_S):
            while self.site.send(target).status != status:
                gevent.sleep(0.05)

    def test_changes_under_revisions_that_were_given_out_before_are_read(self):
        history = self.site.store.history
        copy = history.copy()
        for number in range(5):
            history.put("op/other", {"lost": number})
        gevent.sleep(SETTLE_S)
        new = make_configuration(4, make_route("new", "board", "idempotent"))
        fillers = [lambda: history.put("op/other", {"again": 1})] * 6
        self._restore(copy, changes=[lambda: self.site.publish(new), *fillers])
        self._wait_served("/new/1")

    def test_no_request_is_refused_while_the_copy_lacks_every_upstream(self):
        history = self.site.store.history
        names = [f"servers/{name}" for name in self.site.runners]
        kept = {name: self.site.runners[name[8:]] for name in names}
        for name in names:
            history.remove(name)
        copy = history.copy()
        for name, runner in kept.items():
            service = "model" if runner.events else "board"
            self.site.register_runner(name[8:], service)
        gevent.sleep(SETTLE_S)
        self._restore(copy, changes=[])
        statuses = set()
        for _ in range(15):
            statuses.add(self.site.send("/lookups/1").status)
            gevent.sleep(0.05)
        for name, runner in kept.items():
            service = "model" if runner.events else "board"
            self.site.register_runner(name[8:], service)
        for _ in range(60):
            statuses.add(self.site.send("/lookups/1").status)
            gevent.sleep(0.05)
        self.assertEqual(statuses, {200})

    def test_a_removed_upstream_that_the_copy_lists_gets_nothing(self):
        history = self.site.store.history
        copy = history.copy()
        history.remove("servers/b1")
        gevent.sleep(SETTLE_S)
        self._restore(copy, changes=[])
        gevent.sleep(SETTLE_S)
        self.board[0].arrivals.clear()
        for _ in range(10):
            self.assertEqual(self.site.send("/lookups/1").status, 200)
        self.assertEqual(self.board[0].arrivals, [])
        self.assertIn('event="store-restored"', self.site.metrics())


class NoticeTests(DirectTestCase):
    """Test what runners say in their answers, over the wire."""

    def _count_after(self, runner, requests=8):
        runner.arrivals.clear()
        replies = [self.site.send("/lookups/1") for _ in range(requests)]
        self.assertEqual({reply.status for reply in replies}, {200})
        return len(runner.arrivals)

    def test_a_leaving_runner_gets_nothing_after_its_first_answer(self):
        self.board[0].leaving = True
        with gevent.Timeout(5):
            while not self.board[0].arrivals:
                self.site.send("/lookups/1")
        self.assertEqual(self._count_after(self.board[0]), 0)
        self.site.register_runner("b1", "board", sequence=2)
        gevent.sleep(SETTLE_S)
        self.assertEqual(self._count_after(self.board[0]), 0)
        self.board[0].leaving = False
        self.site.register_runner("b1", "board", born=2)
        gevent.sleep(SETTLE_S)
        self.assertGreater(self._count_after(self.board[0], 20), 0)

    def test_a_stream_goes_on_whose_runner_leaves(self):
        for runner in self.model:
            runner.leaving = True
        self.assertTrue(self.site.send("/verses/1", method="POST").complete)

    def test_a_runner_gets_nothing_in_its_pause(self):
        self.board[0].fault, self.board[0].pause = Fault.PAUSE, b"0.8"
        with gevent.Timeout(5):
            while not self.board[0].arrivals:
                self.assertEqual(self.site.send("/lookups/1").status, 200)
        self.board[0].fault = Fault.NONE
        self.assertEqual(self._count_after(self.board[0]), 0)
        gevent.sleep(0.8)
        self.assertGreater(self._count_after(self.board[0], 20), 0)

    def test_a_caller_is_told_when_the_first_pause_ends(self):
        for runner, pause in zip(self.board, (b"4", b"2.5"), strict=False):
            runner.fault, runner.pause = Fault.PAUSE, pause
        while (reply := self.site.send("/lookups/1")).status != 503:
            pass
        reply = self.site.send("/pushes/1", method="POST")
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.head.header(b"retry-after")), 2.0)
        arrived = sum(len(runner.arrivals) for runner in self.board)
        self.site.send("/lookups/1")
        self.assertEqual(sum(len(runner.arrivals) for runner in self.board), arrived)


class PortTests(unittest.TestCase):
    """Guard against another test run that gets a port before the entry listens."""

    def test_no_other_process_gets_a_port_of_an_entry(self):
        with tempfile.TemporaryDirectory() as folder:
            entry = EntryProcess(pathlib.Path(folder), "e", "127.0.0.1:1")
            self.addCleanup(entry.close)
            for port in entry.ports:
                with self.subTest(port), socket.socket() as other:
                    self.assertRaises(OSError, other.bind, (entry.ip, port))


class StopTests(DirectTestCase):
    def test_stop_finishes_current_and_newly_arrived_requests(self):
        for runner in self.model:
            runner.pause_s = 0.3
        stream = gevent.spawn(self.site.send, "/verses/1", method="POST")
        gevent.sleep(0.2)
        self.site.entry.signal(signal.SIGTERM)
        self.site.entry.wait_ready(503)
        self.assertEqual(self.site.send("/lookups/1").status, 200)
        self.site.entry.signal(signal.SIGTERM)
        self.assertTrue(stream.get(timeout=8).complete)
        self.assertEqual(self.site.entry.wait_exit(8), 0)

    def test_sighup_reloads_the_settings(self):
        self.site.entry.signal(signal.SIGHUP)
        gevent.sleep(0.3)
        self.assertEqual(self.site.send("/lookups/1").status, 200)
        self.assertIn('event="settings-changed"', self.site.metrics())


if __name__ == "__main__":
    unittest.main()
