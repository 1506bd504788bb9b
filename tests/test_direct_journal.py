"""Test that each decision leaves a line with its request and its inputs."""

import unittest

from nutmegslip_decisions import direct
from nutmegslip_decisions.direct import (
    Arrived,
    AttemptFailed,
    Broken,
    CallerRequest,
    Ended,
    StoreLost,
    UpstreamPublished,
)
from nutmegslip_entry.direct import lines_of
from nutmegslip_runtime.eventlog import event_named
from tests.direct_world import HOST, KEY, World, upstream


class JournalTests(unittest.TestCase):
    def setUp(self):
        self.world = World(upstream("u1"))

    def _lines(self, event):
        before = self.world.state
        self.world.state, effects = direct.reduce(before, event)
        lines = list(lines_of(event, before, self.world.state, effects))
        for line in lines:
            kind = event_named(line.name)
            self.assertEqual(set(line.fields) - set(kind.fields), set())
        return [(line.name, line.request) for line in lines]

    def _arrive(self, ticket, path="/pushes/1"):
        asked = CallerRequest(ticket, f"r{ticket}", HOST, path, KEY, None)
        return self._lines(Arrived(self.world.now_ms, asked))

    def test_a_request_can_be_followed_by_its_id(self):
        now_ms = self.world.now_ms
        self.assertEqual(self._arrive(1), [("request-sent", "r1")])
        failed = self._lines(AttemptFailed(now_ms + 5, 1, Broken()))
        self.assertEqual(
            failed, [("direct-attempt-failed", "r1"), ("request-refused", "r1")]
        )

    def test_a_refusal_on_arrival_names_its_request(self):
        self.assertEqual(self._arrive(1, "/none/"), [("request-refused", "r1")])

    def test_ends_and_changed_beliefs(self):
        self._arrive(1)
        now_ms = self.world.now_ms
        cases = (
            (Ended(now_ms, 1, answered=True), [("request-served", "r1")]),
            (Ended(now_ms, 1, answered=True), []),
            (StoreLost(now_ms), [("store-lost", "")]),
            (UpstreamPublished(now_ms, upstream("u2")), [("upstream-changed", "")]),
        )
        for event, lines in cases:
            with self.subTest(event=type(event).__name__):
                self.assertEqual(self._lines(event), lines)


if __name__ == "__main__":
    unittest.main()
