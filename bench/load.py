"""Measure a URL under load and, for comparison, direct calls to its upstream."""

import json
import pathlib
import sys
import time
from typing import NamedTuple

import defopt

from bench.load_client import LoadClient, Sample, Shape
from bench.load_figures import Figures, compute_figures, processor_seconds
from bench.load_run import offer_concurrency, offer_rate

NUMBERS_PER_ROUND = 10_000_000


class Load(NamedTuple):
    """Load to offer: open loop at ``rate``, or ``concurrency`` callers if it is 0."""

    rate: float
    concurrency: int
    seconds: float
    rounds: int
    seed: int


class Round(NamedTuple):
    """Samples and processor time of one round at one target."""

    samples: list[Sample]
    seconds: float
    processor_s: dict[str, float]


def main(
    *,
    url: str,
    out: pathlib.Path,
    direct_url: str = "",
    rate: float = 0.0,
    concurrency: int = 8,
    seconds: float = 10.0,
    rounds: int = 2,
    seed: int = 1,
    model: str = "verses",
    bearer: str = "",
    max_tokens: int = 32,
    prompt_words: int = 32,
    pids: list[int] = [],  # noqa: B006
) -> int:
    """Send streamed chat completions and write the figures.

    With a direct URL the rounds alternate between the two URLs, with requests of the
    same shape and arrival times, so that machine noise affects both alike. The exit
    code is 1 if any response was incomplete.

    :param url: chat completions URL of the system
    :param out: JSON file to write
    :param direct_url: chat completions URL of the upstream itself
    :param rate: requests per second at random times; 0 uses a fixed concurrency
    :param concurrency: concurrent callers if the rate is 0
    :param seconds: duration of each round
    :param rounds: rounds at each URL
    :param seed: seed of prompts and arrival times
    :param model: workload to request
    :param bearer: token of the client account
    :param max_tokens: tokens of each response
    :param prompt_words: words of each prompt
    :param pids: processes whose processor time is reported
    """
    urls = {"direct": direct_url, "system": url} if direct_url else {"system": url}
    load = Load(rate, concurrency, seconds, rounds, seed)
    shape = Shape(model, bearer, max_tokens, prompt_words)
    figures = measure(urls, load, shape, {str(pid): pid for pid in pids})
    return report(figures, load, shape, out)


def measure(
    urls: dict[str, str], load: Load, shape: Shape, processes: dict[str, int]
) -> dict[str, Figures]:
    """Return the figures of each URL by name; ``processes`` maps names to pids."""
    clients = {name: LoadClient(name, url, shape) for name, url in urls.items()}
    rounds_by_name: dict[str, list[Round]] = {name: [] for name in clients}
    for number in range(load.rounds):
        for name, client in clients.items():
            rounds_by_name[name].append(_round(client, load, number, processes))
    return {name: _merge(parts) for name, parts in rounds_by_name.items()}


def report(
    figures: dict[str, Figures], load: Load, shape: Shape, out: pathlib.Path
) -> int:
    """Write and print the figures; return 1 if any response was incomplete."""
    document = {
        "load": load._asdict(),
        "shape": _without_token(shape),
        "figures": figures,
    }
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(document, indent=2) + "\n")
    print(json.dumps(figures, indent=2))
    whole = all(set(part["outcomes"]) == {"ok"} for part in figures.values())
    return 0 if whole else 1


def _round(
    client: LoadClient, load: Load, number: int, processes: dict[str, int]
) -> Round:
    first_number = number * NUMBERS_PER_ROUND
    before = processor_seconds(processes)
    start = time.monotonic()
    if load.rate:
        samples = offer_rate(client, load.rate, load.seconds, load.seed, first_number)
    else:
        samples = offer_concurrency(
            client, load.concurrency, load.seconds, load.seed, first_number
        )
    seconds = time.monotonic() - start
    after = processor_seconds(processes)
    return Round(samples, seconds, {name: after[name] - before[name] for name in after})


def _merge(rounds: list[Round]) -> Figures:
    samples = [sample for part in rounds for sample in part.samples]
    names = rounds[0].processor_s
    used = {name: sum(part.processor_s[name] for part in rounds) for name in names}
    return compute_figures(samples, sum(part.seconds for part in rounds), used)


def _without_token(shape: Shape) -> dict[str, object]:
    """Return the shape without the bearer token."""
    return {name: v for name, v in shape._asdict().items() if name != "bearer"}


if __name__ == "__main__":
    sys.exit(defopt.run(main))
