"""Compute the figures of a load run."""

import os
import pathlib
from collections import Counter
from typing import TypedDict

import numpy as np

from bench.load_client import Sample

QUANTILES = {"p50": 50, "p95": 95, "p99": 99}


class Figures(TypedDict):
    """Figures of one target, with units in the names of the fields."""

    requests: int
    outcomes: dict[str, int]
    seconds: float
    requests_per_s: float
    tokens_per_s: float
    first_token_ms: dict[str, float]
    between_tokens_ms: dict[str, float]
    processor_s: dict[str, float]
    processor_us_per_token: dict[str, float]


def compute_figures(
    samples: list[Sample], seconds: float, processor_s: dict[str, float]
) -> Figures:
    """Return the figures of all samples; only complete responses are timed."""
    whole = [sample for sample in samples if sample.outcome == "ok"]
    first_tokens_ms = [
        sample.first_ms for sample in whole if sample.first_ms is not None
    ]
    gaps = [gap for sample in whole for gap in sample.gaps_ms]
    tokens = sum(sample.tokens for sample in whole)
    return Figures(
        requests=len(samples),
        outcomes=dict(sorted(Counter(s.outcome for s in samples).items())),
        seconds=round(seconds, 3),
        requests_per_s=round(len(whole) / seconds, 2),
        tokens_per_s=round(tokens / seconds, 1),
        first_token_ms=_quantiles(first_tokens_ms),
        between_tokens_ms=_quantiles(gaps),
        processor_s={name: round(used, 2) for name, used in processor_s.items()},
        processor_us_per_token={
            name: round(used * 1_000_000 / max(tokens, 1), 1)
            for name, used in processor_s.items()
        },
    )


def processor_seconds(processes: dict[str, int]) -> dict[str, float]:
    """Return the processor time used by this process and by the given pids."""
    ticks = os.sysconf("SC_CLK_TCK")
    times = os.times()
    others = {name: _cpu_ticks(pid) / ticks for name, pid in processes.items()}
    return {"load": times.user + times.system} | others


def _cpu_ticks(pid: int) -> int:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    user, system = fields[11:13]  # utime and stime, indexed after the process name
    return int(user) + int(system)


def _quantiles(values: list[float]) -> dict[str, float]:
    if not values:
        return {}
    percentiles = np.percentile(values, list(QUANTILES.values()))
    return {
        name: round(float(value), 3)
        for name, value in zip(QUANTILES, percentiles, strict=True)
    }
