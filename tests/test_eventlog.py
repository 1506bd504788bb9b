"""Test the event catalogue, its documentation, log lines and explanations."""

import io
import json
import pathlib
import subprocess
import sys
import unittest

from nutmegslip_decisions import direct
from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_decisions.work import FailureKind, RefusalKind, remedy_of, status_of
from nutmegslip_runtime.eventlog import (
    EVENTS,
    RateLimitedLog,
    event_named,
    explain,
    make_log,
    render_page,
)

DOCS = pathlib.Path(__file__).parent.parent / "docs"


class CatalogueTests(unittest.TestCase):
    def test_numbers_and_names_are_unique(self):
        for values in zip(*((kind.number, kind.name) for kind in EVENTS), strict=True):
            self.assertEqual(len(EVENTS), len(set(values)))

    def test_each_log_event_kind_has_an_event(self):
        self.assertEqual([], [kind for kind in LogEventKind if not event_named(kind)])

    def test_the_page_is_up_to_date(self):
        self.assertEqual(render_page(), (DOCS / "log-events.md").read_text())

    def test_the_callers_page_lists_every_problem(self):
        page = (DOCS / "callers.md").read_text()
        listed = [line for line in page.splitlines() if line.startswith("| `")]
        expected = [
            f"| `{kind}` | {status_of(kind)} | {remedy_of(kind)} |"
            for kind in FailureKind
        ]
        self.assertEqual(expected, listed)


class LogTests(unittest.TestCase):
    def test_a_line_carries_all_fields(self):
        stream = io.StringIO()
        log = make_log("info", "h1", "z1", stream, process="entry", clock=lambda: 7)
        fields = (("upstream", "h2"),)
        log.write(LogEvent(LogEventKind.ATTEMPT_SENT, "r1", fields))
        log.log_reducer_error(LogEvent(LogEventKind.DRAINED), ValueError("broken"))
        first, second = map(json.loads, stream.getvalue().splitlines())
        self.assertRegex(first.pop("time"), r"^\d{4}-\d\d-\d\dT.*\+00:00$")
        expected = {
            "level": "INFO",
            "message": event_named("attempt-sent").message,
            "event": "attempt-sent",
            "number": 1301,
            "monotonic_ms": 7,
            "host": "h1",
            "zone": "z1",
            "process": "entry",
            "request": "r1",
            "fields": {"upstream": "h2"},
        }
        self.assertEqual(expected, first)
        self.assertIn("ValueError: broken", second["exc_info"])

    def test_an_unknown_event_raises_key_error(self):
        with self.assertRaisesRegex(KeyError, "event catalogue"):
            make_log("info", "h", "z", io.StringIO()).emit("no-such-event")


class RateLimitTests(unittest.TestCase):
    def test_each_event_is_counted_also_if_its_line_is_omitted(self):
        """Guard against errors that show only in a line that was left out."""
        stream, counted = io.StringIO(), []
        log = make_log("info", "e", "a", stream, process="test")
        limited = RateLimitedLog(log, 2, count=counted.append)
        for _ in range(5):
            limited.emit("store-reached")
        limited.emit_error("task-failed", ValueError("x"))
        limited.flush()
        self.assertEqual(counted, ["store-reached"] * 5 + ["task-failed"])
        self.assertEqual(stream.getvalue().count("store-reached"), 2)


class ProcessTests(unittest.TestCase):
    def test_refused_settings_are_logged_and_end_the_process(self):
        command = [sys.executable, "-m", "nutmegslip_entry.main", "serve", "/none"]
        result = subprocess.run(command, capture_output=True, check=False)
        logged = json.loads(result.stdout)
        self.assertEqual((2, 1002), (result.returncode, logged["number"]))
        self.assertEqual("/none", logged["fields"]["file"])


class ExplainTests(unittest.TestCase):
    def test_every_event_and_error_is_explained(self):
        topics = [
            *(kind.code for kind in EVENTS),
            *(str(kind.number) for kind in EVENTS),
            *(kind.name for kind in EVENTS),
            *map(str, FailureKind),
            *map(str, RefusalKind),
            *map(str, direct.RefusalKind),
            "urn:nutmegslip:problem:overloaded",
        ]
        for topic in topics:
            self.assertIn("emedy", explain(topic).default_value(""), topic)

    def test_an_unknown_topic_suggests_similar_names(self):
        self.assertIn("lease-lost", explain("lease-los").error.message)
        self.assertIn("for example", explain("").error.message)
