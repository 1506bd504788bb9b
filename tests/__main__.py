"""Run the tests; failures listed in KNOWN-RED.txt do not fail the run."""

import pathlib
import sys
import unittest

from hypothesis import settings

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"


def known_failures() -> frozenset[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def main(arguments: list[str]) -> int:
    """Run the named test modules, or all; return the exit code."""
    settings.register_profile("ci", derandomize=True, deadline=None, database=None)
    settings.load_profile("ci")
    loader = unittest.defaultTestLoader
    suite = (
        loader.loadTestsFromNames(arguments)
        if arguments
        else loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    )
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    listed = known_failures()
    failed = {test.id() for test, _ in result.failures + result.errors}
    for name in sorted(failed & listed):
        print(f"known failure: {name}")
    unexpected = failed - listed
    passed = result.testsRun - len(failed) - len(result.skipped)
    print(f"{passed} passed, {len(failed)} failed, {len(result.skipped)} skipped")
    return 1 if unexpected or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
