"""Measure an entry's processor time as counts grow, and fit straight lines."""

import gc
import json
import pathlib
import sys
import time
from collections.abc import Callable

import defopt

from bench.capacity_fit import Line, fit
from nutmegslip_decisions import configuration, entry
from nutmegslip_decisions.process import (
    PeerMessage,
    PeerPieces,
    Send,
    ServiceAnswered,
    Started,
    Tick,
)
from nutmegslip_decisions.work import MESSAGES, Finished, LoadReport, Pieces, Submit
from nutmegslip_messages import Codec

CODEC = Codec(MESSAGES)
ROUNDS = 400
HEADER_BYTES = 52  # IP, TCP and WebSocket headers


def main(*, out: pathlib.Path) -> int:
    """Print each line and write all as JSON.

    :param out: JSON file to write
    """
    upstreams, accounts = (110, 300, 600, 1_100), (370, 1_000, 2_000, 3_700)
    batch = (1, 4, 16, 64)
    lines = [
        _line("load report taken", "upstreams", upstreams, report_us, 1_117),
        _line("request, arrival to end", "upstreams", upstreams, request_us, 1_117),
        _line("request, arrival to end", "accounts", accounts, accounts_us, 3_700),
        _line("tick without work", "upstreams", upstreams, tick_us, 1_117),
        _line("token of a joint frame", "streams", batch, token_us, 16),
    ]
    report = CODEC.encode(_report(0, 0))
    print(f"load report: {len(report)} bytes, {len(report) + HEADER_BYTES} on the wire")
    for line in lines:
        points = ", ".join(f"{count:g}: {value:.1f}" for count, value in line.points)
        print(
            f"{line.quantity} ({line.unit}) over {line.over}: {points}; "
            f"slope {line.slope:.4g}, r2 {line.r_squared:.3f}, "
            f"{line.at_target:.1f} at {line.target}"
        )
    fits = [line._asdict() for line in lines]
    content = {"report_bytes": len(report), "fits": fits}
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_text(json.dumps(content, indent=1))
    return 0


def _line(
    quantity: str,
    over: str,
    counts: tuple[int, ...],
    measure: Callable[[int], float],
    target: int,
) -> Line:
    points = [(float(count), measure(count)) for count in counts]
    return fit(quantity, "us", over, points, target)


def report_us(upstreams: int) -> float:
    """Return the time to decode and handle one load report."""
    state, frames = _entry(upstreams), []
    for number in range(ROUNDS):
        host = f"m{number % upstreams}"
        frames.append((host, CODEC.encode(_report(number, number % 7))))

    def run() -> None:
        nonlocal state
        for host, frame in frames:
            message = CODEC.decode(frame).ok
            state, _ = entry.reduce(state, PeerMessage(10_000, host, message))

    return _time_us(run, ROUNDS)


def request_us(upstreams: int) -> float:
    """Return the time of one request from arrival to end, one stream piece."""
    return _requests_us(_entry(upstreams))


def accounts_us(accounts: int) -> float:
    """Return the time of one request with a given number of client accounts."""
    return _requests_us(_entry(110, accounts))


def tick_us(upstreams: int) -> float:
    """Return the time of a tick with no request in flight; there are 20 a second."""
    state = _entry(upstreams)

    def run() -> None:
        nonlocal state
        for number in range(ROUNDS):
            state, _ = entry.reduce(state, Tick(10_000 + 50 * number))

    return _time_us(run, ROUNDS)


def token_us(streams: int) -> float:
    """Return the time of one token in a frame that carries tokens of all streams."""
    state = _entry(110)
    attempts = []
    for number in range(streams):
        state, effects = entry.reduce(state, _arrival(number))
        attempts += [e.message.attempt_id for e in effects if _is_submit(e)]
    frames = [
        b"".join(CODEC.encode(Pieces(a, step, (b"x" * 150,))) for a in attempts)
        for step in range(ROUNDS)
    ]

    def run() -> None:
        nonlocal state
        for frame in frames:
            pieces = tuple(CODEC.decode_all(frame).ok)
            state, _ = entry.reduce(state, PeerPieces(10_000, "m0", pieces))

    return _time_us(run, ROUNDS * len(attempts))


def _requests_us(state: entry.EntryState) -> float:
    def run() -> None:
        nonlocal state
        for number in range(ROUNDS):
            state, effects = entry.reduce(state, _arrival(number))
            sent = next(e for e in effects if _is_submit(e))
            attempt = sent.message.attempt_id
            batch = (Pieces(attempt, 0, (b"x" * 150,)),)
            state, _ = entry.reduce(state, PeerPieces(10_000, sent.host, batch))
            end = Finished(attempt, 200, "text/event-stream", b"", 1)
            state, _ = entry.reduce(state, PeerMessage(10_000, sent.host, end))

    return _time_us(run, ROUNDS)


def _time_us(run: Callable[[], None], count: int) -> float:
    gc.collect()
    started = time.process_time()
    run()
    return (time.process_time() - started) * 1e6 / count


def _entry(upstreams: int, accounts: int = 370) -> entry.EntryState:
    """Return an entry with its upstreams listed, each with a fresh load report."""
    sync = configuration.Options("e0", "z0", "one", 1)
    state = entry.new_state(entry.EntryOptions(sync, "0" * 16, 0, first_start=True))
    state, _ = entry.reduce(state, Started(0))
    for source, values in _published(upstreams, accounts):
        changes = [
            {"version": n, "key": key, "value": value}
            for n, (key, value) in enumerate(values.items(), 1)
        ]
        body = {"version": len(changes), "oldest": 0, "changes": changes}
        answer = ServiceAnswered(100, source, json.dumps(body).encode())
        state, _ = entry.reduce(state, answer)
    for number in range(upstreams):
        message = PeerMessage(10_000, f"m{number}", _report(0, 0))
        state, _ = entry.reduce(state, message)
    return state


def _published(upstreams: int, accounts: int):
    hosts = {
        f"m{n}": {
            "role": "sidecar",
            "address": "127.0.0.1:1",
            "zone": f"z{n % 3}",
            "region": "one",
            "workloads": [f"w{n % 15}"],
        }
        for n in range(upstreams)
    }
    workloads = {
        f"workload/w{n}": {
            "owner": "a0",
            "kind": "model",
            "class": "standard",
            "warm_limit": 1_000,
        }
        for n in range(15)
    }
    keys = {f"account/a{n}": {"key_sha256": [f"{n:064x}"]} for n in range(accounts)}
    yield configuration.Source.HOSTS, hosts
    yield configuration.Source.CATALOGUE, workloads | keys


def _report(clock_ms: int, in_flight: int) -> LoadReport:
    return LoadReport("0" * 16, clock_ms, in_flight, 0, False, 100, True)


def _arrival(number: int) -> entry.CallerArrived:
    return entry.CallerArrived(
        now_ms=10_000,
        request_id=f"{number:032x}",
        workload=f"w{number % 15}",
        token_sha256=f"{number % 370:064x}",
        method="POST",
        path="/v1/chat/completions",
        body=b"{}",
        stream=True,
    )


def _is_submit(effect: object) -> bool:
    return isinstance(effect, Send) and isinstance(effect.message, Submit)


if __name__ == "__main__":
    sys.exit(defopt.run(main))
