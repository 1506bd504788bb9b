"""Test that old and new builds read each other's reports."""

import pathlib
import unittest

import cbor2
from immutables import Map

from nutmegslip_decisions.direct import (
    Blame,
    Crash,
    NamedLimit,
    PartReport,
    SpendingReport,
    Standing,
)
from nutmegslip_entry.direct._reports import Report, decode_report, encode_report

SAMPLES = pathlib.Path(__file__).parent / "data" / "reports"
NOW_MS = 100_000

# What build d6e1b64 reported in the sample of its name.
REPORTED = Report(
    Map({"u1": 2}),
    ("10.0.0.2",),
    PartReport(
        Map({"p": (Crash(99_000, 99_100, 0.25, 0.5, 7),)}),
        Map({"q": 98_000}),
        frozenset({"p"}),
        Map({"b": Blame(90_000, 1, 95_000)}),
    ),
    Standing(True, True, 9),
    SpendingReport(5, True, Map(), Map()),
    Map({"u1": NamedLimit(3, 1.5, 99_500)}),
    slow_ranks=Map({"r1": 2.5}),
)


class ReportTests(unittest.TestCase):
    """Guard against builds that lose each other's counts during an upgrade."""

    def test_the_report_of_an_earlier_build_is_read(self):
        data = (SAMPLES / "d6e1b64.cbor").read_bytes()
        self.assertEqual(decode_report(data, NOW_MS), REPORTED)

    def test_what_is_new_stands_behind_what_an_earlier_build_reads(self):
        earlier = cbor2.loads((SAMPLES / "d6e1b64.cbor").read_bytes())
        crash = Crash(99_000, 99_100, 0.25, 0.5, 7, needs_end=True)
        parts = REPORTED.parts._replace(
            crashes=Map({"p": (crash,)}), ended=Map({"p": 97_000})
        )
        report = REPORTED._replace(parts=parts)
        data = encode_report(report, NOW_MS)
        self.assertEqual(cbor2.loads(data)[: len(earlier)], earlier)
        self.assertEqual(decode_report(data, NOW_MS), report)

    def test_items_of_a_later_build_are_ignored(self):
        items = cbor2.loads(encode_report(REPORTED, NOW_MS))
        ends = [{}, {}, "later"]
        data = cbor2.dumps([*items, ends, {"later": 1}, 7])
        self.assertEqual(decode_report(data, NOW_MS), REPORTED)


if __name__ == "__main__":
    unittest.main()
