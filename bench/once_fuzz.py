"""Fuzz the at-most-once reducers for a given time and print the cases reached."""

import time
from collections import Counter

import defopt

from bench.once_chaos import Chaos
from bench.once_world import GuaranteeViolatedError


def fuzz(*, seed: int = 1, seconds: float = 60.0, steps: int = 120) -> None:
    """Run worlds of consecutive seeds for the given time.

    :param seed: seed of the first world
    :param seconds: time to run for
    :param steps: random actions in each world
    """
    end = time.monotonic() + seconds
    cases: Counter[str] = Counter()
    worlds = 0
    while time.monotonic() < end:
        chaos = Chaos(seed + worlds)
        try:
            chaos.run(steps)
        except GuaranteeViolatedError as error:
            raise SystemExit(f"seed {seed + worlds}: {error}") from error
        cases += chaos.world.cases
        worlds += 1
    print(f"{worlds} worlds of {steps} steps, first seed {seed}, no violation")
    for name, count in sorted(cases.items()):
        print(f"{count:9} {name}")


if __name__ == "__main__":
    defopt.run(fuzz)
