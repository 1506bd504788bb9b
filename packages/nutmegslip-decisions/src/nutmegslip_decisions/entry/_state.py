"""Define the state of an entry."""

from dataclasses import dataclass, field
from typing import NamedTuple

from immutables import Map

from nutmegslip_decisions import configuration, limits, once, retries, routing
from nutmegslip_decisions.configuration import SyncState
from nutmegslip_decisions.entry._events import CallerArrived
from nutmegslip_decisions.limits import LimitsOptions, LimitsState
from nutmegslip_decisions.model import Millis, Workload
from nutmegslip_decisions.once import OnceOptions
from nutmegslip_decisions.retries import RetryOptions, RetryState
from nutmegslip_decisions.routing import RoutingOptions, RoutingState
from nutmegslip_decisions.streams import Assembly

REPORT_VALID_MS = 3_000  # Sidecars report every second; a short pause is no failure.


@dataclass(frozen=True, slots=True)
class EntryOptions:
    """Options of one incarnation of an entry.

    ``answer_margin_ms`` is how long before the caller's deadline the final answer
    is due, so that it still arrives in time. ``first_start`` means that no process
    of the site has run before.
    """

    sync: configuration.Options
    incarnation: str
    started_ms: Millis
    routing: RoutingOptions = field(
        default_factory=lambda: RoutingOptions(report_valid_ms=REPORT_VALID_MS)
    )
    limits: LimitsOptions = field(default_factory=LimitsOptions)
    retries: RetryOptions = field(default_factory=RetryOptions)
    once: OnceOptions = field(default_factory=OnceOptions)
    first_start: bool = False
    answer_margin_ms: int = 100


class Request(NamedTuple):
    """One request of a caller until its final answer.

    ``attempt`` is the id of the current attempt, at ``host``, and empty between
    attempts. ``tried`` are the hosts of all attempts. ``retry_at_ms`` is when the
    next attempt is due, or None. ``may_have_run`` means that an earlier attempt
    ended without proof that it was not run.
    """

    workload: Workload
    account: str
    arrived: CallerArrived
    deadline_ms: Millis
    admitted: bool = False
    attempts: int = 0
    attempt: str = ""
    host: str = ""
    tried: frozenset[str] = frozenset()
    retry_at_ms: Millis | None = None
    may_have_run: bool = False
    assembly: Assembly = Assembly()

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return self.arrived.request_id


class ClockOffset(NamedTuple):
    """A lower bound on a sidecar's clock minus the clock of this process."""

    incarnation: str
    offset_ms: Millis


class EntryState(NamedTuple):
    """The complete state of an entry.

    ``accounts_by_token`` maps token digests to account names. ``attempts`` maps
    the ids of current attempts to their requests. ``clock_offsets`` is computed
    from the clocks that sidecars report. ``ended_requests`` and
    ``changed_workloads`` (those whose headroom changed) have yet to be passed to
    admission.
    ``records_handed_over`` means that the log of sent keys was handed over
    before a stop.
    """

    options: EntryOptions
    sync: SyncState
    routing: RoutingState
    limits: LimitsState
    retries: RetryState
    once: once.EntryState
    requests: Map[str, Request] = Map()
    attempts: Map[str, str] = Map()
    accounts_by_token: Map[str, str] = Map()
    clock_offsets: Map[str, ClockOffset] = Map()
    ended_requests: tuple[str, ...] = ()
    changed_workloads: frozenset[str] = frozenset()
    stopping: bool = False
    records_handed_over: bool = False
    handover_deadline_ms: Millis | None = None
    stopped: bool = False


def new_state(options: EntryOptions) -> EntryState:
    """Return the initial state of an entry."""
    sync = options.sync
    return EntryState(
        options=options,
        sync=configuration.new_state(sync),
        routing=routing.RoutingState(
            zone=sync.zone,
            region=sync.region,
            seed=sync.incarnation_seed,
            options=options.routing,
        ),
        limits=limits.LimitsState(own_host=sync.host, options=options.limits),
        retries=retries.RetryState(
            options=options.retries, filled_at_ms=options.started_ms
        ),
        once=once.new_entry(
            sync.host,
            options.incarnation,
            options.started_ms,
            options.once,
            first_start=options.first_start,
        ),
    )


def is_ready(state: EntryState, now_ms: Millis) -> bool:
    """Return whether the entry can take callers' requests of every kind."""
    if not state.once.is_active(now_ms):
        return False
    catalogue = state.sync.catalogue_in_force
    return bool(catalogue.version and state.sync.roster.version) and not state.stopping
