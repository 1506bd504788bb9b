"""Withhold requests that crash each upstream, by a part of their prompt or as a whole.

Answers the load pattern in which requests with one common prompt part arrive at any
entry, and each upstream that begins to answer one crashes and takes its group along;
and the one in which the same request, by path, caller and body, comes again and again.
A whole request is one more subject of the same evidence, beside the parts.
Sent again elsewhere, each of them takes out two groups. After two crashes in sequence
requests with the part are sent once and one at a time, after three they are refused.
Two probes then find out whether the part still crashes upstreams; the entries take
turns at them.
"""

from collections.abc import Iterable
from enum import Enum, auto
from itertools import chain

import xxhash
from immutables import Map

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._part_evidence import (
    CONFIRM_MS,
    Blame,
    Crash,
    Outcome,
    PartEvidence,
    PartReport,
    UnconfirmedCrash,
    chance_of,
    crashes_in_sequence,
    failing_chance,
    merged_blame,
    most_recent,
    urgency,
    with_arrival,
    with_crash,
    with_inherited,
    with_outcome,
    with_unconfirmed,
    without_expired,
)
from nutmegslip_decisions.direct._peers import STALE_AFTER_MS, fresh_peers
from nutmegslip_decisions.direct._state import State
from nutmegslip_decisions.direct._types import Request
from nutmegslip_decisions.model import Millis

SUSPECT_CRASHES = 2  # in sequence; one crash is most often the host's own
BLAME_CRASHES = 3
MAX_CHANCE = 0.1  # that an innocent part was in all of the crashes
MAX_FAILING_CHANCE = 0.005  # many parts are compared at a time
MAX_FAILING_SHARE = 0.5  # above it the upstreams fail, whatever the request holds
MIN_START_SHARE = 0.1  # of the objective; no answer begins earlier
SERVICE_ANSWERS_MS = 10_000  # without any begun answer the service itself is away
PROBE_DELAYS_MS = (10_000, 60_000)  # from the blame on; each probe may cost a group
PROBE_TURN_MS = 1_000  # an entry's turn; its report of a probe arrives well within it


class Gate(Enum):
    """Whether a request may be sent, as far as its prompt parts decide."""

    OPEN = auto()
    HELD = auto()
    CLOSED = auto()


def part_gate(state: State, request: Request, now_ms: Millis) -> Gate:
    """Return whether a request may be sent now."""
    evidence = state.parts
    if not request.subjects or not (evidence.counts or evidence.blames):
        return Gate.OPEN
    blamed = [part for part in request.subjects if part in evidence.blames]
    if not all(_is_probe_due(state, part, now_ms) for part in blamed):
        return Gate.CLOSED
    # A request that has met a crash itself is likelier to be its cause.
    limit = 1 if request.met_crash else SUSPECT_CRASHES
    suspected = {p for p in request.subjects if evidence.counts.get(p, 0) >= limit}
    in_flight = _parts_in_flight(state, now_ms) if suspected or blamed else frozenset()
    return Gate.HELD if in_flight & (suspected | set(blamed)) else Gate.OPEN


def blame_delay_ms(state: State, request: Request, now_ms: Millis) -> int:
    """Return the time after which a probe may have ended the blame of a request."""
    blames = [
        state.parts.blames[p] for p in request.subjects if p in state.parts.blames
    ]
    due_ms = [blame.since_ms + _probe_delay_ms(blame) for blame in blames]
    return max(max(due_ms, default=now_ms) - now_ms, PROBE_TURN_MS)


def is_suspected(state: State, request: Request) -> bool:
    """Return whether a crash that the request has met is likely its own doing."""
    counts = state.parts.counts
    return any(counts.get(part, 0) >= SUSPECT_CRASHES for part in request.subjects)


def with_crashed_attempt(state: State, request: Request, now_ms: Millis) -> State:
    """Count an attempt whose upstream crashed before the answer began."""
    outcome = Outcome(True, request.parts)
    evidence = with_outcome(state.parts, request.service, outcome)
    if request.fingerprint:
        share = evidence.share(request.subjects[-1])
        place = _place(state, request)
        crash = Crash(request.sent_at_ms, now_ms, share, 0.0, place)
        broken = UnconfirmedCrash(request.subjects[-1], crash)
        evidence = with_unconfirmed(evidence, request.upstream, broken)
    state = state._replace(parts=evidence)
    lasted_ms = now_ms - request.sent_at_ms
    if lasted_ms < MIN_START_SHARE * request.route.objective_ms:
        return state  # too early for an answer to begin: the host or a limit closed it
    answered_ms = load_of(state, request.service).answered_ms
    if not request.parts or answered_ms + SERVICE_ANSWERS_MS < now_ms:
        return state
    for part in request.parts:
        failing = evidence.failing(request.service, part)
        if failing > MAX_FAILING_SHARE:
            continue
        crash = Crash(request.sent_at_ms, now_ms, evidence.share(part), failing)
        evidence = with_crash(evidence, part, crash)
    return _with_counts(state._replace(parts=evidence), request.parts, now_ms)


def _place(state: State, request: Request) -> int:
    """Return a number for the upstreams that fail together with the request's own."""
    upstream = state.upstreams.get(request.upstream)
    group = upstream.group if upstream else ""
    return xxhash.xxh3_64_intdigest((group or request.upstream).encode())


def with_upstream_gone(state: State, upstream_id: str, now_ms: Millis) -> State:
    """Count the broken attempts at an upstream that is not there any more."""
    evidence = state.parts
    broken = evidence.unconfirmed.get(upstream_id)
    if not broken:
        return state
    evidence = evidence._replace(unconfirmed=evidence.unconfirmed.delete(upstream_id))
    recent = [b for b in broken if b.crash.ended_ms + CONFIRM_MS > now_ms]
    for subject, crash in recent:
        evidence = with_crash(evidence, subject, crash)
    subjects = [found.subject for found in recent]
    return _with_counts(state._replace(parts=evidence), subjects, now_ms)


def with_begun_answer(state: State, request: Request, now_ms: Millis) -> State:
    """Acquit the parts of a request whose answer has begun."""
    outcome = Outcome(False, request.parts)
    evidence = with_outcome(state.parts, request.service, outcome)
    if not request.subjects:
        return state._replace(parts=evidence)
    recent, begun = evidence.recent, evidence.begun
    for part in request.subjects:
        recent = recent.set(part, now_ms)
        if part in evidence.counts or part in evidence.blames:
            begun = begun.set(part, now_ms)
    evidence = evidence._replace(recent=recent, begun=begun)
    if begun is state.parts.begun:
        return state._replace(parts=evidence)
    return _with_counts(state._replace(parts=evidence), request.subjects, now_ms)


def with_probe(state: State, request: Request) -> State:
    """Count a request that is sent although a part of it is blamed."""
    blames = state.parts.blames
    for part in request.subjects:
        if part in blames:
            blame = blames[part]
            blames = blames.set(part, blame._replace(probes=blame.probes + 1))
    return state._replace(parts=state.parts._replace(blames=blames))


def with_arrived_parts(state: State, request: Request, now_ms: Millis) -> State:
    """Count the parts of a request; a blame lasts for as long as its part arrives."""
    if not request.subjects:
        return state
    blames = state.parts.blames
    for part in request.subjects:
        if part in blames:
            blames = blames.set(part, blames[part]._replace(seen_ms=now_ms))
    evidence = with_arrival(state.parts._replace(blames=blames), request.subjects)
    return state._replace(parts=evidence)


def with_part_report(
    state: State, old: PartReport, new: PartReport, now_ms: Millis
) -> State:
    """Take over what a peer reports; it is already stored with the peer."""
    changed = {*old.crashes, *new.crashes, *new.begun, *new.blames}
    if not changed:
        return state
    evidence = state.parts
    begun, blames = evidence.begun, evidence.blames
    for part, begun_ms in new.begun.items():
        begun = begun.set(part, max(begun.get(part, begun_ms), begun_ms))
    for part, blame in new.blames.items():
        blames = blames.set(part, merged_blame(blames.get(part), blame))
    evidence = evidence._replace(begun=begun, blames=blames)
    forgotten = [part for part in old.crashes if part not in new.crashes]
    if forgotten:
        lost = Map({part: old.crashes[part] for part in forgotten})
        evidence = with_inherited(evidence, lost)
    return _with_counts(state._replace(parts=evidence), changed, now_ms)


def without_expired_parts(state: State, now_ms: Millis) -> State:
    """Forget what is known of parts that have not been seen for long."""
    if state.parts == PartEvidence():
        return state
    before = state.parts
    state = state._replace(parts=without_expired(before, now_ms))
    if before.halve_ms == state.parts.halve_ms:
        return state  # counts of crashes that peers no longer report can wait
    return _with_counts(state, tuple(state.parts.counts), now_ms)


def part_report(state: State) -> PartReport:
    """Return what this entry reports of prompt parts."""
    evidence = state.parts
    suspected = frozenset(evidence.counts) | frozenset(evidence.blames)
    in_flight = _own_parts_in_flight(state) & suspected if suspected else frozenset()
    return PartReport(
        most_recent(evidence.crashes, urgency),
        most_recent(evidence.begun),
        in_flight,
        most_recent(evidence.blames, lambda blame: blame.seen_ms),
    )


def _with_counts(state: State, parts: Iterable[str], now_ms: Millis) -> State:
    """Count the crashes of some parts again, and blame or acquit them."""
    evidence = state.parts
    counts, blames = evidence.counts, evidence.blames
    for part in parts:
        begun_ms = evidence.begun.get(part)
        counted = crashes_in_sequence(_crashes_of(state, part), begun_ms)
        counts = counts.set(part, len(counted)) if counted else _without(counts, part)
        blame = blames.get(part)
        if blame is not None and begun_ms is not None and begun_ms >= blame.since_ms:
            blames = blames.delete(part)
        elif blame is None and _is_blamed(counted):
            blames = blames.set(part, Blame(counted[-1].ended_ms, 0, now_ms))
    return state._replace(parts=evidence._replace(counts=counts, blames=blames))


def _is_blamed(counted: tuple[Crash, ...]) -> bool:
    return (
        len(counted) >= BLAME_CRASHES
        and chance_of(counted) <= MAX_CHANCE
        and failing_chance(counted) <= MAX_FAILING_CHANCE
    )


def _without(found: Map, key: str) -> Map:
    return found.delete(key) if key in found else found


def _crashes_of(state: State, part: str) -> tuple[Crash, ...]:
    reports = (peer.parts.crashes.get(part, ()) for peer in state.peers.values())
    own = state.parts.crashes.get(part, ())
    inherited = state.parts.inherited.get(part, ())
    return (*own, *inherited, *(crash for crashes in reports for crash in crashes))


def _is_probe_due(state: State, part: str, now_ms: Millis) -> bool:
    blame = state.parts.blames[part]
    if blame.probes >= len(PROBE_DELAYS_MS):
        return False
    since_due_ms = now_ms - blame.since_ms - _probe_delay_ms(blame)
    if since_due_ms < 0:
        return False
    entries = sorted(
        {state.options.address, *fresh_peers(state, now_ms, STALE_AFTER_MS)}
    )
    turn = int(since_due_ms / PROBE_TURN_MS) % len(entries)
    return entries[turn] == state.options.address


def _probe_delay_ms(blame: Blame) -> int:
    return PROBE_DELAYS_MS[min(blame.probes, len(PROBE_DELAYS_MS) - 1)]


def _parts_in_flight(state: State, now_ms: Millis) -> frozenset[str]:
    peers = fresh_peers(state, now_ms, STALE_AFTER_MS)
    reports = (state.peers[peer].parts for peer in peers)
    return _own_parts_in_flight(state).union(*(r.in_flight for r in reports))


def _own_parts_in_flight(state: State) -> frozenset[str]:
    """Return the subjects of requests in flight, or not known to have crashed yet."""
    unconfirmed = (
        broken.subject for found in state.parts.unconfirmed.values() for broken in found
    )
    in_flight = (
        subject
        for request in state.requests.values()
        if request.upstream
        for subject in request.subjects
    )
    return frozenset(chain(in_flight, unconfirmed))
