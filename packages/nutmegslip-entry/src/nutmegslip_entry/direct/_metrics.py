"""Count events and measure the duration of requests."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
)

from nutmegslip_decisions.direct import (
    CallerLimit,
    State,
    hedge_limit,
    open_share,
    retry_budget,
)
from nutmegslip_decisions.model import Millis
from nutmegslip_entry.direct._pool import Pool

REQUEST_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 8.0)


class Metrics:
    """Metrics of an entry that sends to upstreams directly."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self._events = Counter(
            "nutmegslip_events", "Events, by name.", ["event"], registry=self.registry
        )
        self._request_seconds = Histogram(
            "nutmegslip_request_seconds",
            "From a whole request to the end of its answer.",
            buckets=REQUEST_BUCKETS_S,
            registry=self.registry,
        )
        self._longest_turn_seconds = Gauge(
            "nutmegslip_longest_turn_seconds",
            "Longest time in the last second in which one greenlet ran alone.",
            registry=self.registry,
        )
        self._dropped_lines = Gauge(
            "nutmegslip_dropped_log_lines",
            "Log lines dropped since the start, as the log was not read.",
            registry=self.registry,
        )
        self._in_flight = Gauge(
            "nutmegslip_requests_in_hand",
            "Requests without a final answer.",
            registry=self.registry,
        )
        self._waiting = Gauge(
            "nutmegslip_requests_waiting",
            "Requests that wait for a slot.",
            registry=self.registry,
        )
        self._store_calls = Gauge(
            "nutmegslip_store_calls", "Calls to the store.", registry=self.registry
        )
        self._store_revision = Gauge(
            "nutmegslip_store_revision",
            "The store's revision up to which all changes are in force.",
            registry=self.registry,
        )
        self._store_age_seconds = Gauge(
            "nutmegslip_store_age_seconds",
            "Time since the store last answered.",
            registry=self.registry,
        )
        self._version = Gauge(
            "nutmegslip_version_in_force",
            "The version in force.",
            registry=self.registry,
        )
        self._retries = Gauge(
            "nutmegslip_retries",
            "Retries that this entry sent in the budget window.",
            ["service"],
            registry=self.registry,
        )
        self._retries_allowed = Gauge(
            "nutmegslip_retries_allowed",
            "Retries that this entry may send in the budget window.",
            ["service"],
            registry=self.registry,
        )
        self._connections = Gauge(
            "nutmegslip_upstream_connections",
            "Uses of a connection to an upstream since the start: opened or reused.",
            ["use"],
            registry=self.registry,
        )
        self._held_body_bytes = Gauge(
            "nutmegslip_held_body_bytes",
            "Bytes of callers' requests, and of answers that are read or sent.",
            registry=self.registry,
        )
        self._refused_bodies = Gauge(
            "nutmegslip_refused_bodies",
            "Long answers given up since all bodies together took too much memory.",
            registry=self.registry,
        )
        self._caller_connections = Gauge(
            "nutmegslip_caller_connections",
            "Open connections of callers.",
            registry=self.registry,
        )
        self._refused_callers = Counter(
            "nutmegslip_refused_callers",
            "Connections of callers that were ended, by the limit that was reached.",
            ["limit"],
            registry=self.registry,
        )
        self._hedges = Gauge(
            "nutmegslip_hedges",
            "Second attempts of slow requests that this entry sent in the window.",
            ["service"],
            registry=self.registry,
        )
        self._hedges_allowed = Gauge(
            "nutmegslip_hedges_allowed",
            "Second attempts of slow requests that this entry may send in the window.",
            ["service"],
            registry=self.registry,
        )
        self._limited_upstreams = Gauge(
            "nutmegslip_limited_upstreams",
            "Upstreams that name a limit on the requests that they take.",
            registry=self.registry,
        )
        self._open_slots_share = Gauge(
            "nutmegslip_open_slots_share",
            "Share of a group's slots that event gaps allow to take.",
            ["service", "group"],
            registry=self.registry,
        )
        self._fair_slots = Gauge(
            "nutmegslip_fair_slots",
            "Slots that an account gets before others, 0 while there are enough.",
            ["service"],
            registry=self.registry,
        )
        self._slow_ranks = Gauge(
            "nutmegslip_slow_ranks",
            "Ranks that report to be slow; they get no new streams while others can.",
            registry=self.registry,
        )
        self._blamed_parts = Gauge(
            "nutmegslip_blamed_parts",
            "Prompt parts that crash upstreams; requests with them are refused.",
            registry=self.registry,
        )

    def count_event(self, event: str) -> None:
        """Count one event."""
        self._events.labels(event).inc()

    def observe_request(self, milliseconds: int) -> None:
        """Record the duration of one served request."""
        self._request_seconds.observe(milliseconds / 1_000)

    def observe_turn(self, milliseconds: int) -> None:
        """Record the longest turn of the last second."""
        self._longest_turn_seconds.set(milliseconds / 1_000)

    def update_store(self, revision: int, age_ms: int) -> None:
        """Set the position of what is in force, and its age."""
        self._store_revision.set(revision)
        self._store_age_seconds.set(age_ms / 1_000)

    def update_dropped_lines(self, count: int) -> None:
        """Set how many log lines were dropped."""
        self._dropped_lines.set(count)

    def update_pool(self, pool: Pool) -> None:
        """Set the gauges of connections to upstreams and of what is read from them."""
        self._connections.labels("opened").set(pool.opened)
        self._connections.labels("reused").set(pool.reused)
        self._held_body_bytes.set(pool.held_bodies.held_bytes)
        self._refused_bodies.set(pool.held_bodies.refused)

    def count_refused_caller(self, limit: CallerLimit) -> None:
        """Count a connection of a caller that was ended for a limit."""
        self._refused_callers.labels(str(limit)).inc()

    def update_callers(self, connections: int) -> None:
        """Set how many connections of callers are open."""
        self._caller_connections.set(connections)

    def update_gauges(self, state: State, store_calls: int, now_ms: Millis) -> None:
        """Set the gauges from a state."""
        configuration = state.configuration
        self._in_flight.set(len(state.requests))
        self._waiting.set(sum(len(queue) for queue in state.waiting.values()))
        self._store_calls.set(store_calls)
        self._version.set(configuration.version if configuration else 0)
        self._blamed_parts.set(len(state.parts.blames))
        self._slow_ranks.set(len(state.slow_ranks))
        limits = state.named_limits.values()
        self._limited_upstreams.set(sum(limit.per_s is not None for limit in limits))
        for service in state.loads:
            upstreams = (state.upstreams[u] for u in state.by_service.get(service, ()))
            for group in {upstream.group for upstream in upstreams}:
                share = open_share(state, service, group, now_ms)
                self._open_slots_share.labels(service, group).set(share)
            self._fair_slots.labels(service).set(state.fair_slots.get(service, 0))
            budget = retry_budget(state, service, now_ms)
            self._retries.labels(service).set(budget.retries)
            self._retries_allowed.labels(service).set(budget.allowed)
            limit = hedge_limit(state, service, now_ms)
            self._hedges.labels(service).set(limit.sent)
            self._hedges_allowed.labels(service).set(limit.allowed)
