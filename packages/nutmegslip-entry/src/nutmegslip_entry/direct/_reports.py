"""Encode and decode the reports that entries exchange.

Times travel as ages, since the clocks of two hosts count from different starts.
"""

import math
from collections.abc import Iterator
from itertools import zip_longest
from typing import NamedTuple

import cbor2
from immutables import Map

from nutmegslip_decisions.direct import (
    Blame,
    Crash,
    Demand,
    EndedProcess,
    Measure,
    NamedLimit,
    PaceReport,
    PaceReports,
    PartReport,
    SpendingReport,
    Standing,
)
from nutmegslip_decisions.model import Millis

_MEASURES = frozenset(Measure)


class ReportError(ValueError):
    """A datagram that is no report; look for another program that sends to the port."""


class Report(NamedTuple):
    """Requests in flight by upstream, known peers, and what the entry knows."""

    in_flight: Map[str, int]
    peers: tuple[str, ...]
    parts: PartReport = PartReport()
    standing: Standing = Standing()
    spending: SpendingReport = SpendingReport()
    limits: Map[str, NamedLimit] = Map()
    paces: PaceReports = Map()
    demand: Demand = Map()
    slow_ranks: Map[str, float] = Map()


def encode_report(report: Report, now_ms: Millis) -> bytes:
    """Return a report as one datagram."""
    parts = report.parts
    fields = [
        {
            part: [
                [now_ms - crash.sent_ms, now_ms - crash.ended_ms, *crash[2:4]]
                for crash in found
            ]
            for part, found in parts.crashes.items()
        },
        {part: now_ms - begun_ms for part, begun_ms in parts.begun.items()},
        sorted(parts.in_flight),
        {
            part: [now_ms - blame.since_ms, blame.probes, now_ms - blame.seen_ms]
            for part, blame in parts.blames.items()
        },
    ]
    encoded = [dict(report.in_flight), list(report.peers), list(report.standing)]
    spending = _encode_spending(report.spending, now_ms)
    limits = {
        upstream_id: [limit.born_ms, limit.per_s, now_ms - limit.named_ms]
        for upstream_id, limit in report.limits.items()
    }
    # Apart from the crashes, whose fields entries of an earlier build count.
    places = {
        part: [crash.place for crash in found] for part, found in parts.crashes.items()
    }
    paces = {
        service: {group: list(pace) for group, pace in groups.items()}
        for service, groups in report.paces.items()
    }
    ends = _encode_ends(parts, now_ms)
    later = [_encode_demand(report.demand), dict(report.slow_ranks), ends]
    while later and not later[-1]:
        later.pop()
    return cbor2.dumps([*encoded, fields, spending, limits, places, paces, *later])


def _encode_ends(parts: PartReport, now_ms: Millis) -> list[dict]:
    """Return which crashes only an ended answer disproves, and the ended answers."""
    phases = {
        part: [int(crash.needs_end) for crash in found]
        for part, found in parts.crashes.items()
        if any(crash.needs_end for crash in found)
    }
    ended = {part: now_ms - ended_ms for part, ended_ms in parts.ended.items()}
    return [phases, ended] if phases or ended else []


def _encode_demand(demand: Demand) -> dict[str, dict[str, dict[str, int]]]:
    """Return counts of demand by service, measure and name, in few bytes."""
    encoded: dict[str, dict[str, dict[str, int]]] = {}
    for (service, measure, name), count in demand.items():
        encoded.setdefault(service, {}).setdefault(str(measure), {})[name] = count
    return encoded


def _encode_spending(spending: SpendingReport, now_ms: Millis) -> list:
    ended = {
        process: [known.peer, now_ms - known.ended_ms, dict(known.retries)]
        for process, known in spending.ended.items()
    }
    return [spending.process, spending.is_complete, dict(spending.retries), ended]


def decode_report(data: bytes, now_ms: Millis) -> Report:
    """Return the report in a datagram; raise ReportError if there is none."""
    try:
        in_flight, peers, *more = cbor2.loads(data)
        leads, may_lead, fence = more[0] if more else Standing()
        return Report(
            Map({str(key): int(count) for key, count in in_flight.items()}),
            tuple(str(peer) for peer in peers),
            _decode_parts(
                *more[1],
                more[4] if more[4:] else {},
                more[8] if more[8:] else ({}, {}),
                now_ms,
            )
            if more[1:]
            else PartReport(),
            Standing(bool(leads), bool(may_lead), int(fence)),
            _decode_spending(*more[2], now_ms) if more[2:] else SpendingReport(),
            _decode_limits(more[3], now_ms) if more[3:] else Map(),
            _decode_paces(more[5]) if more[5:] else Map(),
            _decode_demand(more[6]) if more[6:] else Map(),
            _decode_slow_ranks(more[7]) if more[7:] else Map(),
        )
    except (
        cbor2.CBORDecodeError,
        AttributeError,
        LookupError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise ReportError(str(error)) from error


def _decode_parts(
    crashes: dict,
    begun: dict,
    in_flight: list,
    blames: dict,
    places: dict,
    ends: list[dict],
    now_ms: Millis,
) -> PartReport:
    phases, ended, *_ = ends
    return PartReport(
        Map(
            {
                str(part): tuple(
                    _decode_crashes(
                        found, places.get(part, []), phases.get(part, []), now_ms
                    )
                )
                for part, found in crashes.items()
            }
        ),
        Map({str(part): now_ms - int(age) for part, age in begun.items()}),
        frozenset(str(part) for part in in_flight),
        Map(
            {
                str(part): Blame(now_ms - int(since), int(probes), now_ms - int(seen))
                for part, (since, probes, seen) in blames.items()
            }
        ),
        Map({str(part): now_ms - int(age) for part, age in ended.items()}),
    )


def _decode_crashes(
    found: list, places: list, phases: list, now_ms: Millis
) -> Iterator[Crash]:
    fields = zip_longest(found, places, phases, fillvalue=0)
    for (sent, ended, *shares), place, needs_end in fields:
        crash = Crash(now_ms - int(sent), now_ms - int(ended), *map(float, shares))
        yield crash._replace(place=int(place), needs_end=bool(needs_end))


def _decode_spending(
    process: int, is_complete: bool, retries: dict, ended: dict, now_ms: Millis
) -> SpendingReport:
    return SpendingReport(
        int(process),
        bool(is_complete),
        _decode_retries(retries),
        Map(
            {
                int(known): EndedProcess(
                    str(peer), now_ms - int(ended_age_ms), _decode_retries(spent)
                )
                for known, (peer, ended_age_ms, spent) in ended.items()
            }
        ),
    )


def _decode_limits(limits: dict, now_ms: Millis) -> Map[str, NamedLimit]:
    return Map(
        {
            str(upstream_id): NamedLimit(
                int(born_ms),
                None if per_s is None else float(per_s),
                now_ms - int(age_ms),
            )
            for upstream_id, (born_ms, per_s, age_ms) in limits.items()
        }
    )


def _decode_paces(paces: dict) -> PaceReports:
    return Map(
        {
            str(service): Map(
                {
                    str(group): PaceReport(*map(_duration_ms, pace))
                    for group, pace in groups.items()
                }
            )
            for service, groups in paces.items()
        }
    )


def _decode_demand(demand: dict) -> Demand:
    """Return counts of demand without those that only a later build knows."""
    return Map(
        {
            (str(service), Measure(measure), str(name)): int(count)
            for service, measures in demand.items()
            for measure, counts in measures.items()
            if measure in _MEASURES
            for name, count in counts.items()
        }
    )


def _decode_slow_ranks(slow_ranks: dict) -> Map[str, float]:
    found = {str(rank): float(slowness) for rank, slowness in slow_ranks.items()}
    if not all(math.isfinite(slowness) for slowness in found.values()):
        raise ValueError("the slowness of a rank is no number")
    return Map(found)


def _duration_ms(value: float) -> float:
    if not (math.isfinite(value) and value >= 0):
        raise ValueError(f"{value} is no duration in ms")
    return float(value)


def _decode_retries(retries: dict) -> Map[str, int]:
    return Map({str(service): int(count) for service, count in retries.items()})
