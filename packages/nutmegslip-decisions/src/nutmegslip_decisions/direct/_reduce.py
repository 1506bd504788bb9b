"""The reducer of an entry that sends to upstreams directly."""

from immutables import Map

from nutmegslip_decisions.direct._crash_parts import (
    with_part_report,
    without_expired_parts,
)
from nutmegslip_decisions.direct._demand import without_expired_demand
from nutmegslip_decisions.direct._departures import (
    with_announcement,
    with_other_announcement,
    without_forgotten,
)
from nutmegslip_decisions.direct._dispatch import (
    Step,
    dispatch,
    dispatch_all,
    refuse_overdue,
    send_hedge,
)
from nutmegslip_decisions.direct._events import (
    AttemptFailed,
    ConfigurationPublished,
    Event,
    HedgeDue,
    ListingRead,
    OptionsChanged,
    PaceMeasured,
    PeerReported,
    RankRead,
    RequestArrived,
    RequestEnded,
    ResponseStarted,
    StoreLost,
    StoreReached,
    StoreRestored,
    Tick,
    UpstreamLeaving,
    UpstreamLimited,
    UpstreamPaused,
    UpstreamPublished,
    UpstreamRemoved,
    ZonesOut,
)
from nutmegslip_decisions.direct._fair_shares import with_fair_shares
from nutmegslip_decisions.direct._named_limits import (
    with_named_limit,
    with_reported_limits,
    without_expired_limits,
)
from nutmegslip_decisions.direct._pace import with_pace, without_expired_paces
from nutmegslip_decisions.direct._part_evidence import PartReport
from nutmegslip_decisions.direct._pauses import with_pause
from nutmegslip_decisions.direct._peers import with_report, without_stale
from nutmegslip_decisions.direct._published import (
    with_configuration,
    with_listing,
    with_upstream,
    without_lapsed,
    without_upstream,
)
from nutmegslip_decisions.direct._requests import (
    finish,
    handle_failure,
    record_start,
)
from nutmegslip_decisions.direct._restored import (
    with_restored_store,
    with_zones_read,
    without_copy,
    without_withheld,
)
from nutmegslip_decisions.direct._slow_ranks import (
    with_rank_read,
    with_reported_slowness,
    without_expired_slowness,
)
from nutmegslip_decisions.direct._spending import without_expired_ends
from nutmegslip_decisions.direct._starting import (
    admit_all,
    admit_when_started,
    refuse_unadmitted,
    without_unadmitted,
)
from nutmegslip_decisions.direct._state import PeerReport, State
from nutmegslip_decisions.direct._subsets import with_subsets
from nutmegslip_decisions.model import Millis


def reduce(state: State, event: Event) -> Step:
    """Return the state after an event, and the effects to perform."""
    match event:
        case RequestArrived(now_ms, request):
            return admit_when_started(state, request, now_ms)
        case AttemptFailed():
            return handle_failure(state, event)
        case ResponseStarted():
            return record_start(state, event)
        case HedgeDue(now_ms, ticket):
            return send_hedge(state, ticket, now_ms)
        case PaceMeasured(now_ms, service, group, gap_ms):
            paced = with_pace(state, service, group, gap_ms, now_ms)
            return dispatch(paced, service, now_ms)
        case RequestEnded(now_ms, ticket):
            if ticket in state.unadmitted:
                return without_unadmitted(state, ticket), ()
            return finish(state, event)
        case Tick(now_ms):
            return _tick(state, now_ms)
        case PeerReported(now_ms, peer, in_flight, parts, standing, spending, limits):
            old = state.peers.get(peer)
            report = PeerReport(
                now_ms,
                in_flight,
                parts,
                standing,
                spending,
                event.paces,
                event.demand,
                event.slow_ranks,
            )
            state = with_report(state, peer, report)
            old_parts = old.parts if old else PartReport()
            state = with_part_report(state, old_parts, parts, now_ms)
            state = with_reported_limits(state, peer, limits)
            old_slow = old.slow_ranks if old else Map()
            state = with_reported_slowness(
                state, peer, old_slow, event.slow_ranks, now_ms
            )
            return dispatch_all(state, now_ms)
        case ConfigurationPublished(_, configuration):
            return with_configuration(state, configuration), ()
        case UpstreamPublished(now_ms, upstream):
            state = without_withheld(state, upstream.id)
            return dispatch_all(with_upstream(state, upstream, now_ms), now_ms)
        case UpstreamRemoved(now_ms, upstream_id):
            return without_upstream(state, upstream_id, now_ms), ()
        case ZonesOut(now_ms, zones, unmarked_ms):
            state = with_zones_read(state, zones, unmarked_ms, now_ms)
            return dispatch_all(state, now_ms)
        case ListingRead(now_ms, upstreams):
            state, sent = admit_all(with_listing(state, upstreams, now_ms), now_ms)
            state, more = dispatch_all(state, now_ms)
            return state, (*sent, *more)
        case StoreLost(now_ms):
            return refuse_unadmitted(state._replace(store_lost=True), now_ms)
        case StoreReached(now_ms):
            until_ms = now_ms + state.options.rejoin_ms
            return state._replace(store_lost=False, lapse_until_ms=until_ms), ()
        case StoreRestored():
            return with_restored_store(state), ()
        case UpstreamLeaving(now_ms, upstream, misdirected):
            if misdirected:
                return with_other_announcement(state, upstream, now_ms), ()
            return with_announcement(state, upstream, now_ms), ()
        case UpstreamPaused(now_ms, upstream, asked_ms):
            return with_pause(state, upstream, asked_ms, now_ms), ()
        case UpstreamLimited(now_ms, upstream, per_s, sent_ms, unreadable):
            if unreadable:
                return state, ()
            state = with_named_limit(state, upstream, per_s, sent_ms, now_ms)
            return dispatch(state, upstream.service, now_ms)
        case RankRead(now_ms, upstream_id, slowness):
            return with_rank_read(state, upstream_id, slowness, now_ms), ()
        case OptionsChanged(_, options):
            return state._replace(options=options), ()


def is_ready(state: State) -> bool:
    """Return whether requests can be served."""
    return state.configuration is not None and len(state.upstreams) > 0


def _tick(state: State, now_ms: Millis) -> Step:
    state = without_stale(without_lapsed(state, now_ms), now_ms)
    state = without_forgotten(without_copy(state, now_ms), now_ms)
    state = without_expired_parts(state, now_ms)
    state = without_expired_ends(state, now_ms)
    state = without_expired_limits(state, now_ms)
    state = without_expired_paces(state, now_ms)
    state = without_expired_slowness(state, now_ms)
    state = with_fair_shares(without_expired_demand(state, now_ms), now_ms)
    state = with_subsets(state, now_ms)
    state, unadmitted = refuse_unadmitted(state, now_ms)
    state, refused = refuse_overdue(state, now_ms)
    state, sent = dispatch_all(state, now_ms)
    return state, (*unadmitted, *refused, *sent)


def load_report(state: State) -> dict[str, int]:
    """Return the requests that this entry has in flight, by upstream, for its peers."""
    return {
        upstream_id: stats.in_flight
        for upstream_id, stats in state.upstream_stats.items()
        if stats.in_flight
    }
