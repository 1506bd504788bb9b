"""Test upstream selection against a naive model."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from immutables import Map

from nutmegslip_decisions.model import (
    Catalogue,
    Host,
    HostState,
    MarkState,
    RequestClass,
    Role,
    Roster,
    Workload,
    WorkloadKind,
)
from nutmegslip_decisions.routing import (
    LoadReported,
    NoUpstreamKind,
    Request,
    RequestEnded,
    RequestFailed,
    RequestRefused,
    RoutingEvent,
    RoutingOptions,
    RoutingState,
    UpstreamsChanged,
    choose,
    reduce,
)

NAMES = [f"m{index}" for index in range(6)]
ZONES = ["a", "b", "c"]
LIMITS = {"w": 8, "v": 4}
VALID_MS = RoutingOptions().report_valid_ms


def changed(
    now_ms: int,
    leaving: set[str] = frozenset(),
    out: set[str] = frozenset(),
    more: int = 0,
) -> UpstreamsChanged:
    """Return a change to six upstreams in three availability zones, with marks."""
    workloads = {
        name: Workload(
            name,
            "o",
            WorkloadKind.MODEL,
            RequestClass.INTERACTIVE,
            warm_limit=limit + more,
        )
        for name, limit in LIMITS.items()
    }
    hosts = {
        name: Host(
            name,
            Role.SIDECAR,
            "127.0.0.1:1",
            ZONES[index % 3],
            "r",
            HostState.LEAVING if name in leaving else HostState.LIVE,
            tuple(LIMITS),
        )
        for index, name in enumerate(NAMES)
    }
    marks = Map(dict.fromkeys(out, MarkState.OUT))
    catalogue = Catalogue(1, Map(workloads), host_marks=marks, zone_marks=marks)
    return UpstreamsChanged(now_ms, catalogue, Roster(1, Map(hosts)))


def started(seed: int = 1) -> RoutingState:
    state, _ = reduce(RoutingState("a", "r", seed), changed(0))
    for name in NAMES:
        state, _ = reduce(state, LoadReported(0, name, 0, 0))
    return state


times = st.sampled_from([0, 0, 1, 90, 400])
hosts = st.sampled_from(NAMES)
events = st.one_of(
    st.builds(
        changed,
        times,
        leaving=st.sets(hosts, max_size=1),
        out=st.sets(st.sampled_from(NAMES + ZONES), max_size=1),
        more=st.integers(0, 2),
    ),
    st.builds(
        LoadReported,
        times,
        hosts,
        st.integers(0, 10),
        st.integers(0, 3),
        st.booleans(),
        st.integers(0, 2),
    ),
    st.builds(RequestEnded, times, hosts),
    st.builds(RequestRefused, times, hosts, st.integers(0, 500)),
    st.builds(RequestFailed, times, hosts),
    st.builds(
        Request,
        st.sampled_from(sorted(LIMITS)),
        st.sampled_from(RequestClass),
        st.just("acme"),
        st.lists(st.binary(min_size=1, max_size=1), max_size=3).map(tuple),
        st.frozensets(hosts, max_size=5),
    ),
)


class NaiveModel:
    """A simple model of which hosts may take a request."""

    def __init__(self) -> None:
        self.others_in_flight = dict.fromkeys(NAMES, 0)
        self.own_in_flight = dict.fromkeys(NAMES, 0)
        self.cold = dict.fromkeys(NAMES, False)
        self.credits = dict.fromkeys(NAMES, 0)
        self.retry_at = dict.fromkeys(NAMES, 0)
        self.failures = dict.fromkeys(NAMES, 0)
        self.reported_at = dict.fromkeys(NAMES, 0)
        self.eligible = set(NAMES)
        self.limits = dict(LIMITS)

    def apply(self, event: RoutingEvent, now_ms: int) -> None:
        if isinstance(event, UpstreamsChanged):
            workloads = event.catalogue.workloads
            self.limits = {name: workloads[name].warm_limit for name in LIMITS}
            self.eligible = {
                host.name
                for host in event.roster.hosts.values()
                if host.state is HostState.LIVE
                and event.catalogue.takes_work(host.name, host.zone)
            }
            return
        name = event.host
        if isinstance(event, LoadReported):
            self.others_in_flight[name] = max(event.in_flight - event.own_in_flight, 0)
            self.cold[name], self.credits[name] = event.cold, event.credits
            self.reported_at[name] = now_ms
            return
        self.own_in_flight[name] = max(self.own_in_flight[name] - 1, 0)
        if isinstance(event, RequestEnded):
            self.failures[name] = 0
        if isinstance(event, RequestRefused):
            self.retry_at[name] = now_ms + max(event.retry_after_ms, 100)
        if isinstance(event, RequestFailed):
            self.retry_at[name] = now_ms + min(100 * 2 ** self.failures[name], 5_000)
            self.failures[name] += 1

    def sums(self, workload: str) -> tuple[int, int]:
        limit = self.limits[workload]
        loads = {
            name: self.others_in_flight[name] + self.own_in_flight[name]
            for name in self.eligible
        }
        rooms = (
            self.credits[name] if self.cold[name] else max(limit - load, 0)
            for name, load in loads.items()
        )
        return sum(loads.values()), sum(rooms)

    def may_take(self, request: Request, now_ms: int) -> set[str]:
        share = {"interactive": 1.0, "standard": 0.9, "batch": 0.7}
        limit = self.limits[request.workload] * share[request.request_class]
        return {
            name
            for name in self.eligible - request.excluded
            if self.retry_at[name] <= now_ms < self.reported_at[name] + VALID_MS
            and (
                self.credits[name] > 0
                if self.cold[name]
                else self.others_in_flight[name] + self.own_in_flight[name] < limit
            )
        }


class ChooseTests(unittest.TestCase):
    @given(st.integers(0, 9), st.lists(events, min_size=30, max_size=60))
    def test_chooses_only_hosts_that_a_naive_scan_allows(self, seed, steps):
        state, model, now_ms = started(seed), NaiveModel(), 0
        for step in steps:
            if not isinstance(step, Request):
                now_ms += step.now_ms
                model.apply(step, now_ms)
                fields = {f: getattr(step, f) for f in step.__dataclass_fields__}
                state, _ = reduce(state, type(step)(**fields | {"now_ms": now_ms}))
                continue
            allowed = model.may_take(step, now_ms)
            state, answer = choose(state, step, now_ms)
            if not allowed:
                self.assertTrue(answer.is_error())
                continue
            self.assertIn(answer.ok, allowed)
            model.own_in_flight[answer.ok] += 1
            model.credits[answer.ok] = max(model.credits[answer.ok] - 1, 0)
            for workload, pool in state.pools.items():
                self.assertEqual((pool.load, pool.room), model.sums(workload))

    def test_reports_why_there_is_no_upstream(self):
        request = Request("w", RequestClass.BATCH, "acme")
        full = started()
        for name in NAMES:
            full, _ = reduce(full, LoadReported(0, name, LIMITS["w"], 0))
        cases = [
            (RoutingState("a", "r", 1), request, NoUpstreamKind.NOT_SERVED),
            (reduce(started(), changed(0, out=ZONES))[0], request, "all-out"),
            (
                started(),
                request._replace(excluded=frozenset(NAMES)),
                NoUpstreamKind.ALL_TRIED,
            ),
            (full, request, NoUpstreamKind.ALL_BUSY),
        ]
        for state, asked, kind in cases:
            with self.subTest(kind):
                _, answer = choose(state, asked, 0)
                self.assertEqual(answer.error.kind, kind)
                self.assertIn(";", answer.error.message)

    def test_same_prefix_goes_to_one_host_until_its_load_bound(self):
        state, counts = started(), {}
        for _ in range(12):
            request = Request("w", RequestClass.INTERACTIVE, "acme", (b"1", b"2"))
            state, answer = choose(state, request, 0)
            counts[answer.ok] = counts.get(answer.ok, 0) + 1
        mean = sum(counts.values()) / len(NAMES)
        self.assertLessEqual(max(counts.values()), RoutingOptions().load_bound * mean)
