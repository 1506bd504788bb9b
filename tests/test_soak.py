"""Run a short seeded soak, and test that its checks find each violation."""

import unittest
from collections import Counter
from types import SimpleNamespace

import gevent
from gevent import socket
from gevent.server import StreamServer

from fakes.runners import Arrival, Fault, Runner
from nutmegslip_runtime.http1 import encode_request
from soak import Action, Step, plan, run, run_steps
from soak._guarantees import (
    BAD_TARGET,
    ReceivedResponse,
    SentRequest,
    expected_body,
    find_violations,
)
from soak._limits import find_excess_over_limits
from soak._notices import Disturbance, History, find_ignored_notices
from soak._prompts import find_request_violations
from soak._proxy import LinkState, Proxy
from soak._retries import find_excess_retries

# Seeds that failed once; docs/soak.md tells why.
REGRESSIONS = (121, 123, 152, 1001, 2034)
SHORT_SEED, SHORT_STEPS = 5, 16
LIMITS_SEED = 2  # without bad prompts or requests
ENDING_REQUEST_SEED = 10


class SoakTests(unittest.TestCase):
    def test_seeds_that_failed_once_and_a_short_one(self):
        seeds = (SHORT_SEED, *REGRESSIONS)
        jobs = [gevent.spawn(run, seed, steps=SHORT_STEPS) for seed in seeds]
        for seed, job in zip(seeds, jobs, strict=True):
            with self.subTest(seed=seed):
                outcome = job.get()
                self.assertEqual(outcome.violations, ())
                self.assertGreater(outcome.statuses["stream 200"], 0)
                self.assertGreater(outcome.statuses["push 200"], 0)

    def test_leaving_runners_get_nothing_although_they_are_listed_again(self):
        """Guard against a new list that ends the belief that a runner leaves."""
        leave = [Step(0.5, Action.LEAVE, target, 4.0) for target in (0, 1)]
        # What is published just before the store forgets makes entries list anew.
        lists = [
            Step(3.2 + n * 0.5 + later_s, action, 0, 0.0)
            for n in range(6)
            for later_s, action in (
                (0.0, Action.PUBLISH),
                (0.08, Action.PUBLISH),
                (0.12, Action.FORGET),
            )
        ]
        outcome = run_steps(SHORT_SEED, (*leave, *lists))
        self.assertEqual(outcome.violations, ())

    def test_retries_stay_within_the_budget_while_entries_restart(self):
        """Guard against restarts that grant the whole retry budget once more."""
        lost = [Step(1.0, Action.RUNNER, n, 7.0, Fault.RESET) for n in range(6)]
        killed = [
            Step(3.0 + turn, Action.KILL, (turn + n) % 3, 0.1)
            for turn in range(4)
            for n in range(2)
        ]
        outcome = run_steps(SHORT_SEED, (*lost, *killed))
        self.assertEqual(outcome.violations, ())

    def test_entries_stay_within_their_memory_while_crowds_send(self):
        """Guard against the sum of requests that each stay within their own limit."""
        crowds = [Step(0.5 + n, Action.CROWD, n % 3, 3.0) for n in range(6)]
        signals = (Action.STOP, Action.FREEZE, Action.KILL)
        disturbed = [Step(1.2 + n, signals[n], n, 0.5) for n in range(3)]
        statuses = [Step(0.5, Action.RUNNER, 0, 3.0, Fault.STATUS_000)]
        outcome = run_steps(SHORT_SEED, (*crowds, *disturbed, *statuses))
        self.assertEqual(outcome.violations, ())

    def test_limits_that_runners_name_while_entries_restart(self):
        """Guard against a limit that each entry, or each process, spends anew."""
        limits = [Step(0.5, Action.LIMIT, target, 16.0, "2.0") for target in (0, 3)]
        actions = (Action.STOP, Action.KILL, Action.FREEZE)
        signals = [
            Step(1.5 + 0.4 * turn, action, turn, 0.3)
            for turn, action in enumerate(actions)
        ]
        outcome = run_steps(LIMITS_SEED, (*limits, *signals))
        self.assertEqual(outcome.violations, ())

    def test_a_request_that_ends_runners(self):
        """Guard against a request that is sent on although it has ended three."""
        signals = [Step(1.0 + turn, Action.STOP, turn, 0.3) for turn in range(3)]
        last = Step(14.0, Action.RELOAD, 0, 0.0)
        outcome = run_steps(ENDING_REQUEST_SEED, (*signals, last))
        self.assertEqual(outcome.violations, ())

    def test_a_schedule_follows_its_seed(self):
        self.assertEqual(plan(3, 20, 8.0), plan(3, 20, 8.0))
        self.assertNotEqual(plan(3, 20, 8.0), plan(4, 20, 8.0))
        self.assertEqual(len(plan(3, 20, 8.0)), 20)


class ProxyTests(unittest.TestCase):
    def test_a_reset_link_does_not_look_like_the_end_of_an_answer(self):
        server = StreamServer(("127.0.0.1", 0), self._answer_for_a_while)
        server.start()
        self.addCleanup(server.stop)
        proxy = Proxy(f"127.0.0.1:{server.server_port}")
        self.addCleanup(proxy.close)
        host, _, port = proxy.address.rpartition(":")
        caller = socket.create_connection((host, int(port)))
        self.assertEqual(caller.recv(1), b"x")
        proxy.set_state(LinkState.RESET)
        with self.assertRaises(ConnectionResetError):
            caller.recv(1)

    def _answer_for_a_while(self, sock, _address):
        sock.sendall(b"x")
        gevent.sleep(5)


class GuaranteeTests(unittest.TestCase):
    """Test that each check finds its violations."""

    def test_each_violation_is_found(self):
        push = SentRequest("q1", "push", b"/pushes/1", b"x")
        stream = SentRequest("q2", "stream", b"/verses/1", b"")
        whole = expected_body(stream)
        events = whole.split(b"\n\n")
        cases = (
            (push, (200, expected_body(push), True), 1, ""),
            (push, (200, expected_body(push), True), 2, "ran 2 times"),
            (push, (503, b"", True), 1, "has not run"),
            (push, (200, b"answer to q9", True), 1, "a success with"),
            (push, (200, b"answer to", False), 1, ""),
            (stream, (200, whole, True), 2, ""),
            (stream, (200, whole, True), 3, "allows 2"),
            (stream, (200, events[0] + b"\n\n", False), 1, ""),
            (stream, (200, events[0] + b"\n\n", True), 1, "a success with"),
            (stream, (200, events[1] + b"\n\n", False), 1, "out of order"),
            (stream, (500, b"bad", True), 1, ""),
            (stream, (502, b"bad", True), 1, "under status 502"),
            (push, (500, b"ba", True), 1, "a failure with"),
        )
        for sent, answer, runs, text in cases:
            with self.subTest(sent=sent, answer=answer, runs=runs):
                response = ReceivedResponse(sent, *answer)
                ran = Counter({sent.request_id: runs})
                found = list(find_violations({}, [response], ran, []))
                self.assertEqual(bool(found), bool(text))
                self.assertIn(text, " ".join(found))

    def test_requests_that_runners_must_not_receive(self):
        sent = SentRequest("q1", "push", b"/pushes/1", b"x")
        usual = {b"x-nutmegslip-request-id": b"q1", b"x-nutmegslip-tenant": b"parish"}
        cases = (
            ({}, b"/pushes/1", b"x", ""),
            ({}, b"/pushes/2", b"x", "another target"),
            ({}, b"/pushes/1", b"y", "another target"),
            ({b"x-nutmegslip-tenant": b"other"}, b"/pushes/1", b"x", "account"),
            ({b"x-nutmegslip-key": b"k"}, b"/pushes/1", b"x", "key"),
            ({b"x-nutmegslip-request-id": b"q9"}, b"/pushes/1", b"x", "no caller"),
        )
        for headers, target, body, text in cases:
            with self.subTest(headers=headers, target=target, body=body):
                request = SimpleNamespace(
                    header=(usual | headers).get, target=target, body=body
                )
                found = list(find_violations({"q1": sent}, [], Counter(), [request]))
                self.assertEqual(len(found), 1 if text else 0)
                self.assertIn(text, " ".join(found))


class RetryTests(unittest.TestCase):
    """Test that retries beyond the budget are found."""

    def test_retries_beyond_the_budget(self):
        cases = (
            ("none", 10, 0, (), 0),
            ("a fifth of the requests and the slack", 10, 14, (), 0),
            ("one more", 10, 15, (), 1),
            ("one more, held back by a link", 10, 15, ("r", 100, 200), 0),
            ("one more, while an entry was frozen", 10, 15, ("e", 100, 200), 1),
            ("more requests", 15, 15, (), 0),
        )
        for name, requests, retries, disturbance, count in cases:
            with self.subTest(name):
                ids = [f"q{number}" for number in range(requests)]
                sent = {r: SentRequest(r, "lookup", b"/", b"", "e", 50) for r in ids}
                first = [Arrival(60, request_id, True) for request_id in ids]
                again = [Arrival(70 + n, "q0", True) for n in range(retries)]
                disturbances = [Disturbance(*disturbance)] if disturbance else []
                arrivals = [("r", first), ("s", again)]
                history = History(sent, [], Counter(), arrivals, disturbances)
                self.assertEqual(len(list(find_excess_retries(history))), count)


class NoticeTests(unittest.TestCase):
    """Test that requests to leaving and paused runners are found."""

    def _found(self, arrivals, disturbances=()):
        """Check one runner; request qN was sent N ms after the start by entry e."""
        sent = {
            arrival.request_id: SentRequest(
                arrival.request_id,
                "lookup",
                b"/",
                b"",
                "e",
                int(arrival.request_id[1:]),
            )
            for arrival in arrivals
        }
        received = [
            ReceivedResponse(one, 200, b"", True, one.sent_ms + 10)
            for one in sent.values()
        ]
        runs = Counter(sent.keys())
        history = History(sent, received, runs, [("r", arrivals)], list(disturbances))
        return list(find_ignored_notices(history))

    def test_requests_to_a_leaving_runner(self):
        told = Arrival(5, "q0", own=True, leaving=True)
        cases = (
            ("within the drain time", Arrival(2_020, "q2010", True), (), 0),
            ("after it", Arrival(2_020, "q2011", True), (), 1),
            ("meant for another runner", Arrival(2_020, "q2011", False), (), 0),
            ("entry disturbed", Arrival(2_020, "q2011", True), ("e", 900, 950), 0),
            ("another disturbed", Arrival(2_020, "q2011", True), ("f", 900, 950), 1),
            ("disturbed later", Arrival(2_020, "q2011", True), ("e", 3_000, 3_100), 1),
        )
        for name, late, disturbance, count in cases:
            with self.subTest(name):
                disturbances = [Disturbance(*disturbance)] if disturbance else []
                self.assertEqual(len(self._found([told, late], disturbances)), count)

    def test_requests_in_a_pause(self):
        asked = Arrival(0, "q0", own=True, pause_ms=1_500)
        cases = (
            ("two after the grace time", (600, 700), (), 0),
            ("three after it", (600, 700, 800), (), 1),
            ("within the grace time", (300, 400, 450), (), 0),
            ("after the pause", (1_500, 1_600, 1_700), (), 0),
            ("the runner's link disturbed", (600, 700, 800), ("r", 100, 200), 0),
            ("another link disturbed", (600, 700, 800), ("s", 100, 200), 1),
        )
        for name, times, disturbance, count in cases:
            with self.subTest(name):
                disturbances = [Disturbance(*disturbance)] if disturbance else []
                later = [Arrival(at_ms, f"q{at_ms}", True) for at_ms in times]
                self.assertEqual(len(self._found([asked, *later], disturbances)), count)


class LeavingArrivalTests(unittest.TestCase):
    """No caller gets the rejection of a runner, nor its notice that it leaves."""

    def test_only_runs_say_that_their_runner_leaves(self):
        for fault, leaving in ((Fault.NONE, True), (Fault.MISDIRECTED, False)):
            with self.subTest(fault=fault):
                runner = Runner("r1")
                runner.leaving, runner.fault = True, fault
                with socket.create_connection(runner.address.split(":")) as sock:
                    sock.sendall(encode_request(b"GET", b"/x", [], b""))
                    sock.recv(1_000)
                runner.close()
                self.assertEqual([a.leaving for a in runner.arrivals], [leaving])


class SharedLimitTests(unittest.TestCase):
    """The checks of named limits and of requests that end runners can fail."""

    def _history(self, arrivals, target=b"/lookups/1", disturbances=()):
        sent = {
            arrival.request_id: SentRequest(
                arrival.request_id, "lookup", target, b"", "e", arrival.at_ms
            )
            for arrival in arrivals
        }
        return History(sent, [], Counter(), [("r", arrivals)], list(disturbances))

    def test_a_runner_that_gets_more_than_its_limit(self):
        frozen = (Disturbance("e", 5_000, 5_100),)
        for gap_ms, limit, disturbances, found in (
            (200, 2.0, (), 1),  # 5 a second
            (200, 3.0, (), 0),
            (200, 2.0, frozen, 0),
        ):
            with self.subTest(limit=limit, disturbances=disturbances):
                arrivals = [
                    Arrival(at_ms, f"q{at_ms}", True, limit_per_s=limit)
                    for at_ms in range(0, 8_000, gap_ms)
                ]
                history = self._history(arrivals, disturbances=disturbances)
                self.assertEqual(len([*find_excess_over_limits(history)]), found)

    def test_a_request_that_is_sent_after_it_has_ended_three_runners(self):
        for late, found in ((3, 0), (4, 1)):
            with self.subTest(late=late):
                arrivals = [Arrival(n, f"q{n}", True) for n in (10, 20, 30)]
                arrivals += [Arrival(4_000 + n, f"late{n}", True) for n in range(late)]
                history = self._history(arrivals, target=BAD_TARGET)
                violations = [*find_request_violations(history, [10, 20, 30])]
                self.assertEqual(len(violations), found)


if __name__ == "__main__":
    unittest.main()
