"""The operator's catalogue after validation."""

from enum import StrEnum
from typing import NamedTuple

from immutables import Map


class WorkloadKind(StrEnum):
    """The kind of upstream that serves a workload."""

    MODEL = "model"
    SERVICE = "service"


class RequestClass(StrEnum):
    """The class of a request for admission and shedding, highest priority first."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"


class MarkState(StrEnum):
    """Whether a host or availability zone may take work."""

    IN = "in"
    OUT = "out"


class Limits(NamedTuple):
    """The limits of one workload or client account across all entries.

    ``requests_per_second`` and ``burst`` define a token bucket; ``concurrent``
    bounds the requests in flight. Zero means no limit.
    """

    requests_per_second: float = 0.0
    burst: int = 0
    concurrent: int = 0


class Workload(NamedTuple):
    """One workload of the catalogue.

    ``cold_limit`` and ``warm_limit`` bound the concurrent requests of one upstream
    while it is cold and while it is warm. ``repeatable`` is false if requests are
    not idempotent. ``checks_fencing`` states that the engine refuses an order with
    a stale fencing number; orders carry one in either case.
    """

    name: str
    owner: str
    kind: WorkloadKind
    request_class: RequestClass
    limits: Limits = Limits()
    repeatable: bool = True
    cold_limit: int = 2
    warm_limit: int = 64
    timeout_ms: int = 30_000
    checks_fencing: bool = False


class Account(NamedTuple):
    """One client account.

    ``key_sha256`` are the hex digests of the account's bearer tokens. ``weight`` is
    its share when a workload is overloaded.
    """

    name: str
    key_sha256: tuple[str, ...]
    limits: Limits = Limits()
    weight: int = 1


class Catalogue(NamedTuple):
    """The catalogue in force at one version."""

    version: int
    workloads: Map[str, Workload] = Map()
    accounts: Map[str, Account] = Map()
    zone_marks: Map[str, MarkState] = Map()
    host_marks: Map[str, MarkState] = Map()

    def takes_work(self, host: str, zone: str) -> bool:
        """Return whether neither the host nor its availability zone is marked out."""
        marks = (self.host_marks.get(host), self.zone_marks.get(zone))
        return MarkState.OUT not in marks
