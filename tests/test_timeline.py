"""Test merging the logs of several processes into one timeline."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest
from datetime import UTC, datetime
from html.parser import HTMLParser

from hypothesis import given
from hypothesis import strategies as st

from nutmegslip_decisions.log_events import LogEvent, LogEventKind
from nutmegslip_runtime.eventlog import make_log
from nutmegslip_runtime.timeline import (
    Selection,
    merge,
    parse_line,
    render_page,
    render_text,
    select,
    show_timeline,
)

HOSTILE_TEXT = "<script>alert('$rows')</script>\x1b[2J\ud800"
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)
names = st.sampled_from(["time", "event", "host", "monotonic_ms", "number", "fields"])
times = st.sampled_from(["2026-01-01T00:00:00Z", "9999-12-31T23:59:59-23:59", "x"])
entries = st.dictionaries(names, json_values | times)


def line(wall_ms: float, event: str, **fields: object) -> str:
    time = datetime.fromtimestamp(wall_ms / 1_000, UTC).isoformat()
    return json.dumps({"time": time, "event": event, "host": "h", **fields})


class MergeTests(unittest.TestCase):
    def events(self, **sources: list[str]) -> list[str]:
        return [entry.event for _, entry in merge(sources).entries]

    def test_processes_are_interleaved_by_time(self):
        first = [line(1_000, "a"), line(3_000, "c")]
        second = [line(2_000, "b", host="h2")]
        self.assertEqual(["a", "b", "c"], self.events(x=first, y=second))

    def test_a_wall_clock_jump_does_not_reorder_events(self):
        first = [line(1_000 + n, str(n), monotonic_ms=n) for n in range(5)]
        jumped = [line(1, "5", monotonic_ms=5), line(9e9, "6", monotonic_ms=6)]
        self.assertEqual(list("0123456"), self.events(x=first + jumped))

    def test_bad_lines_are_counted_by_reason(self):
        lines = ["{", "[]", "{}", "", line(1, ""), '{"time": 1}', line(1, "a")]
        expected = {"not JSON": 1, "not a JSON object": 1}
        expected |= {"without a time": 2, "without an event": 1}
        timeline = merge({"x": lines})
        found = {reason: count for _, reason, count in timeline.bad_lines}
        self.assertEqual((expected, 1), (found, len(timeline.entries)))

    @given(st.lists(entries.map(json.dumps) | st.text(max_size=20), max_size=5))
    def test_no_line_is_fatal(self, lines: list[str]):
        timeline = merge({"x": lines})
        counted = len(timeline.entries) + sum(count for *_, count in timeline.bad_lines)
        self.assertEqual(sum(1 for text in lines if text.strip()), counted)
        render_text(timeline)
        render_page(timeline, "title")

    def test_selection(self):
        lines = [
            line(1, "a", request="r1", zone="z1"),
            line(2, "b", request="r1", zone="z2"),
            line(3, "c", request="r2", zone="z1", host="h2"),
        ]
        cases = {
            "ab": Selection(request="r1"),
            "ac": Selection(zone="z1"),
            "c": Selection(host="h2"),
            "b": Selection("r1", "h", "z2"),
            "abc": Selection(),
        }
        for expected, selection in cases.items():
            kept = select(merge({"x": lines}), selection).entries
            self.assertEqual(expected, "".join(entry.event for _, entry in kept))


class RenderTests(unittest.TestCase):
    def test_text_contains_logged_events(self):
        stream = io.StringIO()
        log = make_log("info", "h1", "z1", stream, process="entry")
        log.write(LogEvent(LogEventKind.ATTEMPT_SENT, "r1", (("upstream", "h2"),)))
        log.flush()
        text = render_text(merge({"x": stream.getvalue().splitlines()}))
        self.assertRegex(text, r"^\d\d:.* h1 entry NS1301 attempt-sent r1 upstream=h2$")

    def test_hostile_text_is_shown_as_text(self):
        hostile = dict.fromkeys(
            ("event", "level", "message", "request", "host"), HOSTILE_TEXT
        )
        lines = [
            line(
                1, **hostile, process=HOSTILE_TEXT, fields={HOSTILE_TEXT: HOSTILE_TEXT}
            ),
            line(2, "next"),
        ]
        timeline = merge({HOSTILE_TEXT: [*lines, "{"]})
        self.assertNotIn("\x1b", render_text(timeline))
        page = _Page()
        page.feed(render_page(timeline, HOSTILE_TEXT))
        self.assertEqual(1, page.counts["script"])
        self.assertEqual(2, page.counts["circle"])
        self.assertEqual([], page.external_links)

    def test_the_command_writes_a_page_and_reports_errors(self):
        with tempfile.TemporaryDirectory() as folder:
            log, page = (pathlib.Path(folder, name) for name in ("a.log", "p.html"))
            log.write_text(line(1, HOSTILE_TEXT))
            with contextlib.redirect_stdout(io.StringIO()):
                self.assertEqual(0, show_timeline([log], Selection(), page))
            self.assertIn("</html>", page.read_text())
            with contextlib.redirect_stderr(io.StringIO()) as stderr:
                for logs in ([page.with_name("none")], []):
                    self.assertEqual(2, show_timeline(logs, Selection(), None))
            self.assertRegex(stderr.getvalue(), r"(?s)none.*at least one file")


class LineTests(unittest.TestCase):
    def test_own_fields_may_be_flat_or_nested(self):
        for own in ({"fields": {"peer": 1}}, {"peer": 1}):
            self.assertEqual(
                (("peer", "1"),), parse_line(line(1, "a", **own)).ok.fields
            )


class _Page(HTMLParser):
    """Count elements, and collect links to other pages."""

    def __init__(self) -> None:
        super().__init__()
        self.counts = dict.fromkeys(("script", "circle"), 0)
        self.external_links: list[str] = []

    def handle_starttag(self, tag, attrs) -> None:
        if tag in self.counts:
            self.counts[tag] += 1
        links = (value for name, value in attrs if name in ("href", "src"))
        self.external_links += [link for link in links if not link.startswith("#")]
