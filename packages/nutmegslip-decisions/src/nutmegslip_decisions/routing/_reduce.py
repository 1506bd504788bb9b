"""Apply events about upstreams to the state of upstream selection."""

from nutmegslip_decisions.routing._pools import apply_upstreams, change_upstream
from nutmegslip_decisions.routing._state import RoutingState, Upstream
from nutmegslip_decisions.routing._types import (
    LoadReported,
    RequestEnded,
    RequestFailed,
    RequestRefused,
    RoutingEvent,
    RoutingOptions,
    UpstreamsChanged,
)


def reduce(state: RoutingState, event: RoutingEvent) -> tuple[RoutingState, tuple[()]]:
    """Apply one event; this reducer produces no effects."""
    if isinstance(event, UpstreamsChanged):
        return apply_upstreams(state, event.catalogue, event.roster), ()
    upstream = state.upstreams.get(event.host)
    if upstream is None:
        return state, ()
    return change_upstream(
        state, event.host, _updated_upstream(state, upstream, event)
    ), ()


def _updated_upstream(
    state: RoutingState,
    upstream: Upstream,
    event: LoadReported | RequestEnded | RequestRefused | RequestFailed,
) -> Upstream:
    match event:
        case LoadReported():
            return upstream._replace(
                others_in_flight=max(event.in_flight - event.own_in_flight, 0),
                cold=event.cold,
                credits=event.credits,
                report_deadline_ms=event.now_ms + state.options.report_valid_ms,
            )
        case RequestEnded():
            return _decrement_in_flight(upstream)._replace(failures=0)
        case RequestRefused():
            wait_ms = max(event.retry_after_ms, state.options.backoff_ms)
            return _decrement_in_flight(upstream)._replace(
                retry_at_ms=event.now_ms + wait_ms
            )
        case RequestFailed():
            wait_ms = _backoff_ms(state.options, upstream.failures)
            return _decrement_in_flight(upstream)._replace(
                failures=upstream.failures + 1, retry_at_ms=event.now_ms + wait_ms
            )


def _decrement_in_flight(upstream: Upstream) -> Upstream:
    return upstream._replace(own_in_flight=max(upstream.own_in_flight - 1, 0))


def _backoff_ms(options: RoutingOptions, failures: int) -> int:
    # The exponent is bounded to avoid huge integers during a long outage.
    return min(options.backoff_ms * 2 ** min(failures, 16), options.backoff_limit_ms)
