"""Check that two builds read each other's reports; run by hand before an upgrade.

Each report of this build is decoded and encoded again by the other one. What comes
back must be the report without what only this build knows.
"""

import os
import pathlib
import subprocess
import sys
from random import Random

import cbor2
import defopt
from immutables import Map

from nutmegslip_decisions.direct import (
    Blame,
    Crash,
    EndedProcess,
    Measure,
    NamedLimit,
    PaceReport,
    PartReport,
    SpendingReport,
    Standing,
)
from nutmegslip_entry.direct._reports import Report, decode_report, encode_report
from soak._builds import checkout_of

NOW_MS = 1_000_000
_ECHO = """
import sys, cbor2
from nutmegslip_entry.direct._reports import decode_report, encode_report
now_ms = int(sys.argv[1])
reports = cbor2.loads(sys.stdin.buffer.read())
echoed = [encode_report(decode_report(data, now_ms), now_ms) for data in reports]
sys.stdout.buffer.write(cbor2.dumps(echoed))
"""


def main(*, production: str, seed: int = 1, count: int = 200) -> int:
    """Exchange drawn reports with another build; print how many came back whole.

    :param production: the commit of the other build
    :param seed: the seed of the reports
    :param count: number of reports
    """
    rng = Random(seed)
    reports = [_drawn(rng) for _ in range(count)]
    encoded = [encode_report(report, NOW_MS) for report in reports]
    own = [decode_report(data, NOW_MS) for data in encoded]
    echoed = [decode_report(data, NOW_MS) for data in _echo(production, encoded)]
    pairs = zip(echoed, reports, strict=True)
    whole = sum(found == _without_new(report) for found, report in pairs)
    print(f"{production} returned {whole} of {count} reports whole; this build reads")
    print(f"{sum(a == b for a, b in zip(own, reports, strict=True))} of its own")
    return 0 if whole == count and own == reports else 1


def _echo(commit: str, encoded: list[bytes]) -> list[bytes]:
    root = checkout_of(commit)
    paths = [str(path) for path in sorted(root.glob("packages/*/src"))]
    done = subprocess.run(
        [sys.executable, "-c", _ECHO, str(NOW_MS)],
        input=cbor2.dumps(encoded),
        env=os.environ | {"PYTHONPATH": os.pathsep.join(paths)},
        cwd=pathlib.Path(root),
        stdout=subprocess.PIPE,
        check=True,
    )
    return cbor2.loads(done.stdout)


def _without_new(report: Report) -> Report:
    """Return a report without the fields that were added after d6e1b64."""
    crashes = {
        part: tuple(crash._replace(needs_end=False) for crash in found)
        for part, found in report.parts.crashes.items()
    }
    parts = report.parts._replace(crashes=Map(crashes), ended=Map())
    return report._replace(parts=parts)


def _drawn(rng: Random) -> Report:
    def times() -> Map:
        return Map({f"p{n}": _past(rng) for n in range(rng.randrange(4))})

    parts = PartReport(
        Map(
            {
                f"p{n}": tuple(_crash(rng) for _ in range(rng.randint(1, 8)))
                for n in range(rng.randrange(4))
            }
        ),
        times(),
        frozenset(times()),
        Map(
            {
                f"p{n}": Blame(_past(rng), rng.randrange(3), _past(rng))
                for n in range(rng.randrange(3))
            }
        ),
        times(),
    )
    demand = {("model", measure, "a"): rng.randint(1, 9) for measure in Measure}
    ended = {n: EndedProcess("10.0.0.9", _past(rng), Map()) for n in (7, 8)}
    pace = PaceReport(*(float(rng.randint(1, 99)) for _ in PaceReport._fields))
    return Report(
        Map({f"u{n}": rng.randrange(9) for n in range(rng.randrange(5))}),
        ("10.0.0.2", "10.0.0.3"),
        parts,
        Standing(rng.random() < 0.5, rng.random() < 0.5, rng.randrange(99)),
        SpendingReport(rng.randrange(99), True, Map(), Map(ended)),
        Map({"u1": NamedLimit(3, rng.random(), _past(rng))}),
        Map({"model": Map({"g": pace})}),
        Map(demand) if rng.random() < 0.7 else Map(),
        Map({"r1": rng.random() + 1}) if rng.random() < 0.5 else Map(),
    )


def _crash(rng: Random) -> Crash:
    return Crash(
        _past(rng),
        _past(rng),
        rng.random(),
        rng.random(),
        rng.randrange(2**64),
        rng.random() < 0.5,
    )


def _past(rng: Random) -> int:
    return NOW_MS - rng.randrange(60_000)


if __name__ == "__main__":
    sys.exit(defopt.run(main))
