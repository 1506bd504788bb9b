"""Test fixtures for direct serving: a configuration, upstreams and one entry."""

from immutables import Map

from nutmegslip_decisions import direct
from nutmegslip_decisions.direct import (
    Account,
    CallerLimit,
    CallerRequest,
    Configuration,
    ConfigurationPublished,
    Effect,
    Event,
    HostLimits,
    ListingRead,
    Options,
    PeerReported,
    RequestArrived,
    RequestKind,
    RequestLimits,
    Route,
    Service,
    State,
    Target,
    Upstream,
    caller_limits,
    load_report,
    part_report,
)
from nutmegslip_entry.direct._caller_connections import CallerConnections
from nutmegslip_runtime.clock import boottime_ms

HOST = "hymns.example"
KEY = "key-1"

ROUTES = (
    Route(
        "lookups",
        HOST,
        "/lookups/",
        RequestKind.IDEMPOTENT,
        800,
        150,
        2,
        (Target("board", 1),),
        attempts=2,
    ),
    Route(
        "pushes",
        HOST,
        "/pushes/",
        RequestKind.NON_IDEMPOTENT,
        800,
        150,
        2,
        (Target("board", 1),),
    ),
    Route(
        "drafts",
        HOST,
        "/drafts/",
        RequestKind.NON_IDEMPOTENT,
        800,
        150,
        2,
        (Target("board", 1),),
        attempts=2,
    ),
    Route(
        "verses",
        HOST,
        "/verses/",
        RequestKind.STREAM,
        8_000,
        400,
        1,
        (Target("model", 1),),
        attempts=2,
        resumable=True,
        gap_ms=120,
    ),
    Route(
        "open",
        HOST,
        "/open/",
        RequestKind.IDEMPOTENT,
        800,
        150,
        2,
        (Target("board", 1),),
        public=True,
    ),
)


def configuration(version: int = 1, **changes: object) -> Configuration:
    """Return a published version with five routes and two services."""
    base = Configuration(
        version=version,
        routes=ROUTES,
        services=Map(
            {"board": Service("board"), "model": Service("model", cold_per_s=20.0)}
        ),
        limits=RequestLimits(),
        accounts=Map({KEY: Account("parish", 1)}),
    )
    return base._replace(**changes)


def upstream(name: str, service: str = "board", **changes: object) -> Upstream:
    """Return an upstream with two slots in zone a."""
    base = Upstream(name, service, "127.0.0.1", 9_000, "a", slots=2)
    return base._replace(**changes)


def crash_report(now_ms: int, number: int, world: "World") -> PeerReported:
    """Return what an entry reports of its load and of crashes."""
    load = Map(load_report(world.state))
    return PeerReported(now_ms, f"10.0.0.{number}", load, part_report(world.state))


class World:
    """An entry that events are fed to, with its clock and state."""

    def __init__(self, *upstreams: Upstream, options: Options | None = None) -> None:
        self.now_ms = 1_000_000
        self.state = State(options or Options("entry-1", budget_slack=100.0))
        self.tickets = 0
        self.take(ConfigurationPublished(self.now_ms, configuration()))
        self.take(ListingRead(self.now_ms, upstreams))

    def take(self, event: Event) -> tuple[Effect, ...]:
        """Reduce one event and return its effects."""
        self.state, effects = direct.reduce(self.state, event)
        return effects

    def arrive(
        self,
        path: str = "/lookups/1",
        *,
        key: str | None = KEY,
        wait_ms: int | None = None,
        request_id: str = "",
        parts: tuple[str, ...] = (),
        fingerprint: str = "",
    ) -> tuple[Effect, ...]:
        """Submit a caller's request and return the immediate effects."""
        self.tickets += 1
        deadline_ms = None if wait_ms is None else self.now_ms + wait_ms
        name = request_id or f"r{self.tickets}"
        caller_request = CallerRequest(
            self.tickets, name, HOST, path, key, deadline_ms, parts, fingerprint
        )
        return self.take(RequestArrived(self.now_ms, caller_request))


def caller_connections() -> CallerConnections:
    """Return the connections of an entry on a host of the usual size."""
    refusals: list[CallerLimit] = []
    limits = caller_limits(HostLimits())
    return CallerConnections(limits, boottime_ms, refusals.append)
