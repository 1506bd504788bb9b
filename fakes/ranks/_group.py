"""Advance the steps of a group; a step starts when every rank has a permit."""

from dataclasses import dataclass, field
from typing import Any, NamedTuple, TypedDict

import gevent
from gevent.event import Event

from fakes._serving import now_ms

SHARE_UNIT = 1_000
POLL_S = 0.002

#: For each layer, the experts of each rank and the shares of each rank.
Layers = list[list[list[list[int]]]]


class LoadedMap(TypedDict):
    """A map whose weights a rank has loaded."""

    version: int
    digest: str
    layers: Layers


class Permit(NamedTuple):
    """Permission for one rank to enter one step with one map."""

    step: int
    digest: str
    incarnation: str
    fence: int = 0


class StepRecord(TypedDict):
    """A step that ran, with the map, incarnation and duration of each rank."""

    step: int
    maps: list[str]
    incarnations: list[str]
    rank_ms: list[float]
    started_ms: int


class RefusedError(Exception):
    """The rank refused an order."""


@dataclass(slots=True)
class Member:
    """State of one rank's engine."""

    attached: str | None = None
    loaded: dict[str, LoadedMap] = field(default_factory=dict)
    map: LoadedMap | None = None
    permit: Permit | None = None
    fence: int = 0


class Group:
    """The ranks of a group and the record of its steps.

    With ``checks_fencing``, a rank refuses an order whose fencing number is below
    the highest one that it has received; otherwise the number is ignored.
    """

    def __init__(
        self, ranks: int, step_ms: float, experts: int, checks_fencing: bool = True
    ) -> None:
        self.members = [Member() for _ in range(ranks)]
        self.entered_step = -1
        self.wanted_step = 0
        self.records: list[StepRecord] = []
        self.expert_load = [1.0] * experts
        self.slow_factors = [1.0] * ranks
        self.stalled: set[int] = set()
        self._step_ms = step_ms
        self._checks_fencing = checks_fencing
        self._permit_received = Event()
        gevent.spawn(self._step_forever)

    def attach(self, rank: int, incarnation: str) -> dict[str, Any]:
        """Attach a sidecar incarnation in place of any other; return the state."""
        member = self.members[rank]
        member.attached = incarnation
        member.permit = None
        return {
            "step": self.entered_step,
            "map": member.map,
            "loaded": sorted(member.loaded),
            "fence": member.fence,
        }

    def check_attached(self, rank: int, incarnation: str) -> None:
        """Raise ``RefusedError`` unless this incarnation is attached to the rank."""
        if self.members[rank].attached != incarnation:
            raise RefusedError("another sidecar incarnation is attached")

    def load(self, rank: int, loaded_map: LoadedMap, fence: int) -> None:
        """Record that a rank has loaded the weights of a map."""
        self._check_fence(rank, fence)
        self.members[rank].loaded[loaded_map["digest"]] = loaded_map

    def permit(self, rank: int, permit: Permit) -> None:
        """Let a rank enter the wanted step; a later permit replaces an earlier one."""
        member = self.members[rank]
        self.check_attached(rank, permit.incarnation)
        self._check_fence(rank, permit.fence)
        if permit.step != self.wanted_step:
            raise RefusedError(f"the wanted step is {self.wanted_step}")
        if permit.digest not in member.loaded:
            raise RefusedError("the weights of the map are not loaded")
        member.permit = permit
        self._permit_received.set()

    def wait_for_step(self, rank: int, after: int, wait_ms: int) -> int:
        """Return the wanted step, waiting up to ``wait_ms`` for one above ``after``."""
        with gevent.Timeout(wait_ms / 1_000, False):
            while self.wanted_step <= after and self.members[rank].attached:
                gevent.sleep(POLL_S)
        if not self.members[rank].attached:
            raise RefusedError("no sidecar incarnation is attached")
        return self.wanted_step

    def restart(self, rank: int) -> None:
        """Reset the state of a rank's engine, except its fencing number."""
        self.members[rank] = Member(fence=self.members[rank].fence)

    def paces(self) -> list[float]:
        """Return each rank's load per millisecond in the last step."""
        if not self.records:
            return [1.0] * len(self.members)
        last_ms = self.records[-1]["rank_ms"]
        loads = [self._assigned_load(member) for member in self.members]
        return [
            load / ms if ms else 1.0 for load, ms in zip(loads, last_ms, strict=True)
        ]

    def _check_fence(self, rank: int, fence: int) -> None:
        member = self.members[rank]
        if self._checks_fencing and fence < member.fence:
            raise RefusedError(
                f"the fencing number is below {member.fence}, the highest received"
            )
        member.fence = max(member.fence, fence)

    def _step_forever(self) -> None:
        while True:
            self._permit_received.wait()
            self._permit_received.clear()
            if all(member.permit for member in self.members):
                self._run_step()

    def _run_step(self) -> None:
        self.entered_step = self.wanted_step
        permits = [member.permit for member in self.members]
        for member, permit in zip(self.members, permits, strict=True):
            member.map, member.permit = member.loaded[permit.digest], None
        rank_ms = [
            self._step_ms * self._relative_load(member) * slow
            for member, slow in zip(self.members, self.slow_factors, strict=True)
        ]
        record = StepRecord(
            step=self.entered_step,
            maps=[permit.digest for permit in permits],
            incarnations=[permit.incarnation for permit in permits],
            rank_ms=rank_ms,
            started_ms=now_ms(),
        )
        self.records.append(record)
        gevent.sleep(max(rank_ms) / 1_000)
        while self.stalled:
            gevent.sleep(POLL_S)
        self.wanted_step = self.entered_step + 1

    def _relative_load(self, member: Member) -> float:
        total = sum(self.expert_load)
        return self._assigned_load(member) * len(self.members) / total if total else 1.0

    def _assigned_load(self, member: Member) -> float:
        """Return the load of a rank on the first layer."""
        if member.map is None:
            return sum(self.expert_load) / len(self.members)
        slots, shares = member.map["layers"][0]
        rank = self.members.index(member)
        return sum(
            self.expert_load[expert] * share / SHARE_UNIT
            for expert, share in zip(slots[rank], shares[rank], strict=True)
        )
