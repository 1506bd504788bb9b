"""Test the load tool against the fake model engine."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from bench import load
from bench.load_client import Sample
from bench.load_figures import compute_figures
from fakes import engine
from fakes._serving import start


class FiguresTests(unittest.TestCase):
    def test_only_whole_answers_are_timed(self):
        samples = [Sample("ok", 0, float(n), 0, 2, (1.0,)) for n in range(101)]
        samples += [Sample("incomplete", 0, 9e9, 0, 1, (9e9,))]
        figures = compute_figures(samples, seconds=2.0, processor_s={"entry": 0.202})
        self.assertEqual({"incomplete": 1, "ok": 101}, figures["outcomes"])
        expected = {"p50": 50.0, "p95": 95.0, "p99": 99.0}
        self.assertEqual(expected, figures["first_token_ms"])
        self.assertEqual(1.0, figures["between_tokens_ms"]["p99"])
        self.assertEqual(101.0, figures["tokens_per_s"])
        self.assertEqual({"entry": 1_000.0}, figures["processor_us_per_token"])


class LoadTests(unittest.TestCase):
    def run_load(self, options: engine.Options, **arguments: object) -> tuple:
        server = start(engine.make_app(options), "127.0.0.1", 0)
        self.addCleanup(server.stop, 0)
        url = f"http://127.0.0.1:{server.server_port}/v1/chat/completions"
        with tempfile.TemporaryDirectory() as folder:
            out = pathlib.Path(folder) / "load.json"
            with contextlib.redirect_stdout(io.StringIO()):
                code = load.main(
                    url=url, direct_url=url, out=out, seconds=0.1, **arguments
                )
            return code, json.loads(out.read_text())["figures"]

    def test_both_targets_are_measured(self):
        for arguments in ({"rate": 100.0}, {"concurrency": 2}):
            code, figures = self.run_load(engine.Options(step_ms=1), **arguments)
            self.assertEqual((0, ["direct", "system"]), (code, sorted(figures)))
            for target_figures in figures.values():
                self.assertEqual(
                    {"ok": target_figures["requests"]}, target_figures["outcomes"]
                )

    def test_an_answer_that_is_not_whole_fails_the_run(self):
        options = engine.Options(step_ms=1, cold_limit=0, warm_after_ms=3_600_000)
        code, figures = self.run_load(options, concurrency=1)
        self.assertEqual(1, code)
        self.assertEqual(["status 500"], list(figures["system"]["outcomes"]))
