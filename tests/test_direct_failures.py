"""Test failures that operators of similar systems met, over the wire.

`docs/design/operators-failures.md` names for each the guard, and the change to the
guard that turns its test red.
"""

import json
import signal
import unittest
from types import SimpleNamespace

import gevent
from gevent import socket
from gevent.server import StreamServer

from bench.direct_site import make_configuration, make_route
from bench.entry_process import ANSWER_TIMEOUT_MS
from fakes.runners import ENDLESS, Fault
from nutmegslip_entry.direct import Program, accept_waiting
from nutmegslip_runtime.clock import boottime_ms
from nutmegslip_runtime.http1 import encode_request, send_all
from tests.test_direct_processes import SETTLE_S, DirectTestCase

LEAVE_ROTATION_S = 2.6  # after a stop signal new connections are still accepted
TIMEOUT_MS = 3_000  # of the routes
MEMORY_MB = 256  # of a host
WHOLE = [f"id: {number}" for number in range(1, 7)]


def event_ids(reply):
    return [line for line in reply.body.decode().splitlines() if line.startswith("id:")]


class EndOfAnswerTests(DirectTestCase):
    """An answer that broke off halfway must not look complete."""

    def test_streams_that_only_their_close_ends(self):
        cases = (
            (Fault.NO_LENGTH, WHOLE, True),
            (Fault.CLOSE_EMPTY, [], True),
            (Fault.CLOSE_CUT, WHOLE[:4], False),
            (Fault.CLOSE_RESET, WHOLE[:4], False),
            (Fault.CUT_EVENT, WHOLE[:4], False),
        )
        for fault, ids, complete in cases:
            with self.subTest(fault=fault):
                self.fail_all(fault)
                reply = self.site.send("/verses/1", method="POST")
                self.assertEqual((event_ids(reply), reply.complete), (ids, complete))

    def test_a_stream_that_broke_off_resumes_elsewhere(self):
        for fault in (Fault.CLOSE_CUT, Fault.CLOSE_RESET):
            self.model[0].fault = fault
            for number in range(4):
                with self.subTest(fault=fault, number=number):
                    reply = self.site.send("/verses/1", method="POST")
                    self.assertEqual((event_ids(reply), reply.complete), (WHOLE, True))

    def test_a_caller_of_http_1_0_sees_a_reset_in_place_of_the_end(self):
        request = encode_request(
            b"POST", b"/verses/1", self.site.request_headers(), b""
        ).replace(b"HTTP/1.1", b"HTTP/1.0")
        self.assertTrue(self.site.send_raw(request).endswith(b" 6\n\n"))
        self.fail_all(Fault.CLOSE_CUT)
        with self.assertRaises(ConnectionResetError):
            self.site.send_raw(request)

    def test_a_caller_keeps_its_connection_after_such_an_answer(self):
        connection = self.site.entry.connect()
        for fault in (Fault.NO_LENGTH, Fault.NONE):
            self.fail_all(fault)
            for target in (b"/lookups/1", b"/verses/1", b"/pushes/1"):
                with self.subTest(fault=fault, target=target):
                    headers = self.site.request_headers()
                    request = encode_request(b"POST", target, headers, b"")
                    deadline_ms = boottime_ms() + ANSWER_TIMEOUT_MS
                    head, body = connection.exchange(request, deadline_ms)
                    self.assertEqual((head.status, head.keep_alive), (200, True))
                    self.assertTrue(body)
        connection.close()


class LateCopyTests(DirectTestCase):
    """A late second copy of an answer must not reach the next caller."""

    def test_a_copy_without_an_id_is_not_taken_for_the_next_answer(self):
        self.fail_all(Fault.COPY_LATE)
        for number in range(8):
            name = f"copy-{number}"
            reply = self.site.send("/lookups/1", request_id=name)
            with self.subTest(number=number, status=reply.status):
                self.assertNotEqual(reply.body, b"late")
                if reply.status == 200:
                    self.assertEqual(reply.body, f"answer to {name}".encode())


class LateRefusalTests(DirectTestCase):
    """A late refusal that names no request must not be taken for the next answer.

    The request runs, and was sent again elsewhere or reported as not run.
    """

    def setUp(self):
        super().setUp()
        kinds = (("lookups", "board", "idempotent"), ("verses", "model", "streaming"))
        routes = [make_route(*kind, attempts=2) for kind in kinds]
        self.site.publish(make_configuration(4, *routes))
        gevent.sleep(SETTLE_S)
        self.fail_all(Fault.SHED_LATE)

    def test_a_stream_that_may_not_be_resumed_runs_once(self):
        for number in range(12):
            name = f"once-{number}"
            reply = self.site.send("/verses/1", method="POST", request_id=name)
            with self.subTest(number=number):
                found = (reply.status, self.runs(name), reply.complete)
                self.assertEqual(found, (200, 1, True))

    def test_a_refusal_without_an_id_is_believed_on_a_new_connection(self):
        """Only one request was ever sent there, so the refusal is its own."""
        self.fail_all(Fault.SHED_UNNAMED)
        reply = self.site.send("/verses/1", method="POST", request_id="refused")
        self.assertEqual((reply.status, self.runs("refused")), (503, 0))

    def test_a_request_that_ran_is_not_reported_as_not_run(self):
        for number in range(12):
            name = f"ran-{number}"
            reply = self.site.send("/lookups/1", request_id=name)
            with self.subTest(number=number, runs=self.runs(name)):
                self.assertIn(reply.status, (200, 502))


class StreamTimerTests(DirectTestCase):
    """Slow but sound streams end whole; stalled ones end at the deadline."""

    def test_a_stream_slower_than_any_gap_bound_is_not_cut(self):
        self.fail_all(Fault.SLOW)
        for runner in self.model:
            runner.events = 4
        reply = self.site.send("/verses/1", method="POST")
        self.assertEqual((event_ids(reply), reply.complete), (WHOLE[:4], True))

    def test_a_stalled_stream_that_drips_bytes_ends_at_its_deadline(self):
        self.fail_all(Fault.DRIP)
        started_ms = boottime_ms()
        reply = self.site.send("/verses/1", method="POST")
        self.assertEqual((event_ids(reply), reply.complete), (WHOLE[:2], False))
        self.assertLess(boottime_ms() - started_ms, 3_500)

    def test_a_caller_that_reads_slowly_gets_the_whole_answer(self):
        """Guard against one time limit for a large write as a whole."""
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        reader = socket.socket()
        reader.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        reader.settimeout(3)
        reader.connect(listener.getsockname())
        writer, _ = listener.accept()
        writer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        data = bytes(300_000)
        sending = gevent.spawn(send_all, writer, data, 0.15)
        received = 0
        while received < len(data):
            received += len(reader.recv(16_384))
            gevent.sleep(0.02)
        sending.get(timeout=1)
        stalled = gevent.spawn(send_all, writer, data, 0.15)
        self.assertRaises(TimeoutError, stalled.get, timeout=2)


class EndlessAnswerTests(DirectTestCase):
    """Bytes without end that are no answer end the attempt, and harm nobody else."""

    def test_the_request_ends_long_before_its_deadline(self):
        cases = (
            (Fault.ENDLESS_HEAD, 502),
            (Fault.ENDLESS_BODY, 502),
            (Fault.ENDLESS_CHUNKS, 502),
            (Fault.ENDLESS_OTHERS, 502),
            (Fault.ENDLESS_SHED, 503),
            (Fault.STALLED_SHED, 503),
        )
        for fault, status in cases:
            for target in ("/lookups/1", "/pushes/1", "/verses/1"):
                with self.subTest(fault=fault, target=target):
                    self.fail_all(fault)
                    started_ms = boottime_ms()
                    reply = self.site.send(target, method="POST")
                    self.assertEqual(reply.status, status)
                    self.assertNotIn(b"zz", reply.body)
                    self.assertLess(boottime_ms() - started_ms, TIMEOUT_MS / 2)

    def test_another_upstream_answers(self):
        for fault in (*ENDLESS, Fault.STALLED_SHED):
            self.board[0].fault = self.model[0].fault = fault
            for target in ("/lookups/1", "/verses/1"):
                with self.subTest(fault=fault, target=target):
                    replies = [self.site.send(target, method="POST") for _ in range(4)]
                    found = [(reply.status, reply.complete) for reply in replies]
                    self.assertEqual(found, [(200, True)] * 4)

    def test_others_are_served_and_the_memory_stays_bounded(self):
        for fault in (Fault.ENDLESS_BODY, Fault.ENDLESS_CHUNKS):
            with self.subTest(fault=fault):
                self.board[0].fault = self.model[0].fault = fault
                senders = [
                    gevent.spawn(self.site.send, target, method="POST")
                    for target in ("/lookups/1", "/pushes/1", "/verses/1") * 4
                ]
                gevent.joinall(senders, timeout=10)
                self.assertTrue(all(sender.successful() for sender in senders))
                self.assertLess(self.site.entry.peak_memory_mb(), MEMORY_MB)

    def test_an_event_without_end_in_small_chunks_halts_nobody(self):
        """Guard against an event that costs quadratic time, and halts the entry."""
        for runner in self.model:
            runner.fault = Fault.ENDLESS_CHUNKS
        streams = [
            gevent.spawn(self.site.send, "/verses/1", method="POST") for _ in range(6)
        ]
        lookups = [gevent.spawn(self.site.send, "/lookups/1") for _ in range(12)]
        gevent.joinall(lookups + streams, timeout=15)
        self.assertEqual([lookup.value.status for lookup in lookups], [200] * 12)
        self.assertEqual({stream.value.status for stream in streams}, {502})


class PlannedStopTests(DirectTestCase):
    """A planned stop cuts off no request that an entry has accepted."""

    def test_a_request_whose_bytes_still_arrive_is_answered(self):
        connection = self.site.entry.connect()
        headers = self.site.request_headers("late-bytes")
        request = encode_request(b"POST", b"/lookups/1", headers, b"x" * 100)
        connection.send(request[:-50], 1.0)
        self.site.entry.signal(signal.SIGTERM)
        gevent.sleep(LEAVE_ROTATION_S + 0.2)
        connection.send(request[-50:], 1.0)
        head = connection.read_head(boottime_ms() + ANSWER_TIMEOUT_MS)
        body = connection.read_whole_body(boottime_ms() + ANSWER_TIMEOUT_MS)
        self.assertEqual((head.status, body), (200, b"answer to late-bytes"))
        self.assertEqual(self.site.entry.wait_exit(8), 0)

    def test_connections_in_the_backlog_are_served(self):
        served = []

        def serve(sock, _address):
            served.append(sock.recv(1))
            sock.sendall(b"y")
            sock.close()

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        server.stop_accepting()
        callers = [
            socket.create_connection(("127.0.0.1", server.server_port))
            for _ in range(5)
        ]
        for caller in callers:
            caller.sendall(b"x")
        accept_waiting(server)
        self.assertEqual([caller.recv(1) for caller in callers], [b"y"] * 5)
        self.assertEqual(served, [b"x"] * 5)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", server.server_port))


class MalformedMessageTests(DirectTestCase):
    """A malformed message ends at most the request that it belongs to."""

    def test_an_entry_survives_malformed_messages(self):
        entry = self.site.entry
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in (b"", b"\xff", b"\x83\xa0\x80\x01", b"\x81" * 5_000):
                sender.sendto(data, (entry.ip, entry.ports.peers))
        put = self.site.store.history.put
        record = self.site.runners["b1"].registration("board")
        put("servers/x1", record | {"address": "127.0.0.1:99999"})
        put("servers/x2", record | {"address": "127.0.0.1:²"})
        put("servers/x3", record | {"group": {"name": "g"}})
        put("servers/x4", b"[" * 50_000)
        put("op/evacuate/", {})
        gevent.sleep(0.5)
        for target in ("/lookups/1", "/pushes/1", "/verses/1"):
            for _ in range(6):
                reply = self.site.send(target, method="POST")
                self.assertEqual((reply.status, reply.complete), (200, True))
        self.assertTrue(entry.is_running)
        gevent.sleep(1.2)
        self.assertIn('"peer-report-refused"', entry.log.read_text())

    def test_a_background_task_runs_again_after_an_unexpected_error(self):
        errors, runs = [], []

        def task():
            runs.append(1)
            if len(runs) < 3:
                raise ZeroDivisionError("unexpected")
            raise gevent.GreenletExit

        program = object.__new__(Program)
        program._log = SimpleNamespace(emit_error=lambda *line: errors.append(line))
        gevent.spawn(program._run_again_on_errors, task).join(timeout=5)
        self.assertEqual((len(runs), len(errors)), (3, 2))

    def test_settings_that_cannot_be_read_stay_out(self):
        file = self.site.entry.settings
        good = file.read_text()
        bad = (
            "",
            "[process",
            good.replace("stop_grace_s = 8", "stop_grace_s = inf"),
            "\0",
        )
        for text in bad:
            with self.subTest(text=text[:20]):
                file.write_text(text)
                self.site.entry.signal(signal.SIGHUP)
                gevent.sleep(0.2)
                self.assertEqual(self.site.send("/lookups/1").status, 200)
        file.write_text(good)
        gevent.sleep(1.2)
        lines = [json.loads(t) for t in self.site.entry.log.read_text().splitlines()]
        events = [line["event"] for line in lines]
        self.assertGreaterEqual(events.count("settings-refused"), len(bad))
        self.assertNotIn("task-failed", events)


if __name__ == "__main__":
    unittest.main()
