"""Hedge slow requests that may be repeated: a second attempt, and the first answer.

Answers the load pattern in which a few upstreams answer much later than the others of
their service without failing. A request whose answer has not begun by a high quantile
of recent times is sent once more. If many answers are slow, that time would be too late
for the objective, so the latest time at which most second answers still meet it comes
before the quantile. If all answers take about as long, the first attempt is nearly
always done before a second one could be, so no request is due before twice the median.

The second attempt goes to a free upstream that does not share the delay: the ranks of a
lock-step group run in one pass, so it has to be outside the first one's group. Hedges
are extra work, so they stay within the operator's limit and give way to callers that
wait, to retries of failed requests and to anything that keeps upstreams safe.

The limit is a share of the requests that arrived at the same entry within the budget
window. The shares of all entries add up to the same share of all requests, so entries
need not agree on it, and a process that has just started owes nothing for earlier ones.
"""

from enum import StrEnum
from typing import NamedTuple

from nutmegslip_decisions.direct._budget import count_retry, load_of, retry_budget
from nutmegslip_decisions.direct._choice import Candidate, capacity_of, choose
from nutmegslip_decisions.direct._pace import open_share
from nutmegslip_decisions.direct._state import (
    BUDGET_BUCKET_MS,
    HedgeStats,
    State,
)
from nutmegslip_decisions.direct._types import Attempt, Request, RequestKind, Upstream
from nutmegslip_decisions.direct._windows import Window
from nutmegslip_decisions.model import Millis

MAX_STARTS = 100  # recent times kept for each service, apart for streams
MEDIANS = 2  # most answers, also those of second attempts, take less
MAX_BUDGET_SHARE = 0.5  # of the retry budget; the rest is for requests that fail
MAX_USED_SHARE = 0.75  # of the slots; above it requests that arrive soon wait


class Withheld(StrEnum):
    """The reason for which a request that is due gets no second attempt."""

    SUSPECTED = "suspected"  # upstreams have crashed on it, or on a part of it
    LIMIT = "limit"
    BUDGET = "budget"
    WAITING = "waiting"  # another request waits for a slot
    OVERLOAD = "overload"
    DEADLINE = "deadline"
    NO_UPSTREAM = "no-upstream"


class HedgeLimit(NamedTuple):
    """The hedges that an entry sent at a service in the window, and how many it may."""

    sent: int
    allowed: float

    @property
    def is_reached(self) -> bool:
        """Return whether one more hedge exceeds the limit."""
        return self.sent + 1 > self.allowed


def hedge_limit(state: State, service: str, now_ms: Millis) -> HedgeLimit:
    """Return the limit on hedges of a service at this entry."""
    arrivals = load_of(state, service).arrivals.count_within(now_ms)
    sent = _stats_of(state, service).sent.count(now_ms)
    return HedgeLimit(sent, state.options.hedge_max_share * arrivals)


def hedge_due_ms(state: State, request: Request, now_ms: Millis) -> Millis | None:
    """Return when a request that is sent now gets a second attempt, None for never."""
    options, route = state.options, request.route
    last_attempt = request.sends + 1 >= route.attempts
    if options.hedge_max_share <= 0 or not route.repeatable:
        return None
    if request.streaming or last_attempt:
        return None
    starts = sorted(
        _stats_of(state, request.service).starts.get(_is_stream(request), ())
    )
    usual_ms = int(load_of(state, request.service).start_ms)
    slow_ms = route.objective_ms
    if len(starts) * (1 - options.hedge_after_quantile) >= 1:  # enough for the quantile
        usual_ms = starts[len(starts) // 2]
        slow_ms = starts[int(options.hedge_after_quantile * len(starts))]
    latest_ms = route.objective_ms - MEDIANS * usual_ms
    return now_ms + max(min(slow_ms, latest_ms), MEDIANS * usual_ms) + 1


def hedge_choice(state: State, request: Request, now_ms: Millis) -> Upstream | Withheld:
    """Return the upstream of a second attempt, or why there is none now."""
    service = request.service
    evidence = state.parts
    subjects = request.subjects
    if request.met_crash or any(
        subject in evidence.counts or subject in evidence.blames for subject in subjects
    ):
        return Withheld.SUSPECTED
    if hedge_limit(state, service, now_ms).is_reached:
        return Withheld.LIMIT
    budget = retry_budget(state, service, now_ms)
    if budget.retries + budget.waiting + 1 > MAX_BUDGET_SHARE * budget.allowed:
        return Withheld.BUDGET
    if state.waiting.get(service):
        return Withheld.WAITING
    if now_ms + load_of(state, service).start_ms > request.deadline_ms:
        return Withheld.DEADLINE
    capacity = capacity_of(state, service, now_ms)
    if capacity.taken + 1 > MAX_USED_SHARE * capacity.slots:
        return Withheld.OVERLOAD
    suitable = tuple(
        candidate
        for candidate in capacity.candidates
        if _is_suitable(state, request, candidate, now_ms)
    )
    found = choose(state, capacity._replace(candidates=suitable), request, now_ms)
    return Withheld.NO_UPSTREAM if found is None else found


def _is_suitable(
    state: State, request: Request, candidate: Candidate, now_ms: Millis
) -> bool:
    """Return whether an upstream may take a hedge and is independent of the first."""
    upstream = candidate.upstream
    first = state.upstreams.get(request.upstream)
    if upstream.group and (first is None or upstream.group == first.group):
        return False
    if upstream.zone in state.zones_out or upstream.group in state.suspicions:
        return False
    if open_share(state, request.service, upstream.group, now_ms) < 1:
        return False  # the group is too slow for what it has already
    return state.stats_of(upstream.id).avoid_until_ms <= now_ms


def with_hedge_counted(state: State, service: str, now_ms: Millis) -> State:
    """Count a hedge in the operator's limit and in the retry budget."""
    state = count_retry(state, service, now_ms)
    stats = _stats_of(state, service)
    changed = stats._replace(sent=stats.sent.add(now_ms))
    return state._replace(hedges=state.hedges.set(service, changed))


def with_start_measured(state: State, request: Request, now_ms: Millis) -> State:
    """Remember how long the first part of an answer took.

    The time counts from the first attempt, also if the second one is answered: counted
    from the second one, each hedge would lower the quantile and so cause more of them.
    """
    if state.options.hedge_max_share <= 0:
        return state
    stats = _stats_of(state, request.service)
    kind = _is_stream(request)
    starts = (*stats.starts.get(kind, ()), now_ms - request.sent_at_ms)
    changed = stats._replace(starts=stats.starts.set(kind, starts[-MAX_STARTS:]))
    return state._replace(hedges=state.hedges.set(request.service, changed))


def with_second_attempt(
    request: Request, upstream: Upstream, now_ms: Millis
) -> Request:
    """Return a request with a second attempt in flight."""
    return request._replace(
        hedge=Attempt(upstream.id, now_ms),
        hedge_ms=None,
        tried=request.tried | {upstream.id},
        sends=request.sends + 1,
    )


def with_later_hedge(request: Request, now_ms: Millis) -> Request:
    """Return a request that is due again once it has taken twice as long."""
    return request._replace(hedge_ms=now_ms + max(now_ms - request.sent_at_ms, 1))


def attempt_at(request: Request, upstream_id: str) -> Request | None:
    """Return a request as sent to an upstream, None if it is not in flight there.

    An empty ``upstream_id`` is that of the only attempt.
    """
    if upstream_id in ("", request.upstream):
        return request
    if request.hedge is None or upstream_id != request.hedge.upstream:
        return None
    return request._replace(
        upstream=upstream_id, sent_at_ms=request.hedge.sent_at_ms, hedge=None
    )


def other_attempt(request: Request, upstream_id: str) -> Attempt | None:
    """Return the attempt that remains without the one at an upstream."""
    if request.hedge is None or upstream_id in ("", request.upstream):
        return request.hedge
    return Attempt(request.upstream, request.sent_at_ms)


def _stats_of(state: State, service: str) -> HedgeStats:
    window = Window(BUDGET_BUCKET_MS, state.options.retry_window_ms)
    return state.hedges.get(service) or HedgeStats(window)


def _is_stream(request: Request) -> bool:
    return request.route.kind is RequestKind.STREAM
