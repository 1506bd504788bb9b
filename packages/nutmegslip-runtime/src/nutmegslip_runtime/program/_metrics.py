"""Export event counts and state as Prometheus metrics."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from prometheus_client import CollectorRegistry, Counter, ProcessCollector
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from nutmegslip_decisions.configuration import SyncState, may_take_work
from nutmegslip_decisions.log_events import LogEvent
from nutmegslip_decisions.model import Millis


class Gauge(NamedTuple):
    """One value of state; its exported name is prefixed with ``nutmegslip_``."""

    name: str
    help: str
    value: float


class Metrics:
    """The metrics of one process."""

    def __init__(self, gauges: Callable[[], Iterable[Gauge]]) -> None:
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        self._registry.register(_StateCollector(gauges))
        self._events = Counter(
            "nutmegslip_events",
            "Log events, by name as in the event catalogue.",
            ["event"],
            registry=self._registry,
        )

    @property
    def registry(self) -> CollectorRegistry:
        """Return the registry that holds every metric."""
        return self._registry

    def count(self, event: LogEvent) -> None:
        """Count one event."""
        self._events.labels(str(event.kind)).inc()


def sync_gauges(state: SyncState, now_ms: Millis, links: int) -> tuple[Gauge, ...]:
    """Return the gauges that both programs have."""
    refused = len(state.catalogue.errors) + len(state.hosts.errors)
    return (
        Gauge(
            "catalogue_version",
            "Version of the catalogue in force.",
            state.catalogue.version,
        ),
        Gauge("hosts_version", "Version of the list of hosts.", state.hosts.version),
        Gauge("configuration_errors", "Published values that are refused.", refused),
        Gauge(
            "lease_held",
            "1 while the lease on taking work is held.",
            may_take_work(state, now_ms),
        ),
        Gauge("links_up", "Hosts to which a link stands.", links),
    )


class _StateCollector(Collector):
    """A collector that reads gauges at the time of a scrape."""

    def __init__(self, gauges: Callable[[], Iterable[Gauge]]) -> None:
        self._gauges = gauges

    def describe(self) -> list:
        return []

    def collect(self) -> Iterable[GaugeMetricFamily]:
        for name, text, value in self._gauges():
            yield GaugeMetricFamily(f"nutmegslip_{name}", text, value=float(value))
