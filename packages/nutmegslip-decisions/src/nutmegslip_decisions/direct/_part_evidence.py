"""Evidence on prompt parts: crashes of attempts, and answers that came further.

A crash is an attempt whose upstream closed the connection before its answer ended.
Faults of hosts cause crashes too, in numbers and together, so crashes of a part count
only in sequence: each sent after the one before had ended, and no answer with the part
came further in between, at any entry. After a crash before the answer began, that is an
answer that began; after a crash at any later moment, only one that ended. An innocent
part fails this test with one of its answers; a part that crashes upstreams never does.

An answer also breaks off without a crash. So a crash before any answer can begin, or
after it began, counts only once its upstream is found to be gone.

A part that many requests have is in many crashes by chance, beside the one that caused
them. So each crash also has the share of requests with the part, and the part is only
blamed if its presence in all of them is unlikely to be chance. While upstreams fail on
any request, some part is in every crash of its own few requests, so a crash also has
the share of other attempts that failed lately.

A whole request that comes again is known by its fingerprint, and most requests come
once. So its broken attempts count only once their upstream is found to be gone, also
two at the same time if at upstreams that do not fail together; whatever else fails.
Only an answer that ended shows it innocent.
"""

from collections.abc import Callable
from math import prod
from typing import Any, NamedTuple

from immutables import Map

from nutmegslip_decisions.model import Millis

CONFIRM_MS = 5_000  # in which an upstream that ended is found to be gone
MAX_UNCONFIRMED = 128  # crashes of an upstream
INNOCENT_MS = 2_000  # after an answer with the part that shows it innocent
CRASH_MEMORY_MS = 600_000
BEGUN_MEMORY_MS = 30_000  # in which each peer is reached, also one that was cut off
MAX_CRASHES_PER_PART = 8  # a part of many requests is shown to be the cause by more
MAX_OUTCOMES = 20  # the last attempts, by which the share of failing ones is measured
MAX_PARTS = 256  # with crashes; those with the most, then the latest, are kept
MAX_REPORTED_PARTS = 16  # keeps a report within one datagram
MAX_COUNTED_PARTS = 4_096
HALVING_MS = 5_000  # of the counts of arrivals
SAME_CRASH_MS = 50  # in which entries see the connections of one upstream close
REQUESTS_PER_CRASH = 2  # without a begun answer at an upstream, usually


class Crash(NamedTuple):
    """When a crashed attempt was sent, and when it ended.

    ``share`` is the share of the entry's requests that had the part, ``failing`` the
    share of its last attempts without the part that crashed. ``place`` differs between
    upstreams that do not fail together, 0 if unknown. ``needs_end`` is whether only an
    answer that ended shows the part innocent.
    """

    sent_ms: Millis
    ended_ms: Millis
    share: float = 0.0
    failing: float = 0.0
    place: int = 0
    needs_end: bool = False


class Outcome(NamedTuple):
    """Whether an attempt crashed, and the parts it had.

    Attempts that broke off at one upstream at one moment are one outcome.
    """

    crashed: bool
    parts: tuple[str, ...]
    upstream: str = ""
    ended_ms: Millis = 0


class UnconfirmedCrash(NamedTuple):
    """A broken attempt that counts as a crash if its upstream turns out to be gone.

    ``holds`` is whether it is taken to be in flight until then.
    """

    subject: str
    crash: Crash
    holds: bool = True


class Blame(NamedTuple):
    """A part that crashes upstreams.

    ``probes`` counts the requests that were sent since to see whether it still does;
    ``seen_ms`` is when a request with it last arrived.
    """

    since_ms: Millis
    probes: int
    seen_ms: Millis


class PartReport(NamedTuple):
    """What an entry reports of prompt parts.

    ``crashes`` are its own. ``begun`` and ``ended`` are when an answer with a suspected
    part last began and ended, at any entry. ``in_flight`` are the suspected parts of
    its requests.
    """

    crashes: Map[str, tuple[Crash, ...]] = Map()
    begun: Map[str, Millis] = Map()
    in_flight: frozenset[str] = frozenset()
    blames: Map[str, Blame] = Map()
    ended: Map[str, Millis] = Map()


class PartEvidence(NamedTuple):
    """What this entry knows about prompt parts.

    ``outcomes`` are whether attempts crashed before their answer began, by service, and
    ``end_outcomes`` whether those whose answer had begun crashed before it ended.
    ``crashes`` are its own; ``recent`` and ``recent_ends`` are when an answer with a
    part last began and ended here. ``begun`` and ``ended`` are when one with a
    suspected part last did so at any entry. ``counts`` are the
    crashes in sequence over all entries, for the parts that have any. ``arrived``
    and ``total`` count the requests that arrived here, halved at ``halve_ms``.
    ``late`` are the parts with crashes after an answer had begun.
    ``unconfirmed`` are broken attempts by upstream, until it is found to be gone or
    not. ``inherited``
    are crashes of processes of other entries that no longer report them.
    """

    crashes: Map[str, tuple[Crash, ...]] = Map()
    recent: Map[str, Millis] = Map()
    begun: Map[str, Millis] = Map()
    counts: Map[str, int] = Map()
    blames: Map[str, Blame] = Map()
    arrived: Map[str, float] = Map()
    total: float = 0.0
    halve_ms: Millis = 0
    outcomes: Map[str, tuple[Outcome, ...]] = Map()
    unconfirmed: Map[str, tuple[UnconfirmedCrash, ...]] = Map()
    inherited: Map[str, tuple[Crash, ...]] = Map()
    recent_ends: Map[str, Millis] = Map()
    ended: Map[str, Millis] = Map()
    end_outcomes: Map[str, tuple[Outcome, ...]] = Map()
    late: frozenset[str] = frozenset()

    def share(self, part: str) -> float:
        """Return the share of requests with a part; high while few have arrived."""
        return self.arrived.get(part, 0.0) / (self.total + 1)

    def failing(self, service: str, part: str, *, begun: bool = False) -> float:
        """Return the share of attempts without a part that crash; a half if unknown.

        That is before the answer begins, or of those that have ``begun``.
        """
        outcomes = self.end_outcomes if begun else self.outcomes
        others = [
            outcome.crashed
            for outcome in outcomes.get(service, ())
            if part not in outcome.parts
        ]
        return (sum(others) + 1) / (len(others) + 2)


def crashes_in_sequence(
    crashes: tuple[Crash, ...],
    begun_ms: Millis | None,
    ended_ms: Millis | None = None,
) -> tuple[Crash, ...]:
    """Return the crashes that count: none overlaps another one at the same place.

    ``begun_ms`` and ``ended_ms`` are when an answer last began and ended. Crashes
    before what shows them to be another's doing, or shortly after it, do not count.
    """
    counted: list[Crash] = []
    for crash in sorted(crashes, key=lambda crash: crash.ended_ms):
        if _is_disproved(crash, begun_ms, ended_ms):
            continue
        if not any(_is_same_fault(crash, earlier) for earlier in counted):
            counted.append(crash)
    return tuple(counted)


def _is_disproved(
    crash: Crash, begun_ms: Millis | None, ended_ms: Millis | None
) -> bool:
    shown_ms = (ended_ms,) if crash.needs_end else (begun_ms, ended_ms)
    return any(at is not None and crash.ended_ms <= at + INNOCENT_MS for at in shown_ms)


def _is_same_fault(crash: Crash, earlier: Crash) -> bool:
    known = crash.place and earlier.place
    return crash.sent_ms < earlier.ended_ms and not (
        known and crash.place != earlier.place
    )


def chance_of(crashes: tuple[Crash, ...]) -> float:
    """Return how likely an innocent part is in all of these crashes."""
    return prod(min(REQUESTS_PER_CRASH * crash.share, 1.0) for crash in crashes)


def failing_chance(crashes: tuple[Crash, ...]) -> float:
    """Return how likely these attempts crash by what crashes the others as well."""
    return prod(crash.failing for crash in crashes)


def with_outcome(
    evidence: PartEvidence, service: str, outcome: Outcome
) -> PartEvidence:
    """Keep the outcome of one more attempt at a service."""
    kept = (*evidence.outcomes.get(service, ()), outcome)[-MAX_OUTCOMES:]
    return evidence._replace(outcomes=evidence.outcomes.set(service, kept))


def with_end_outcome(
    evidence: PartEvidence, service: str, outcome: Outcome
) -> PartEvidence:
    """Keep the outcome of one more attempt whose answer had begun."""
    known = evidence.end_outcomes.get(service, ())
    if outcome.crashed and known and _are_one_crash(known[-1], outcome):
        parts = tuple({*known[-1].parts, *outcome.parts})
        known, outcome = known[:-1], outcome._replace(parts=parts)
    kept = (*known, outcome)[-MAX_OUTCOMES:]
    return evidence._replace(end_outcomes=evidence.end_outcomes.set(service, kept))


def _are_one_crash(earlier: Outcome, later: Outcome) -> bool:
    return (
        earlier.crashed
        and earlier.upstream == later.upstream
        and later.ended_ms - earlier.ended_ms <= SAME_CRASH_MS
    )


def with_arrival(evidence: PartEvidence, parts: tuple[str, ...]) -> PartEvidence:
    """Count a request that arrived."""
    arrived = evidence.arrived
    for part in parts:
        if part in arrived or len(arrived) < MAX_COUNTED_PARTS:
            arrived = arrived.set(part, arrived.get(part, 0.0) + 1)
    return evidence._replace(arrived=arrived, total=evidence.total + 1)


def with_unconfirmed(
    evidence: PartEvidence, upstream_id: str, found: UnconfirmedCrash
) -> PartEvidence:
    """Keep a broken attempt until it is known whether its upstream is gone."""
    kept = (*evidence.unconfirmed.get(upstream_id, ()), found)[-MAX_UNCONFIRMED:]
    unconfirmed = evidence.unconfirmed.set(upstream_id, kept)
    return evidence._replace(unconfirmed=unconfirmed)


def merged_blame(old: Blame | None, new: Blame) -> Blame:
    """Return what two entries know of the same blame."""
    if old is None:
        return new
    return Blame(
        min(old.since_ms, new.since_ms),
        max(old.probes, new.probes),
        max(old.seen_ms, new.seen_ms),
    )


def with_crash(evidence: PartEvidence, part: str, crash: Crash) -> PartEvidence:
    """Keep one more crash of a part, unless an answer just before disproves it."""
    known = evidence.crashes.get(part, ())
    needs_end = any(earlier.needs_end for earlier in known)
    begun_ms = None if needs_end else evidence.recent.get(part)
    if _is_disproved(crash, begun_ms, evidence.recent_ends.get(part)):
        return evidence
    kept = (*known, crash)[-MAX_CRASHES_PER_PART:]
    crashes = _bounded(evidence.crashes.set(part, kept))
    return evidence._replace(crashes=crashes)


def with_inherited(
    evidence: PartEvidence, crashes: Map[str, tuple[Crash, ...]]
) -> PartEvidence:
    """Keep the crashes that a process reported last; it may have ended.

    If it reports them again they do no harm: a crash counts once.
    """
    inherited = evidence.inherited
    for part, found in crashes.items():
        kept = (*inherited.get(part, ()), *found)[-MAX_CRASHES_PER_PART:]
        inherited = _bounded(inherited.set(part, kept))
    return evidence._replace(inherited=inherited)


def without_disproved(
    evidence: PartEvidence, part: str, ended_ms: Millis | None
) -> PartEvidence:
    """Forget crashes of a part that an ended answer has shown to be another's doing.

    They are remembered longer than the answers, so they would count again.
    """

    def kept(crashes: Map[str, tuple[Crash, ...]]) -> Map[str, tuple[Crash, ...]]:
        known = crashes.get(part, ())
        left = tuple(c for c in known if not _is_disproved(c, None, ended_ms))
        if len(left) == len(known):
            return crashes
        return crashes.set(part, left) if left else crashes.delete(part)

    return evidence._replace(
        crashes=kept(evidence.crashes), inherited=kept(evidence.inherited)
    )


def _bounded(crashes: Map[str, tuple[Crash, ...]]) -> Map[str, tuple[Crash, ...]]:
    if len(crashes) <= MAX_PARTS:
        return crashes
    return crashes.delete(min(crashes, key=lambda part: urgency(crashes[part])))


def without_expired(evidence: PartEvidence, now_ms: Millis) -> PartEvidence:
    """Forget crashes, begun answers and arrivals that no longer matter."""
    if now_ms >= evidence.halve_ms:
        halves = Map({p: n / 2 for p, n in evidence.arrived.items() if n >= 1})
        evidence = evidence._replace(
            arrived=halves, total=evidence.total / 2, halve_ms=now_ms + HALVING_MS
        )
    return evidence._replace(
        crashes=_newer(
            evidence.crashes, now_ms - CRASH_MEMORY_MS, lambda found: found[-1].ended_ms
        ),
        inherited=_newer(
            evidence.inherited,
            now_ms - CRASH_MEMORY_MS,
            lambda found: found[-1].ended_ms,
        ),
        recent=_newer(evidence.recent, now_ms - INNOCENT_MS),
        recent_ends=_newer(evidence.recent_ends, now_ms - INNOCENT_MS),
        begun=_newer(evidence.begun, now_ms - BEGUN_MEMORY_MS),
        ended=_newer(evidence.ended, now_ms - BEGUN_MEMORY_MS),
        blames=_newer(
            evidence.blames, now_ms - CRASH_MEMORY_MS, lambda blame: blame.seen_ms
        ),
        unconfirmed=_newer(
            evidence.unconfirmed,
            now_ms - CONFIRM_MS,
            lambda found: found[-1].crash.ended_ms,
        ),
    )


def urgency(crashes: tuple[Crash, ...]) -> tuple[int, Millis]:
    """Return the order in which crashes are kept; one alone is most often chance."""
    return len(crashes), crashes[-1].ended_ms


def most_recent(
    found: Map[str, Any], at_ms: Callable[[Any], Any] = lambda value: value
) -> Map[str, Any]:
    """Return the entries with the latest times, as many as a report may hold."""
    if len(found) <= MAX_REPORTED_PARTS:
        return found
    latest = sorted(found.items(), key=lambda item: at_ms(item[1]), reverse=True)
    return Map(latest[:MAX_REPORTED_PARTS])


def _newer(
    found: Map[str, Any],
    oldest_ms: Millis,
    at_ms: Callable[[Any], Millis] = lambda value: value,
) -> Map[str, Any]:
    """Return the entries whose time is not before ``oldest_ms``."""
    expired = [key for key, value in found.items() if at_ms(value) < oldest_ms]
    for key in expired:
        found = found.delete(key)
    return found
