"""Measure the entry's cost of direct serving as upstreams and peers grow."""

import json
import pathlib
import time
from collections.abc import Callable

import defopt
from immutables import Map

from nutmegslip_decisions import direct
from nutmegslip_decisions.direct import (
    CallerRequest,
    Configuration,
    ConfigurationPublished,
    EndedProcess,
    ListingRead,
    Options,
    PaceReport,
    PeerReported,
    RequestArrived,
    RequestEnded,
    RequestKind,
    RequestLimits,
    ResponseStarted,
    Route,
    Service,
    SpendingReport,
    State,
    Target,
    Upstream,
    limit_report,
)
from nutmegslip_entry.direct._reports import Report, encode_report

UPSTREAMS = (12, 45, 150, 450)
PEERS = (3, 329)  # a current site, and the target deployment
REQUESTS = 200
BUSY_UPSTREAMS = 50


def main(*, out: pathlib.Path = pathlib.Path("bench/capacity-direct.json")) -> int:
    """Write the milliseconds per request, peer report and listing change.

    :param out: file for the figures
    """
    figures = [_measure(count, peers) for peers in PEERS for count in UPSTREAMS]
    out.write_text(json.dumps(figures, indent=1) + "\n")
    print(out.read_text(), end="")
    return 0


def _measure(count: int, peers: int) -> dict[str, float]:
    state = _state(count)
    in_flight = Map({f"u{number}": 1 for number in range(min(count, BUSY_UPSTREAMS))})
    for peer in range(peers):
        state, _ = direct.reduce(state, PeerReported(0, f"peer-{peer}", in_flight))
    report = PeerReported(0, "peer-1", in_flight)
    limited = _with_limits(state)
    paced = _with_reported_paces(state, peers)
    changed = direct.UpstreamPublished(0, _upstream(0)._replace(slots=11))
    return {
        "upstreams": count,
        "peers": peers,
        "request_ms": _timed(lambda number: _serve(state, number)),
        "request_limited_ms": _timed(lambda number: _serve(limited, number)),
        "request_paced_ms": _timed(lambda number: _serve(paced, number)),
        "peer_report_ms": _timed(lambda _: direct.reduce(state, report)),
        "listing_change_ms": _timed(lambda _: direct.reduce(state, changed)),
        "peer_report_bytes": len(encode_report(Report(in_flight, ()), 0)),
        "peer_report_retried_bytes": len(encode_report(_retried(in_flight), 0)),
        "peer_report_limited_bytes": len(
            encode_report(Report(in_flight, (), limits=limit_report(limited, 0)), 0)
        ),
    }


def _with_reported_paces(state: State, peers: int) -> State:
    """Return the state in which no pace is measured here, and each peer reports one."""
    paces = Map({"s": Map({"": PaceReport(0.3, 100.0)})})
    for peer in range(peers):
        report = PeerReported(0, f"peer-{peer}", Map(), paces=paces)
        state, _ = direct.reduce(state, report)
    return state


def _with_limits(state: State) -> State:
    """Return the state in which every third upstream names a limit."""
    for number, upstream in enumerate(state.upstreams.values()):
        if not number % 3:
            named = direct.UpstreamLimited(0, upstream, 1.0, 0)
            state, _ = direct.reduce(state, named)
    return state


def _retried(in_flight: Map[str, int]) -> Report:
    """Return a report with retries at two services and of an ended process."""
    retries = Map({"service-1": 40, "service-2": 40})
    ended = Map({2**32 - 2: EndedProcess("10.1.0.40", 0, retries)})
    spending = SpendingReport(2**32 - 1, True, retries, ended)
    return Report(in_flight, (), spending=spending)


def _state(count: int) -> State:
    route = Route(
        "r",
        "h",
        "/",
        RequestKind.IDEMPOTENT,
        8_000,
        400,
        1,
        (Target("s", 1),),
        gap_ms=120,
    )
    configuration = Configuration(
        1, (route,), Map({"s": Service("s", cold_per_s=28.0)}), RequestLimits(), None
    )
    state, _ = direct.reduce(
        State(Options("entry")), ConfigurationPublished(0, configuration)
    )
    upstreams = tuple(_upstream(number) for number in range(count))
    return direct.reduce(state, ListingRead(0, upstreams))[0]


def _upstream(number: int) -> Upstream:
    return Upstream(f"u{number}", "s", "127.0.0.1", 9_000, "a", slots=12)


def _serve(state: State, number: int) -> None:
    request = CallerRequest(number, f"r{number}", "h", "/x", None, None)
    state, _ = direct.reduce(state, RequestArrived(number, request))
    state, _ = direct.reduce(state, ResponseStarted(number, number))
    direct.reduce(state, RequestEnded(number, number, answered=True))


def _timed(call: Callable[[int], object]) -> float:
    started = time.process_time()
    for number in range(REQUESTS):
        call(number)
    return round((time.process_time() - started) / REQUESTS * 1_000, 4)


if __name__ == "__main__":
    raise SystemExit(defopt.run(main))
