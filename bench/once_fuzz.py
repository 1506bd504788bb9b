"""Fuzz the at-most-once reducers for a given time and print the cases met."""

import time
from collections import Counter

import defopt

from bench.once_chaos import Chaos
from bench.once_world import GuaranteeViolatedError


def fuzz(*, seed: int = 1, seconds: float = 60.0, steps: int = 120) -> None:
    """Run worlds of consecutive seeds until the time is spent.

    :param seed: seed of the first world
    :param seconds: how long to go on
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
    print(f"{worlds} worlds of {steps} steps, first seed {seed}: no promise broken")
    for name, count in sorted(cases.items()):
        print(f"{count:9} {name}")


if __name__ == "__main__":
    defopt.run(fuzz)
