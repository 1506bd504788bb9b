"""Fuzz entries and sidecars together at length, or with a mechanism switched off."""

import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import defopt
from hypothesis import seed as with_seed
from hypothesis import settings
from immutables import Map

from nutmegslip_decisions.entry import _requests
from nutmegslip_decisions.sidecar import _attempts as sidecar_attempts
from tests.test_system_fuzz import SystemMachine, run

#: Mechanisms that can be switched off: module, function and its replacement.
FAULTS = {
    "forget-lost-attempts": (_requests, "_may_have_run", lambda *_: False),
    "forget-refusals": (
        sidecar_attempts,
        "_close",
        lambda state, attempt, _: state._replace(
            attempts=Map({k: v for k, v in state.attempts.items() if k != attempt})
        ),
    ),
}


def main(
    *, seed: int = 1, examples: int = 200, steps: int = 25, fault: str = ""
) -> int:
    """Run drawn sequences of requests, faults and edits; print the cases reached.

    :param seed: seed of every draw
    :param examples: number of sequences
    :param steps: number of moves in each sequence
    :param fault: name of a mechanism to switch off, so that the run must fail
    """
    settings.register_profile("long", deadline=None, database=None)
    settings.load_profile("long")
    machine = with_seed(seed)(type("Seeded", (SystemMachine,), {}))
    started = time.monotonic()
    with _broken(fault):
        try:
            cases = run(machine, examples, steps)
        except AssertionError as error:
            print(f"failed after {time.monotonic() - started:.0f} s: {error}")
            return 1
    print(f"{examples} sequences passed in {time.monotonic() - started:.0f} s")
    print("\n".join(sorted(cases)))
    return 0


@contextmanager
def _broken(fault: str) -> Iterator[None]:
    if not fault:
        yield
        return
    target, name, replacement = FAULTS[fault]
    with mock.patch.object(target, name, replacement):
        yield


if __name__ == "__main__":
    sys.exit(defopt.run(main))
