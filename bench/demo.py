"""Run a small site, send requests of each kind, take a zone out and back in."""

import json
import pathlib
import sys
import threading
import time
import urllib.error
import urllib.request
from collections import Counter
from itertools import chain, count, cycle, islice
from typing import NamedTuple

import defopt

from bench.site import (
    EntryHost,
    Plan,
    Site,
    Upstream,
    account,
    running_site,
)
from nutmegslip_runtime.timeline import merge, render_page

ZONES = ("north", "middle", "south")
TOKEN = "demo-token"
CALLERS = 6
PHASE_DURATION_S = 4
REQUEST_TIMEOUT_S = 30


class Outcome(NamedTuple):
    """Outcome of one request."""

    phase: str
    kind: str
    status: int
    complete: bool
    first_ms: float
    ran: str


class Recorder:
    """Outcomes of requests from several threads, by phase."""

    def __init__(self) -> None:
        self.phase = ""
        self.outcomes: list[Outcome] = []

    def add(self, kind: str, status: int, complete: bool, first_ms: float, ran: str):
        """Record one outcome."""
        self.outcomes.append(Outcome(self.phase, kind, status, complete, first_ms, ran))


def main(*, page: pathlib.Path = pathlib.Path("out/demo-timeline.html")) -> int:
    """Run the demo; the exit code is 1 after a failure.

    A failure is a request that was not answered completely or a push that ran twice.

    :param page: HTML file to which the timeline of the run is written
    """
    print("starting 3 entries, 3 models, 3 ledgers and a platform ...", flush=True)
    with running_site(_plan()) as site:
        recorder = Recorder()
        _run_phases(site, recorder)
        failures = _report(site, recorder)
        _write_page(site, page)
    return 1 if failures else 0


def _plan() -> Plan:
    entries = tuple(EntryHost(f"entry-{zone}", zone) for zone in ZONES)
    engine = ("--warm-after-ms", "500", "--step-ms", "20")
    models = (
        Upstream(f"model-{zone}", zone, "engine", ("verses",), engine) for zone in ZONES
    )
    ledgers = (
        Upstream(f"ledger-{zone}", zone, "ledger", ("push", "lookup")) for zone in ZONES
    )
    catalogue = {
        "account/parish": account(TOKEN),
        "workload/verses": {
            "owner": "parish",
            "kind": "model",
            "class": "interactive",
            "cold_limit": 2,
            "warm_limit": 32,
        },
        "workload/push": {
            "owner": "parish",
            "kind": "service",
            "class": "interactive",
            "repeatable": False,
            "timeout_ms": 3_000,
        },
        "workload/lookup": {"owner": "parish", "kind": "service", "class": "standard"},
    }
    return Plan(entries, (*models, *ledgers), catalogue)


def _run_phases(site: Site, recorder: Recorder) -> None:
    stop = threading.Event()
    request_numbers = count()
    threads = [
        threading.Thread(
            target=_call_until, args=(stop, site, recorder, request_numbers, n)
        )
        for n in range(CALLERS)
    ]
    phases = (
        ("quiet", {}),
        ("zone south out", {"zone/south": {"mark": "out"}}),
        ("zone south in again", {"zone/south": {"mark": "in"}}),
    )
    for number, (phase, edits) in enumerate(phases):
        recorder.phase = phase
        print(f"phase: {phase}", flush=True)
        if edits:
            site.publish(edits)
        if number == 0:
            for thread in threads:
                thread.start()
        time.sleep(PHASE_DURATION_S)
    stop.set()
    for thread in threads:
        thread.join()


def _call_until(
    stop: threading.Event, site: Site, recorder: Recorder, request_numbers, first: int
) -> None:
    kinds = ("stream", "push", "lookup", "whole")
    for kind in islice(cycle(kinds), first % len(kinds), None):
        if stop.is_set():
            return
        number = next(request_numbers)
        entry = f"entry-{ZONES[number % len(ZONES)]}"
        _call(site, recorder, entry, kind, number)


def _call(site: Site, recorder: Recorder, entry: str, kind: str, number: int) -> None:
    path, body, headers = _request(kind, number)
    started = time.monotonic()
    request = urllib.request.Request(
        site.url(entry, path), data=json.dumps(body).encode(), headers=headers
    )
    try:
        with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT_S) as response:
            first = response.readline()
            first_ms = (time.monotonic() - started) * 1_000
            rest = response.read()
            complete = kind != "stream" or rest.endswith(b"data: [DONE]\n\n")
            recorder.add(
                kind, response.status, bool(first) and complete, first_ms, "yes"
            )
    except urllib.error.HTTPError as error:
        first_ms = (time.monotonic() - started) * 1_000
        recorder.add(kind, error.code, False, first_ms, json.load(error)["ran"])


def _request(kind: str, number: int) -> tuple[str, dict, dict[str, str]]:
    headers = {"Authorization": f"Bearer {TOKEN}", "Content-Type": "application/json"}
    if kind in ("push", "lookup"):
        key = {"Idempotency-Key": f"push-{number}"} if kind == "push" else {}
        return f"/services/{kind}/submit", {"list": number}, headers | key
    messages = [{"role": "user", "content": f"a hymn for Sunday {number % 50}"}]
    chat = {"model": "verses", "messages": messages, "max_tokens": 20}
    return "/v1/chat/completions", chat | {"stream": kind == "stream"}, headers


def _report(site: Site, recorder: Recorder) -> int:
    print(f"\n{'phase':<22}{'kind':<8}{'whole':>6}{'other':>7}{'first p95 ms':>14}")
    groups = sorted({(outcome.phase, outcome.kind) for outcome in recorder.outcomes})
    for phase, kind in groups:
        found = [
            outcome
            for outcome in recorder.outcomes
            if (outcome.phase, outcome.kind) == (phase, kind)
        ]
        complete = [outcome for outcome in found if outcome.complete]
        p95 = sorted(outcome.first_ms for outcome in found)[int(len(found) * 0.95)]
        other = len(found) - len(complete)
        print(f"{phase:<22}{kind:<8}{len(complete):>6}{other:>7}{p95:>14.0f}")
    incomplete = [outcome for outcome in recorder.outcomes if not outcome.complete]
    for (status, ran), number in Counter(
        (outcome.status, outcome.ran) for outcome in incomplete
    ).items():
        print(f"incomplete: {number} with status {status}, ran: {ran}")
    keys = Counter(
        run["key"]
        for zone in ZONES
        for run in site.control(f"ledger-{zone}/upstream", "/_control/runs")["runs"]
        if run["key"]
    )
    pushed = sum(
        outcome.kind == "push" and outcome.complete for outcome in recorder.outcomes
    )
    repeated = sum(number > 1 for number in keys.values())
    print(f"pushes answered: {pushed}; pushes run: {len(keys)}; run twice: {repeated}")
    return len(incomplete) + repeated


def _write_page(site: Site, page: pathlib.Path) -> None:
    programs = [name for name in site.processes if "/" not in name]
    logs = {
        name: [json.dumps(line) for line in site.log_lines(name)]
        for name in programs
        if name != "platform"
    }
    page.parent.mkdir(parents=True, exist_ok=True)
    page.write_text(render_page(merge(logs), "nutmegslip demo"), encoding="utf-8")
    page.with_suffix(".log").write_text("\n".join(chain(*logs.values())))
    print(f"timeline of all processes: {page}")
    print(f"log of all processes: {page.with_suffix('.log')}")


if __name__ == "__main__":
    sys.exit(defopt.run(main))
