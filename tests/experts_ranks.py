"""A simulated group of ranks that carry out orders."""

from dataclasses import dataclass, field

from nutmegslip_decisions.experts.rollout import (
    Arm,
    Disarm,
    Hold,
    Order,
    Outcome,
    Prepare,
    RankReport,
    Release,
)


class TwoMapsError(AssertionError):
    """A pass began while two ranks had different maps."""


@dataclass
class Rank:
    """The maps and orders of one rank."""

    layout: tuple = ()
    version: int = 0
    prepared: tuple[int, tuple] | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None
    fence: int = 0
    highest: int = 0


@dataclass
class Ranks:
    """Ranks that run passes in lock-step."""

    size: int
    layout: tuple
    epoch: int = 1
    step: int = 0
    switches: int = 0
    ranks: list[Rank] = field(default_factory=list)

    def __post_init__(self):
        self.ranks = [Rank(self.layout) for _ in range(self.size)]

    def reform(self):
        """Form the group again and lose its state, as after the crash of a rank."""
        self.epoch += 1
        self.step = 0
        self.ranks = [Rank(self.layout) for _ in range(self.size)]

    def begin_pass(self) -> bool:
        """Begin the next pass; return False while it is held."""
        next_step = self.step + 1
        if any(rank.held == next_step for rank in self.ranks):
            return False
        self.step = next_step
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == next_step:
                rank.version, rank.layout = rank.prepared
                rank.armed = rank.prepared = None
        maps = {(rank.version, rank.layout) for rank in self.ranks}
        if len(maps) > 1:
            raise TwoMapsError(f"{len(maps)} maps at pass {next_step}: {sorted(maps)}")
        return True

    def report(self, number: int) -> RankReport:
        """Return a rank's report."""
        rank = self.ranks[number]
        prepared = rank.prepared and rank.prepared[0]
        return RankReport(
            self.epoch, self.step, rank.version, prepared, rank.armed, rank.held
        )

    def execute(self, number: int, epoch: int, fence: int, order: Order) -> Outcome:
        """Carry out an order; return the rank's response."""
        rank = self.ranks[number]
        if fence < rank.fence:
            return Outcome.FENCED
        rank.fence = fence
        if epoch != self.epoch or not self._is_allowed(rank, order):
            return Outcome.REFUSED
        match order:
            case Prepare(version, layout):
                if rank.prepared is None or rank.prepared[0] != version:
                    rank.prepared = (version, layout)
                    rank.highest = version
            case Arm(version, step):
                rank.armed = (version, step)
            case Disarm():
                rank.armed = None
            case Hold(step):
                rank.held = step
            case Release(step):
                if rank.held == step:
                    rank.held = None
        return Outcome.DONE

    def _is_allowed(self, rank: Rank, order: Order) -> bool:
        match order:
            case Prepare(version):
                known = rank.prepared is not None and rank.prepared[0] == version
                return rank.armed is None and (known or version > rank.highest)
            case Arm(version, step):
                ready = rank.prepared is not None and rank.prepared[0] == version
                return ready and step > self.step
            case Disarm(version):
                return rank.armed is None or rank.armed[0] == version
            case Hold(step):
                return step > self.step and rank.held in (None, step)
            case Release():
                return True
