"""Compare the path through entry and sidecar with direct calls to the engine."""

import pathlib
import sys

import defopt

from bench.load import Load, measure, report
from bench.load_client import Shape
from bench.site import EntryHost, Plan, Upstream, account, running_site

WORKLOAD = "verses"
TOKEN = "load"
CHAT = "/v1/chat/completions"
PROMPT_WORDS = 32
WARM_LIMIT = 100_000


def main(
    *,
    out: pathlib.Path,
    rate: float = 0.0,
    concurrency: int = 8,
    seconds: float = 10.0,
    rounds: int = 2,
    seed: int = 1,
    max_tokens: int = 32,
    step_ms: float = 10.0,
    tokens_per_chunk: int = 1,
) -> int:
    """Start an entry, a sidecar and an engine and load both paths.

    :param out: JSON file to write
    :param rate: requests per second at random times; 0 uses a fixed concurrency
    :param concurrency: concurrent callers if the rate is 0
    :param seconds: duration of each round
    :param rounds: rounds on each path
    :param seed: seed of prompts and arrival times
    :param max_tokens: tokens of each response
    :param step_ms: duration of an engine step
    :param tokens_per_chunk: tokens that a step produces for each request
    """
    engine = ("--step-ms", str(step_ms), "--tokens-per-chunk", str(tokens_per_chunk))
    load = Load(rate, concurrency, seconds, rounds, seed)
    shape = Shape(WORKLOAD, TOKEN, max_tokens, PROMPT_WORDS)
    with running_site(_plan(engine)) as site:
        urls = {
            "direct": site.url("engine-1/upstream", CHAT),
            "system": site.url("entry-1", CHAT),
        }
        processes = {
            "entry": site.processes["entry-1"].pid,
            "sidecar": site.processes["engine-1"].pid,
            "engine": site.processes["engine-1/upstream"].pid,
        }
        figures = measure(urls, load, shape, processes)
    return report(figures, load, shape, out)


def _plan(engine: tuple[str, ...]) -> Plan:
    workload = {
        "owner": "load",
        "kind": "model",
        "class": "interactive",
        "warm_limit": WARM_LIMIT,
        "cold_limit": WARM_LIMIT,
    }
    return Plan(
        entries=(EntryHost("entry-1", "a"),),
        upstreams=(Upstream("engine-1", "a", "engine", (WORKLOAD,), engine),),
        catalogue={
            f"workload/{WORKLOAD}": workload,
            "account/load": account(TOKEN),
        },
    )


if __name__ == "__main__":
    sys.exit(defopt.run(main))
