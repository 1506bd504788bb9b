"""Run soak seeds from the command line."""

import pathlib
import subprocess
import sys
from itertools import islice

import defopt

from soak._builds import checkout_of
from soak._run import STEPS, run
from soak._schedule import ENTRIES


def main(
    *,
    first: int = 1,
    seeds: int = 1,
    jobs: int = 1,
    steps: int = STEPS,
    entries: int = ENTRIES,
    hedge_share: float = 0.0,
    crowds: int = 2,
    production: str = "",
) -> int:
    """Run seeds one after the other, or several at once; print each result.

    :param first: the first seed
    :param seeds: number of seeds
    :param jobs: number of seeds to run at once, each in its own process
    :param steps: number of faults for each seed
    :param entries: number of entry processes for each seed
    :param hedge_share: the limit on second attempts of slow requests, 0 for none
    :param crowds: crowds of clients that send unfinished requests, for each seed
    :param production: the commit of the build that is upgraded meanwhile, if any
    """
    checkout = checkout_of(production) if production else None
    numbers = iter(range(first, first + seeds))
    if jobs > 1:
        options = ["--steps", str(steps), "--entries", str(entries)]
        options += ["--hedge-share", str(hedge_share), "--production", production]
        options += ["--crowds", str(crowds)]
        codes: list[int] = []
        while batch := list(islice(numbers, jobs)):
            codes += _run_parallel(batch, options)
        return max(codes)
    return max(
        _run_one(number, steps, entries, hedge_share, crowds, checkout)
        for number in numbers
    )


def _run_parallel(batch: list[int], options: list[str]) -> list[int]:
    started = [
        subprocess.Popen(
            [sys.executable, "-m", "soak", "--first", str(number), *options]
        )
        for number in batch
    ]
    return [process.wait() for process in started]


def _run_one(
    seed: int,
    steps: int,
    entries: int,
    hedge_share: float,
    crowds: int,
    production: pathlib.Path | None,
) -> int:
    outcome = run(
        seed,
        steps=steps,
        entries=entries,
        hedge_share=hedge_share,
        crowds=crowds,
        production=production,
    )
    total = sum(outcome.statuses.values())
    served = sum(n for name, n in outcome.statuses.items() if name.endswith(" 200"))
    verdict = "broken" if outcome.violations else "kept"
    print(f"seed {seed}: {verdict}; {served} of {total} served", flush=True)
    for violation in outcome.violations[:10]:
        print(f"  {violation}", flush=True)
    if outcome.violations:
        for step in outcome.steps:
            print(f"  {step}", flush=True)
    return 1 if outcome.violations else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
