"""Test the contract of each fake."""

import json
import subprocess
import sys
import unittest
from typing import Any

import falcon
import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from fakes import engine, ledger, platform, ranks, weights
from fakes._serving import start

HOST = "127.0.0.1"
TIMEOUT_S = 20.0
CONNECTION_ERRORS = (OSError, HTTPParseError)


class FakeTestCase(unittest.TestCase):
    """Base class that serves an application on a free port for one test."""

    def serve(self, app: falcon.App) -> str:
        server = start(app, HOST, 0)
        self.addCleanup(server.stop, 0)
        return f"http://{HOST}:{server.server_port}"

    def call(self, url: str, path: str, body: Any = None, **headers: str) -> Any:
        client = HTTPClient.from_url(
            url, network_timeout=TIMEOUT_S, connection_timeout=TIMEOUT_S
        )
        self.addCleanup(client.close)
        if body is None:
            return client.get(path)
        headers = {"Content-Type": "application/json"} | headers
        return client.post(path, json.dumps(body), headers)

    def json(self, url: str, path: str, body: Any = None, **headers: str) -> Any:
        response = self.call(url, path, body, **headers)
        self.assertEqual(200, response.status_code, response)
        return json.loads(response.read())


class PlatformTests(FakeTestCase):
    def setUp(self) -> None:
        self.url = self.serve(platform.make_app(hosts_lag_ms=0))

    def publish(self, key: str, value: object) -> None:
        self.json(self.url, "/_control/publish", [{"key": key, "value": value}])

    def changes(self, after: int, wait_ms: int = 0) -> Any:
        return self.json(self.url, f"/v1/changes?after={after}&wait_ms={wait_ms}")

    def test_changes_are_compacted_ordered_and_counted(self):
        for key, value in [("a", 1), ("b", 2), ("a", 3), ("b", None)]:
            self.publish(key, value)
        answer = self.changes(after=0)
        self.assertEqual(4, answer["version"])
        expected = [(3, "a", 3), (4, "b", None)]
        self.assertEqual(expected, [tuple(c.values()) for c in answer["changes"]])
        self.assertEqual({"changes": 1}, self.json(self.url, "/_control/counts"))

    def test_a_watch_ends_with_the_change(self):
        watch = gevent.spawn(self.changes, 0, 60_000)
        gevent.sleep(0)
        self.publish("a", 1)
        self.assertEqual(1, watch.get(timeout=TIMEOUT_S)["version"])

    def test_a_value_over_the_limit_is_refused(self):
        edits = [{"key": "a", "value": "x" * platform.MAX_VALUE_BYTES}]
        response = self.call(self.url, "/_control/publish", edits)
        self.assertEqual(413, response.status_code)
        self.assertEqual(0, self.changes(after=0)["version"])

    def test_faults(self):
        self.publish("a", 1)
        self.json(self.url, "/_control/mode", {"stale": True})
        self.publish("a", 2)
        self.assertEqual(1, self.changes(after=0)["version"])
        self.json(self.url, "/_control/mode", {"compact": True})
        self.assertEqual((2, 2), tuple(self.changes(after=0).values())[:2])
        self.json(self.url, "/_control/mode", {"down": True})
        self.assertEqual(503, self.call(self.url, "/v1/hosts").status_code)

    def test_the_list_of_hosts_lags(self):
        self.json(self.url, "/_control/mode", {"hosts_lag_ms": 60_000})
        self.json(self.url, "/_control/hosts", [{"key": "h", "value": {}}])
        self.assertEqual([], self.json(self.url, "/v1/hosts")["changes"])


class EngineTests(FakeTestCase):
    CHAT = {"messages": [{"role": "user", "content": "hymn"}], "max_tokens": 5}

    def setUp(self) -> None:
        options = engine.Options(
            step_ms=1,
            cold_limit=1,
            warm_after_ms=3_600_000,
            check_fencing=True,
            cache_lag_ms=0,
            lose_event_every=2,
        )
        self.url = self.serve(engine.make_app(options))

    def chat(self, **fields: object) -> Any:
        return self.call(self.url, "/v1/chat/completions", self.CHAT | fields)

    def mode(self, **fields: object) -> None:
        self.json(self.url, "/_control/mode", fields)

    def test_tokens_depend_on_prompt_and_position_alone(self):
        whole = json.loads(self.chat().read())["choices"][0]["message"]["content"]
        prompt = engine.prompt_of(self.CHAT)
        self.assertEqual(engine.text_of(prompt, 0, 5), whole)
        events = self.chat(stream=True, nutmegslip_resume_from=3).read().decode()
        lines = [line.removeprefix("data: ") for line in events.split("\n\n") if line]
        self.assertEqual("[DONE]", lines[-1])
        deltas = [json.loads(line)["choices"][0]["delta"] for line in lines[:-1]]
        text = "".join(delta.get("content", "") for delta in deltas)
        self.assertEqual(engine.text_of(prompt, 3, 5), text)

    def test_a_cold_engine_goes_down_beyond_its_limit(self):
        first = gevent.spawn(self.chat, max_tokens=10**9)
        self.wait_for_runs(1)
        self.assertEqual(500, self.chat().status_code)
        with self.assertRaises(CONNECTION_ERRORS):
            first.get(timeout=TIMEOUT_S)
        reply = self.json(self.url, "/_control/violations")
        self.assertEqual([2], [v["in_hand"] for v in reply["violations"]])

    def test_an_unannounced_turn_to_cold_drops_accepted_requests(self):
        self.mode(state="warm")
        response = self.chat(stream=True, max_tokens=10**9)
        self.assertEqual("warm", response["x-engine-state"])
        self.assertEqual("1", response["x-engine-epoch"])
        self.mode(state="cold")
        with self.assertRaises(CONNECTION_ERRORS):
            response.read()
        again = self.chat()
        self.assertEqual("cold", again["x-engine-state"])
        self.assertEqual("2", again["x-engine-epoch"])

    def test_cancel_by_id(self):
        answer = gevent.spawn(self.chat, max_tokens=10**9, request_id="a")
        self.wait_for_runs(1)
        self.assertTrue(self.json(self.url, "/v1/cancel", {"id": "a"})["cancelled"])
        with self.assertRaises(CONNECTION_ERRORS):
            answer.get(timeout=TIMEOUT_S)
        self.assertEqual(["cancelled"], [run["ended"] for run in self.runs()])

    def test_old_fencing_numbers_are_refused(self):
        orders = [("load_model", 2, 200), ("set_role", 1, 409), ("set_role", 2, 200)]
        for order, fence, status in orders:
            response = self.call(
                self.url, "/v1/orders", {"order": order, "fence": fence}
            )
            self.assertEqual(status, response.status_code)

    def test_cache_events_have_gaps_and_repeats_hit(self):
        words = " ".join(str(number) for number in range(64))
        message = [{"role": "user", "content": words}]
        for _ in range(2):
            self.chat(messages=message).read()
        events = self.json(self.url, "/v1/cache_events?after=0")["events"]
        self.assertEqual([1, 3], [event["seq"] for event in events])
        self.assertEqual([0, 4], [run["cached_blocks"] for run in self.runs()])

    def test_malformed_bodies_are_refused(self):
        for body in ([], {}, {"messages": 1, "max_tokens": "x"}):
            response = self.call(self.url, "/v1/chat/completions", body)
            self.assertEqual(400, response.status_code, body)

    def runs(self) -> list[dict[str, Any]]:
        return self.json(self.url, "/_control/runs")["runs"]

    def wait_for_runs(self, count: int) -> None:
        with gevent.Timeout(TIMEOUT_S):
            while len(self.runs()) < count:
                gevent.sleep(0)


class RanksTests(FakeTestCase):
    def setUp(self) -> None:
        store = self.serve(weights.make_app(bytes_per_second=10**9))
        self.store = store
        self.url = self.serve(ranks.make_app(ranks.Group(2, 1.0, 2), store))
        for rank in range(2):
            self.json(self.url, f"/ranks/{rank}/attach", {"incarnation": "a"})

    def load(self, rank: int, digest: str, fence: int = 0) -> int:
        layers = [[[[0], [1]], [[1000], [1000]]]]
        body = {"digest": digest, "version": 1, "layers": layers, "bytes": 1_000}
        path = f"/ranks/{rank}/load"
        return self.call(self.url, path, body | {"fence": fence}).status_code

    def permit(self, rank: int, step: int, digest: str, incarnation: str = "a") -> int:
        body = {"step": step, "digest": digest, "incarnation": incarnation}
        return self.call(self.url, f"/ranks/{rank}/permit", body).status_code

    def test_a_step_waits_for_every_rank_and_records_the_maps(self):
        self.assertEqual([200, 200], [self.load(0, "x"), self.load(1, "y")])
        self.assertEqual(200, self.permit(0, 0, "x"))
        refused = {"not loaded": (1, 0, "x"), "other step": (1, 1, "y")}
        for name, (rank, step, digest) in refused.items():
            with self.subTest(name):
                self.assertEqual(409, self.permit(rank, step, digest))
        self.assertEqual(409, self.permit(1, 0, "y", incarnation="b"))
        self.assertEqual([], self.json(self.url, "/_control/steps")["steps"])
        self.assertEqual(200, self.permit(1, 0, "y"))
        following = self.json(self.url, "/ranks/0/next?after=0&wait_ms=20000")
        self.assertEqual(1, following["step"])
        steps = self.json(self.url, "/_control/steps")
        self.assertEqual([0], steps["mixed"])
        self.assertEqual(["x", "y"], steps["steps"][0]["maps"])
        self.assertEqual(2_000, self.json(self.store, "/_control/served")["bytes"])

    def test_orders_with_an_old_fencing_number_are_refused(self):
        codes = [self.load(0, "x", fence) for fence in (2, 1, 2)]
        self.assertEqual([200, 409, 200], codes)

    def test_a_new_incarnation_drops_the_permit_of_the_old_one(self):
        self.assertEqual([200, 200], [self.load(0, "x"), self.load(1, "x")])
        self.assertEqual(200, self.permit(0, 0, "x"))
        attached = self.json(self.url, "/ranks/0/attach", {"incarnation": "b"})
        self.assertEqual((-1, ["x"]), (attached["step"], attached["loaded"]))
        self.assertEqual(200, self.permit(1, 0, "x"))
        self.assertEqual([], self.json(self.url, "/_control/steps")["steps"])


class LedgerTests(FakeTestCase):
    def test_every_run_is_recorded_with_its_key(self):
        url = self.serve(ledger.make_app())
        headers = {"Idempotency-Key": "k"}
        self.json(url, "/submit", {"a": 1}, **headers)
        self.json(url, "/_control/mode", {"cut_next": 1})
        with self.assertRaises(CONNECTION_ERRORS):
            self.call(url, "/submit", {"a": 2}, **headers)
        runs = self.json(url, "/_control/runs")["runs"]
        outcome = [(run["key"], run["body"], run["answered"]) for run in runs]
        self.assertEqual([("k", {"a": 1}, True), ("k", {"a": 2}, False)], outcome)
        self.assertEqual(2, self.json(url, "/lookup?q=1")["runs"])


class ProcessTests(unittest.TestCase):
    COMMANDS = (
        ["fakes.engine"],
        ["fakes.ledger"],
        ["fakes.platform"],
        ["fakes.ranks", "--ranks", "2"],
        ["fakes.weights"],
    )

    def test_each_prints_ready_and_ends_on_sigterm(self):
        started = [self.start_process(command) for command in self.COMMANDS]
        for process in started:
            self.assertEqual(b"ready\n", process.stdout.readline())
            process.terminate()
            rest, _ = process.communicate(timeout=TIMEOUT_S)
            self.assertEqual((b"", 0), (rest, process.returncode))

    def start_process(self, command: list[str]) -> subprocess.Popen[bytes]:
        line = [sys.executable, "-m", *command, "--port", "0"]
        process = subprocess.Popen(line, stdout=subprocess.PIPE)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process
