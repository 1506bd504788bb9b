"""Derive log lines from an event, the states before and after it, and its effects."""

from collections.abc import Iterator
from typing import NamedTuple

from nutmegslip_decisions.direct import (
    SUSPECT_CRASHES,
    AttemptFailed,
    Broken,
    CancelAttempt,
    ConfigurationPublished,
    Declined,
    DeliverFailure,
    Effect,
    Errored,
    Event,
    Failure,
    Hedge,
    HedgeDue,
    ListingRead,
    Moved,
    NotSent,
    PaceMeasured,
    Refuse,
    Request,
    RequestArrived,
    RequestEnded,
    ResponseStarted,
    Send,
    State,
    StoreLost,
    StoreReached,
    StoreRestored,
    UpstreamLeaving,
    UpstreamLimited,
    UpstreamPaused,
    UpstreamPublished,
    UpstreamRemoved,
    Withheld,
    ZonesOut,
    attempt_at,
    hedge_choice,
    hedge_limit,
    open_share,
    retry_budget,
)

FieldValue = str | int | float | bool


class LogLine(NamedTuple):
    """One log line before it is written."""

    name: str
    request: str
    fields: dict[str, FieldValue]


def log_lines(
    event: Event, before: State, after: State, effects: tuple[Effect, ...]
) -> Iterator[LogLine]:
    """Yield a line for each state change and each decision."""
    match event:
        case ConfigurationPublished(_, configuration):
            if after.configuration is not before.configuration:
                old = before.configuration
                yield _log_line(
                    "configuration-in-force",
                    version=configuration.version,
                    previous=old.version if old else 0,
                    routes=len(configuration.routes),
                )
        case ListingRead(_, upstreams):
            yield _log_line("upstreams-listed", count=len(upstreams))
        case UpstreamPublished(_, upstream):
            yield _log_line(
                "upstream-changed",
                upstream=upstream.id,
                service=upstream.service,
                leaving=upstream.leaving,
                group_open=upstream.rank is None or upstream.rank.is_open,
            )
        case UpstreamRemoved(_, upstream_id):
            lapsing = upstream_id in after.lapsing
            yield _log_line("upstream-removed", upstream=upstream_id, lapsing=lapsing)
        case ZonesOut(_, zones):
            if zones != before.zones_out:
                yield _log_line("zones-out", zones=",".join(sorted(zones)))
        case StoreLost(_, detail):
            yield _log_line("store-lost", reason=detail)
        case StoreReached():
            yield _log_line("store-reached")
        case StoreRestored(_, era):
            yield _log_line("store-restored", era=era)
        case UpstreamLeaving(_, upstream):
            if after.departures is not before.departures:
                yield _log_line("upstream-leaving", upstream=upstream.id)
        case UpstreamPaused(now_ms, upstream, asked_ms, text):
            if asked_ms is None:
                yield _log_line("pause-unreadable", upstream=upstream.id, value=text)
            else:
                until_ms = after.stats_of(upstream.id).paused_until_ms
                yield _log_line(
                    "upstream-paused",
                    upstream=upstream.id,
                    pause_ms=max(until_ms - now_ms, 0),
                    asked_ms=asked_ms,
                )
        case UpstreamLimited(_, upstream, _, _, unreadable) if unreadable:
            yield _log_line("limit-unreadable", upstream=upstream.id, value=unreadable)
        case AttemptFailed(_, ticket, failure):
            request = before.requests.get(ticket)
            request = request and attempt_at(request, event.upstream)
            if request is not None:
                yield LogLine(
                    "direct-attempt-failed",
                    request.request_id,
                    {
                        "upstream": request.upstream,
                        "failure": type(failure).__name__,
                        "reason": _reason(failure),
                        "after_ms": event.now_ms - request.sent_at_ms,
                        "attempts": request.sends,
                        "avoided_ms": _avoided_ms(after, request, event.now_ms),
                        "fingerprint": request.fingerprint,
                    },
                )
        case PaceMeasured():
            yield from _slot_lines(before, after, event)
        case HedgeDue(now_ms, ticket) if not effects:
            yield from _withheld_lines(before, ticket, now_ms)
        case ResponseStarted(now_ms, ticket, upstream_id):
            yield from _hedge_won_lines(before, ticket, upstream_id, now_ms)
        case RequestEnded(_, ticket, answered):
            request = before.requests.get(ticket)
            if request is not None:
                yield LogLine(
                    "request-served" if answered else "caller-left",
                    request.request_id,
                    {
                        "upstream": request.upstream,
                        "after_ms": event.now_ms - request.arrived_ms,
                        "attempts": request.sends,
                    },
                )
    yield from _suspicion_lines(before, after)
    yield from _part_lines(before, after)
    yield from _limit_lines(before, after)
    yield from _slow_rank_lines(before, after)
    yield from _fair_share_lines(before, after)
    yield from (
        line
        for effect in effects
        for line in _effect_lines(effect, event, before, after)
    )


def _withheld_lines(state: State, ticket: int, now_ms: int) -> Iterator[LogLine]:
    """Yield a line with the reason for which a request that is due is not hedged."""
    request = state.requests.get(ticket)
    if request is None or request.hedge_ms is None or request.hedge_ms > now_ms:
        return
    reason = hedge_choice(state, request, now_ms)
    if isinstance(reason, Withheld):
        yield LogLine(
            "hedge-withheld",
            request.request_id,
            {"service": request.service, "reason": str(reason)},
        )


def _hedge_won_lines(
    state: State, ticket: int, upstream_id: str, now_ms: int
) -> Iterator[LogLine]:
    request = state.requests.get(ticket)
    if request is None or request.hedge is None:
        return
    if request.hedge.upstream == upstream_id:
        yield LogLine(
            "hedge-won",
            request.request_id,
            {
                "upstream": upstream_id,
                "after_ms": now_ms - request.hedge.sent_at_ms,
                "first_after_ms": now_ms - request.sent_at_ms,
            },
        )


def _avoided_ms(state: State, request: Request, now_ms: int) -> int:
    return max(state.stats_of(request.upstream).avoid_until_ms - now_ms, 0)


def _slot_lines(before: State, after: State, event: PaceMeasured) -> Iterator[LogLine]:
    """Yield a line if the open share, rounded to tenths, changed.

    Smaller changes occur four times a second.
    """
    service, group = event.service, event.group
    old, new = (
        round(10 * open_share(state, service, group, event.now_ms))
        for state in (before, after)
    )
    if old != new:
        yield _log_line(
            "slots-opened" if new > old else "slots-closed",
            service=service,
            group=group,
            open_share=new / 10,
            gap_ms=round(event.gap_ms),
        )


def _suspicion_lines(before: State, after: State) -> Iterator[LogLine]:
    if before.suspicions is after.suspicions:
        return
    for group, suspicion in after.suspicions.items():
        if before.suspicions.get(group) != suspicion:
            yield _log_line("group-doubted", group=group, epoch=suspicion.epoch)
    for group, suspicion in before.suspicions.items():
        if group not in after.suspicions:
            yield _log_line("group-trusted", group=group, epoch=suspicion.epoch)


def _limit_lines(before: State, after: State) -> Iterator[LogLine]:
    """Yield a line for each limit that an upstream named anew, changed or ended."""
    if before.named_limits is after.named_limits:
        return
    for upstream_id, limit in after.named_limits.items():
        known = before.named_limits.get(upstream_id)
        if known is not None and known[:2] == limit[:2]:
            continue
        source = limit.peer or "answer"
        if limit.per_s is None:
            yield _log_line("limit-ended", upstream=upstream_id, source=source)
        else:
            yield _log_line(
                "upstream-limited",
                upstream=upstream_id,
                per_s=limit.per_s,
                source=source,
                entries=after.sharing_count(),
            )


def _slow_rank_lines(before: State, after: State) -> Iterator[LogLine]:
    """Yield a line for each rank that turned slow, or no longer is."""
    old, new = before.slow_ranks, after.slow_ranks
    if old is new:
        return
    for upstream_id, rank in new.items():
        if upstream_id not in old:
            yield _log_line(
                "rank-slow",
                upstream=upstream_id,
                slowness=round(rank.slowness, 2),
                source=rank.peer or "report",
            )
    for upstream_id in old:
        if upstream_id not in new:
            yield _log_line("rank-recovered", upstream=upstream_id)


def _fair_share_lines(before: State, after: State) -> Iterator[LogLine]:
    """Yield a line for each service whose slots became scarce, or are no longer."""
    old, new = before.fair_slots, after.fair_slots
    if old is new:
        return
    for service, slots in new.items():
        if service not in old:
            yield _log_line("fair-shares-begun", service=service, slots=round(slots, 1))
    for service in old:
        if service not in new:
            yield _log_line("fair-shares-ended", service=service)


def _part_lines(before: State, after: State) -> Iterator[LogLine]:
    """Yield a line for each prompt part whose suspicion or blame changed."""
    old, new = before.parts, after.parts
    if old.counts is not new.counts:
        for part, crashes in new.counts.items():
            if crashes >= SUSPECT_CRASHES and crashes > old.counts.get(part, 0):
                yield _log_line("part-suspected", part=part, crashes=crashes)
    if old.blames is not new.blames:
        for part, blame in new.blames.items():
            known = old.blames.get(part)
            if known is None:
                yield _log_line("part-blamed", part=part, probes=blame.probes)
            elif blame.probes > known.probes:
                yield _log_line("part-probed", part=part, probes=blame.probes)
        for part, blame in old.blames.items():
            if part not in new.blames:
                acquitted = part in new.begun
                yield _log_line(
                    "part-cleared", part=part, probes=blame.probes, acquitted=acquitted
                )


def _effect_lines(
    effect: Effect, event: Event, before: State, after: State
) -> Iterator[LogLine]:
    configuration = after.configuration
    version = configuration.version if configuration else 0
    match effect:
        case Send(request, upstream):
            yield LogLine(
                "request-sent",
                request.request_id,
                {
                    "upstream": upstream.id,
                    "route": request.route.name,
                    "version": version,
                    "in_hand": after.stats_of(upstream.id).in_flight,
                    "elsewhere": after.peer_in_flight.get(upstream.id, 0),
                    "reports_age_ms": _reports_age_ms(after, request.sent_at_ms),
                    "waited_ms": request.sent_at_ms - request.arrived_ms,
                    "left_ms": request.deadline_ms - request.sent_at_ms,
                },
            )
            if request.reached:
                yield _retry_line(request, after)
            if request.send_by_ms is not None:
                yield LogLine(
                    "last-resort-used",
                    request.request_id,
                    {
                        "upstream": upstream.id,
                        "zone": upstream.zone,
                        "left_ms": request.send_by_ms - request.sent_at_ms,
                    },
                )
        case Hedge(request, upstream):
            first = after.requests[request.ticket]
            limit = hedge_limit(after, request.service, request.sent_at_ms)
            yield LogLine(
                "hedge-sent",
                request.request_id,
                {
                    "upstream": upstream.id,
                    "first": first.upstream,
                    "service": request.service,
                    "after_ms": request.sent_at_ms - first.sent_at_ms,
                    "hedges": limit.sent,
                    "allowed": round(limit.allowed, 1),
                },
            )
        case CancelAttempt(ticket, upstream_id):
            request_id = _request_id(event, before, ticket)
            yield LogLine("attempt-cancelled", request_id, {"upstream": upstream_id})
        case Refuse(ticket, kind, ran, retry_after_ms):
            yield LogLine(
                "request-refused",
                _request_id(event, before, ticket),
                {
                    "kind": str(kind),
                    "ran": ran,
                    "retry_after_ms": retry_after_ms,
                    "version": version,
                    "waiting": sum(len(queue) for queue in before.waiting.values()),
                    "in_hand": len(before.requests),
                    "retries_spent": _is_budget_spent(event, before),
                },
            )
        case DeliverFailure(ticket):
            yield LogLine("failure-delivered", _request_id(event, before, ticket), {})


def _retry_line(request: Request, after: State) -> LogLine:
    """Return the line of a retry, with the budget of which it is a part."""
    budget = retry_budget(after, request.service, request.sent_at_ms)
    return LogLine(
        "request-retried",
        request.request_id,
        {
            "service": request.service,
            "retries": budget.retries,
            "allowed": round(budget.allowed, 1),
            "waiting": budget.waiting,
            "entries": budget.entries,
        },
    )


def _is_budget_spent(event: Event, state: State) -> bool:
    """Return whether a failed attempt met an exhausted retry budget."""
    if not isinstance(event, AttemptFailed):
        return False
    request = state.requests.get(event.ticket)
    if request is None:
        return False
    return retry_budget(state, request.service, event.now_ms).is_spent


def _reason(failure: Failure) -> str:
    match failure:
        case NotSent(detail) | Broken(detail):
            return detail
        case Declined(unread=unread) if unread:
            return f"it rejected the request, but the rejection does not end: {unread}"
        case Declined(misdirected=True):
            return "the address belongs to another upstream"
        case Declined(at_fault=faulty_id) if faulty_id:
            return f"{faulty_id} is at fault"
        case Declined():
            return "the upstream is full"
        case Errored():
            return "the upstream ran the request and failed"
        case Moved():
            return "the rank is slow; the stream goes on at another one"


def _reports_age_ms(state: State, now_ms: int) -> int:
    """Return the age of the oldest peer report that the choice used."""
    return max((now_ms - view.received_ms for view in state.peers.values()), default=0)


def _request_id(event: Event, before: State, ticket: int) -> str:
    if isinstance(event, RequestArrived) and event.request.ticket == ticket:
        return event.request.request_id
    request = before.requests.get(ticket)
    if request is None and ticket in before.unadmitted:
        request = before.unadmitted[ticket].request
    return request.request_id if request else ""


def _log_line(name: str, **fields: FieldValue) -> LogLine:
    return LogLine(name, "", fields)
