"""Withhold requests that crash each upstream, by a part of their prompt or as a whole.

Answers the load pattern in which requests with one common prompt part arrive at any
entry, and each upstream that begins to answer one crashes and takes its group along;
and the one in which the same request, by path, caller and body, comes again and again.
A whole request is one more subject of the same evidence, beside the parts.
Sent again elsewhere, each of them takes out two groups. After two crashes in sequence
requests with the part are sent once and one at a time, after three they are refused.
Two probes then find out whether the part still crashes upstreams; the entries take
turns at them. The crash may come at any moment from the connect to the last byte.
"""

from collections.abc import Iterable
from enum import Enum, auto
from itertools import chain

import xxhash
from immutables import Map

from nutmegslip_decisions.direct._budget import load_of
from nutmegslip_decisions.direct._part_evidence import (
    CONFIRM_MS,
    REQUESTS_PER_CRASH,
    SAME_CRASH_MS,
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
    with_end_outcome,
    with_inherited,
    with_outcome,
    with_unconfirmed,
    without_disproved,
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
    suspected = {
        part
        for part in request.subjects
        if evidence.counts.get(part, 0) >= _crashes_to_hold(evidence, request, part)
    }
    in_flight = _parts_in_flight(state, now_ms) if suspected or blamed else frozenset()
    return Gate.HELD if in_flight & (suspected | set(blamed)) else Gate.OPEN


def _crashes_to_hold(evidence: PartEvidence, request: Request, part: str) -> int:
    """Return how many crashes of a part make the request wait for others with it.

    A request that has met a crash itself is likelier to be its cause. But a part that
    only an ended answer acquits would hold it for as long as answers take.
    """
    is_late = part in evidence.late and part in request.parts
    return 1 if request.met_crash and not is_late else SUSPECT_CRASHES


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
    """Count an attempt whose upstream closed the connection before the answer ended."""
    outcome = Outcome(True, request.parts, request.upstream, now_ms)
    with_crash_outcome = with_end_outcome if request.begun else with_outcome
    evidence = with_crash_outcome(state.parts, request.service, outcome)
    if request.fingerprint:
        subject = request.subjects[-1]
        crash = Crash(
            request.sent_at_ms,
            now_ms,
            evidence.share(subject),
            place=_place(state, request),
            needs_end=True,
        )
        broken = UnconfirmedCrash(subject, crash)
        evidence = with_unconfirmed(evidence, request.upstream, broken)
    state = state._replace(parts=evidence)
    answered_ms = load_of(state, request.service).answered_ms
    if answered_ms + SERVICE_ANSWERS_MS < now_ms:
        return state
    return _with_crashed_parts(state, request, now_ms)


def _with_crashed_parts(state: State, request: Request, now_ms: Millis) -> State:
    """Count a crash of the shared parts, or keep it until its upstream is gone."""
    evidence = state.parts
    lasted_ms = now_ms - request.sent_at_ms
    # Earlier no answer begins: the host or a limit may have closed the connection.
    is_early = lasted_ms < MIN_START_SHARE * request.route.objective_ms
    for part in request.parts:
        failing = evidence.failing(request.service, part, begun=request.begun)
        if failing > MAX_FAILING_SHARE:
            continue
        share = evidence.share(part)
        if request.begun:
            in_flight = state.stats_of(request.upstream).in_flight + 1
            share *= max(in_flight / REQUESTS_PER_CRASH, 1.0)
        crash = Crash(
            request.sent_at_ms, now_ms, share, failing, needs_end=request.begun
        )
        if is_early or request.begun:
            broken = UnconfirmedCrash(part, crash, holds=False)
            evidence = with_unconfirmed(evidence, request.upstream, broken)
        else:
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
    for subject, crash, _ in recent:
        evidence = with_crash(evidence, subject, crash)
    subjects = [found.subject for found in recent]
    return _with_counts(state._replace(parts=evidence), subjects, now_ms)


def with_begun_answer(state: State, request: Request, now_ms: Millis) -> State:
    """Acquit the parts of a request of crashes before an answer begins."""
    outcome = Outcome(False, request.parts)
    evidence = with_outcome(state.parts, request.service, outcome)
    recent, begun = _with_times(
        evidence, (evidence.recent, evidence.begun), request, now_ms
    )
    changed = begun is not evidence.begun
    state = state._replace(parts=evidence._replace(recent=recent, begun=begun))
    return _with_counts(state, request.subjects, now_ms) if changed else state


def with_ended_answer(state: State, request: Request, now_ms: Millis) -> State:
    """Acquit the subjects of a request whose answer has ended."""
    outcome = Outcome(False, request.parts)
    evidence = with_end_outcome(state.parts, request.service, outcome)
    recent, ended = _with_times(
        evidence, (evidence.recent_ends, evidence.ended), request, now_ms
    )
    changed = ended is not evidence.ended
    state = state._replace(parts=evidence._replace(recent_ends=recent, ended=ended))
    return _with_counts(state, request.subjects, now_ms) if changed else state


def _with_times(
    evidence: PartEvidence,
    times: tuple[Map[str, Millis], Map[str, Millis]],
    request: Request,
    now_ms: Millis,
) -> tuple[Map[str, Millis], Map[str, Millis]]:
    """Return the latest times of all subjects, and those of suspected ones."""
    recent, suspected = times
    known = evidence.counts, evidence.blames, evidence.crashes
    for part in request.subjects:
        recent = recent.set(part, now_ms)
        if any(part in found for found in known):
            suspected = suspected.set(part, now_ms)
    return recent, suspected


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
    changed = {*old.crashes, *new.crashes, *new.begun, *new.ended, *new.blames}
    if not changed:
        return state
    evidence = state.parts
    blames = evidence.blames
    for part, blame in new.blames.items():
        blames = blames.set(part, merged_blame(blames.get(part), blame))
    evidence = evidence._replace(
        begun=_latest(evidence.begun, new.begun),
        ended=_latest(evidence.ended, new.ended),
        blames=blames,
    )
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
        most_recent(evidence.ended),
    )


def _latest(known: Map[str, Millis], reported: Map[str, Millis]) -> Map[str, Millis]:
    """Return the later one of the times of each part."""
    for part, at_ms in reported.items():
        known = known.set(part, max(known.get(part, at_ms), at_ms))
    return known


def _with_counts(state: State, parts: Iterable[str], now_ms: Millis) -> State:
    """Count the crashes of some parts again, and blame or acquit them.

    The rarest part comes first: it is the likeliest cause, and its blame explains the
    crashes of the other parts that were there.
    """
    evidence = state.parts
    counts, blames, late = evidence.counts, evidence.blames, evidence.late
    found = {part: _crashes_of(state, part) for part in {*parts, *blames}}
    for part in sorted(found, key=lambda part: (evidence.share(part), part)):
        begun_ms, ended_ms = evidence.begun.get(part), evidence.ended.get(part)
        crashes = found[part]
        if any(crash.needs_end for crash in crashes):
            begun_ms = None  # its answers begin, and still crash upstreams
        evidence = without_disproved(evidence, part, ended_ms)
        blame = blames.get(part)
        if blame is not None:
            shown_ms = max(begun_ms or 0, ended_ms or 0)
            if shown_ms >= blame.since_ms or _is_bystander(found, part, blames):
                blames = blames.delete(part)
        else:
            crashes = _without_explained(crashes, [found[other] for other in blames])
        counted = crashes_in_sequence(crashes, begun_ms, ended_ms)
        counts = counts.set(part, len(counted)) if counted else _without(counts, part)
        is_late = any(crash.needs_end for crash in counted)
        late = late | {part} if is_late else late - {part}
        if blame is None and _is_blamed(counted):
            blames = blames.set(part, Blame(counted[-1].ended_ms, 0, now_ms))
    evidence = evidence._replace(counts=counts, blames=blames, late=late)
    return state._replace(parts=evidence)


def _is_bystander(
    found: dict[str, tuple[Crash, ...]], part: str, blames: Map[str, Blame]
) -> bool:
    """Return whether other blamed parts explain a part's crashes, and have more."""
    others = [found[other] for other in blames if other != part]
    if not found[part] or _without_explained(found[part], others):
        return False
    return any(_without_explained(crashes, [found[part]]) for crashes in others)


def _without_explained(
    crashes: tuple[Crash, ...], explained: list[tuple[Crash, ...]]
) -> tuple[Crash, ...]:
    """Return the crashes that ended apart from all crashes that explain them."""
    ended_ms = [crash.ended_ms for known in explained for crash in known]
    return tuple(
        crash
        for crash in crashes
        if all(abs(crash.ended_ms - at_ms) > SAME_CRASH_MS for at_ms in ended_ms)
    )


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
        broken.subject
        for found in state.parts.unconfirmed.values()
        for broken in found
        if broken.holds
    )
    in_flight = (
        subject
        for request in state.requests.values()
        if request.upstream
        for subject in request.subjects
    )
    return frozenset(chain(in_flight, unconfirmed))
