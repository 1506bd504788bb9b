"""Fuzz admission with more runs than CI.

Run ``python -m bench.routing_fuzz --seed 1 --runs 2000``.
"""

import collections

import defopt
import hypothesis
from hypothesis.stateful import run_state_machine_as_test

from tests.test_limits import LimitsMachine


def main(*, seed: int = 1, runs: int = 2_000, steps: int = 50) -> None:
    """Run the state machine of admission and print counts of what was covered.

    :param seed: seed of the generated runs
    :param runs: number of runs
    :param steps: maximum steps in a run
    """
    counts: collections.Counter = collections.Counter()

    class CountingMachine(LimitsMachine):
        def teardown(self) -> None:
            counts["runs"] += 1
            counts[f"faults {self.faults}"] += 1
            counts["offers"] += self.count
            counts["admitted"] += len(self.admitted)
            counts["refused"] += len(self.refused)
            counts["entries killed"] += self.kills

    settings = hypothesis.settings(
        max_examples=runs, stateful_step_count=steps, deadline=None, database=None
    )
    run_state_machine_as_test(hypothesis.seed(seed)(CountingMachine), settings=settings)
    print(dict(counts))


if __name__ == "__main__":
    defopt.run(main)
