"""Decide everything that an entry does for its callers without a sidecar."""

from nutmegslip_decisions.direct._budget import (
    count_arrival,
    count_repeat,
    load_of,
)
from nutmegslip_decisions.direct._choice import choose, rooms_of
from nutmegslip_decisions.direct._events import (
    Arrived,
    AttemptFailed,
    Begun,
    ConfigurationPublished,
    Declined,
    DeliverFailure,
    Effect,
    Ended,
    Errored,
    Event,
    ListingRead,
    NotSent,
    OptionsChanged,
    PaceMeasured,
    PeerReported,
    RefusalKind,
    Refuse,
    Send,
    StoreLost,
    StoreReached,
    Tick,
    UpstreamPublished,
    UpstreamRemoved,
    ZonesOut,
)
from nutmegslip_decisions.direct._failures import after_failure, has_run, may_go_on
from nutmegslip_decisions.direct._groups import with_fault, without_fault
from nutmegslip_decisions.direct._pace import with_pace
from nutmegslip_decisions.direct._published import (
    with_configuration,
    with_listing,
    with_upstream,
    without_lapsed,
    without_upstream,
)
from nutmegslip_decisions.direct._routes import pick_service, priority_of
from nutmegslip_decisions.direct._state import PeerView, State
from nutmegslip_decisions.direct._types import (
    Account,
    CallerRequest,
    Request,
    Route,
)
from nutmegslip_decisions.direct._waiting import (
    dequeue,
    enqueue,
    predicted_wait_ms,
    return_after_ms,
    wait_until_ms,
)
from nutmegslip_decisions.model import Millis

Step = tuple[State, tuple[Effect, ...]]

SMOOTHING = 0.1  # the weight of one measurement in a mean
NO_CONFIGURATION_RETRY_MS = 500
PEER_FORGOTTEN_MS = 10_000  # shares of a silent peer go back to the others


def reduce(state: State, event: Event) -> Step:
    """Return the state after an event, and what is to be done."""
    match event:
        case Arrived(now_ms, request):
            return _arrive(state, request, now_ms)
        case AttemptFailed():
            return _fail(state, event)
        case Begun(now_ms, ticket):
            return _begin(state, ticket, now_ms), ()
        case PaceMeasured(now_ms, service, gap_ms):
            return _dispatch(with_pace(state, service, gap_ms), service, now_ms)
        case Ended(now_ms, ticket, answered):
            return _end(state, ticket, answered, now_ms)
        case Tick(now_ms):
            return _tick(state, now_ms)
        case PeerReported(now_ms, peer, in_hand):
            peers = state.peers.set(peer, PeerView(now_ms, in_hand))
            return _dispatch_all(state._replace(peers=peers), now_ms)
        case ConfigurationPublished(_, configuration):
            return with_configuration(state, configuration), ()
        case UpstreamPublished(now_ms, upstream):
            return _dispatch_all(with_upstream(state, upstream), now_ms)
        case UpstreamRemoved(now_ms, upstream_id):
            return without_upstream(state, upstream_id, now_ms), ()
        case ZonesOut(now_ms, zones):
            return _dispatch_all(state._replace(zones_out=zones), now_ms)
        case ListingRead(now_ms, upstreams):
            return _dispatch_all(with_listing(state, upstreams, now_ms), now_ms)
        case StoreLost():
            return state._replace(store_lost=True), ()
        case StoreReached(now_ms):
            until_ms = now_ms + state.options.rejoin_ms
            return state._replace(store_lost=False, lapse_until_ms=until_ms), ()
        case OptionsChanged(_, options):
            return state._replace(options=options), ()


def is_ready(state: State) -> bool:
    """Return whether a request could be served."""
    return state.configuration is not None and len(state.upstreams) > 0


def _arrive(state: State, asked: CallerRequest, now_ms: Millis) -> Step:
    if state.configuration is None or state.table is None:
        kind = RefusalKind.NO_CONFIGURATION
        return state, (Refuse(asked.ticket, kind, False, NO_CONFIGURATION_RETRY_MS),)
    route = state.table.match(asked.host, asked.path)
    if route is None:
        return state, (Refuse(asked.ticket, RefusalKind.NO_ROUTE, False),)
    account = _account(state, route, asked.key)
    if account is None:
        return state, (Refuse(asked.ticket, RefusalKind.UNKNOWN_KEY, False),)
    request = _admitted(asked, route, account, now_ms)
    state = count_arrival(state, request.service, now_ms)
    state = state._replace(requests=state.requests.set(request.ticket, request))
    return _place(state, request, now_ms)


def _account(state: State, route: Route, key: str | None) -> Account | None:
    accounts = state.configuration and state.configuration.accounts
    if accounts is None or route.public:
        found = accounts.get(key) if accounts and key else None
        return found or Account("")
    return accounts.get(key or "")


def _admitted(
    asked: CallerRequest, route: Route, account: Account, now_ms: Millis
) -> Request:
    deadline_ms = now_ms + route.timeout_ms
    if asked.caller_deadline_ms is not None:
        deadline_ms = min(deadline_ms, asked.caller_deadline_ms)
    return Request(
        ticket=asked.ticket,
        request_id=asked.request_id,
        route=route,
        service=pick_service(route, asked.request_id),
        account=account.name,
        priority=priority_of(route, account.priority),
        arrived_ms=now_ms,
        deadline_ms=deadline_ms,
    )


def _place(state: State, request: Request, now_ms: Millis) -> Step:
    """Send a request, let it wait, or refuse it at once."""
    if not state.waiting.get(request.service):
        upstream = choose(state, request, now_ms)
        if upstream is not None:
            return _send(state, request, upstream.id, now_ms)
    wait_ms = predicted_wait_ms(state, request, now_ms)
    if wait_ms is None:
        return _give_up(state, request, RefusalKind.NO_UPSTREAM, now_ms)
    if not request.streaming and now_ms + wait_ms > wait_until_ms(state, request):
        return _give_up(state, request, RefusalKind.OVERLOADED, now_ms)
    return enqueue(state, request), ()


def _send(state: State, request: Request, upstream_id: str, now_ms: Millis) -> Step:
    upstream = state.upstreams[upstream_id]
    if request.reached:
        state = count_repeat(state, request.service, now_ms)
    sent = request._replace(
        upstream=upstream_id,
        sent_at_ms=now_ms,
        tried=request.tried | {upstream_id},
        sends=request.sends + 1,
    )
    standing = state.standing(upstream_id)
    busier = standing._replace(
        in_hand=standing.in_hand + 1, sent=standing.sent.add(now_ms)
    )
    state = state._replace(
        requests=state.requests.set(request.ticket, sent),
        standings=state.standings.set(upstream_id, busier),
    )
    return state, (Send(sent, upstream),)


def _fail(state: State, event: AttemptFailed) -> Step:
    request = state.requests.get(event.ticket)
    if request is None:
        return state, ()
    now_ms, failure = event.now_ms, event.failure
    state = _released(state, request)
    standing = after_failure(state.standing(request.upstream), failure, now_ms)
    state = state._replace(standings=state.standings.set(request.upstream, standing))
    if isinstance(failure, Declined) and failure.at_fault:
        state = _with_group_fault(state, request.upstream, now_ms)
    sent = not _unsent(failure)
    request = request._replace(
        upstream="",
        sends=request.sends if sent else request.sends - 1,
        reached=request.reached + (not isinstance(failure, NotSent)),
        may_have_run=request.may_have_run or has_run(failure),
        streaming=event.streaming,
    )
    state = state._replace(requests=state.requests.set(request.ticket, request))
    if may_go_on(state, request, failure, now_ms):
        state, effects = _place(state, request, now_ms)
    elif isinstance(failure, Errored):
        state, effects = _forget(state, request), (DeliverFailure(request.ticket),)
    else:
        kind = RefusalKind.BROKEN if request.may_have_run else RefusalKind.DECLINED
        state, effects = _give_up(state, request, kind, now_ms)
    state, more = _dispatch(state, request.service, now_ms)
    return state, (*effects, *more)


def _with_group_fault(state: State, upstream_id: str, now_ms: Millis) -> State:
    upstream = state.upstreams.get(upstream_id)
    return state if upstream is None else with_fault(state, upstream, now_ms)


def _begin(state: State, ticket: int, now_ms: Millis) -> State:
    request = state.requests.get(ticket)
    if request is None or not request.upstream:
        return state
    load = load_of(state, request.service)
    took_ms = now_ms - request.sent_at_ms
    start_ms = load.start_ms + SMOOTHING * (took_ms - load.start_ms)
    loads = state.loads.set(request.service, load._replace(start_ms=start_ms))
    state = state._replace(loads=loads)
    upstream = state.upstreams.get(request.upstream)
    return state if upstream is None else without_fault(state, upstream)


def _unsent(failure: object) -> bool:
    match failure:
        case NotSent() | Declined(misdirected=True):
            return True
        case _:
            return False


def _end(state: State, ticket: int, answered: bool, now_ms: Millis) -> Step:
    request = state.requests.get(ticket)
    if request is None:
        return state, ()
    if request.upstream:
        if answered:
            state = _measured(state, request, now_ms)
        state = _released(state, request)
    return _dispatch(_forget(state, request), request.service, now_ms)


def _measured(state: State, request: Request, now_ms: Millis) -> State:
    load = load_of(state, request.service)
    held_ms = now_ms - request.sent_at_ms
    hold_ms = load.hold_ms + SMOOTHING * (held_ms - load.hold_ms)
    loads = state.loads.set(request.service, load._replace(hold_ms=hold_ms))
    standing = state.standing(request.upstream)._replace(failures=0)
    standings = state.standings.set(request.upstream, standing)
    return state._replace(loads=loads, standings=standings)


def _released(state: State, request: Request) -> State:
    standing = state.standing(request.upstream)
    freed = standing._replace(in_hand=standing.in_hand - 1)
    return state._replace(standings=state.standings.set(request.upstream, freed))


def _forget(state: State, request: Request) -> State:
    state = dequeue(state, request)
    return state._replace(requests=state.requests.delete(request.ticket))


def _give_up(state: State, request: Request, kind: RefusalKind, now_ms: Millis) -> Step:
    ran = request.may_have_run
    wait_ms = 0 if ran else return_after_ms(state, request, now_ms)
    return _forget(state, request), (Refuse(request.ticket, kind, ran, wait_ms),)


def _dispatch_all(state: State, now_ms: Millis) -> Step:
    effects: tuple[Effect, ...] = ()
    for service, queue in state.waiting.items():
        if queue:
            state, more = _dispatch(state, service, now_ms)
            effects += more
    return state, effects


def _dispatch(state: State, service: str, now_ms: Millis) -> Step:
    """Send those who wait, most urgent first, while there is room."""
    effects: tuple[Effect, ...] = ()
    for ticket in state.waiting.get(service, ()):
        request = state.requests[ticket]
        if request.deadline_ms <= now_ms:
            continue  # this process was frozen; the next tick refuses it
        upstream = choose(state, request, now_ms)
        if upstream is None:
            if not rooms_of(state, service, now_ms):
                break
            continue
        state = dequeue(state, request)
        state, sent = _send(state, request, upstream.id, now_ms)
        effects += sent
    return state, effects


def _tick(state: State, now_ms: Millis) -> Step:
    state = without_lapsed(state, now_ms)
    gone = [
        name
        for name, view in state.peers.items()
        if view.heard_ms + PEER_FORGOTTEN_MS < now_ms
    ]
    for name in gone:
        state = state._replace(peers=state.peers.delete(name))
    state, refused = _refuse_overdue(state, now_ms)
    state, sent = _dispatch_all(state, now_ms)
    return state, (*refused, *sent)


def _refuse_overdue(state: State, now_ms: Millis) -> Step:
    """Refuse those for whom a slot would come too late."""
    effects: tuple[Effect, ...] = ()
    for ticket in [ticket for queue in state.waiting.values() for ticket in queue]:
        request = state.requests[ticket]
        if request.deadline_ms <= now_ms:
            kind = RefusalKind.DEADLINE
        elif wait_until_ms(state, request) <= now_ms and not request.streaming:
            kind = RefusalKind.OVERLOADED
        else:
            continue
        state, more = _give_up(state, request, kind, now_ms)
        effects += more
    return state, effects


def load_report(state: State) -> dict[str, int]:
    """Return what this entry has in hand, by upstream, for its peers."""
    return {
        upstream_id: standing.in_hand
        for upstream_id, standing in state.standings.items()
        if standing.in_hand
    }
