"""Generate expert popularity with drift and shifts, and one slow rank."""

from dataclasses import dataclass

import numpy as np

DAY_S = 86_400
SEASON_S = 90 * DAY_S


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run: its length, the interval of load reports, and its disturbances.

    The reports of a season are too far apart to follow a daily cycle, so it has none.
    """

    name: str
    length_s: int
    report_s: int
    shifts: int = 0
    straggler_speed: float = 1.0
    daily: bool = True


SCENARIOS = (
    Scenario("day", DAY_S, 240),
    Scenario("season", SEASON_S, 6 * 3600, daily=False),
    Scenario("shifts", DAY_S, 240, shifts=6),
    Scenario("straggler", DAY_S, 240, straggler_speed=0.6),
)


@dataclass(frozen=True, slots=True)
class Size:
    """The size of a group; a step processes ``step_tokens`` in every layer."""

    ranks: int
    experts: int
    layers: int
    slots_per_rank: int
    step_tokens: int


SIZES = {
    8: Size(8, 64, 2, 10, 8 * 512 * 8),
    64: Size(64, 128, 2, 3, 64 * 512 * 8),
}


class Workload:
    """Expert popularity in each layer and the speed of each rank over time."""

    def __init__(self, scenario: Scenario, size: Size, seed: int) -> None:
        self._scenario = scenario
        self._size = size
        rng = np.random.default_rng([seed, size.ranks])
        shape = (size.layers, size.experts)
        self._base = rng.normal(0.0, 0.8, shape)
        self._day = rng.normal(0.0, 0.4, shape) * scenario.daily
        self._day_phase = rng.uniform(0.0, 2 * np.pi, shape)
        self._season = rng.normal(0.0, 0.4, shape)
        self._season_phase = rng.uniform(0.0, 2 * np.pi, shape)
        self._shifts = [
            (at_s, rng.normal(0.0, 1.2, shape) * (rng.random(shape) < 0.1))
            for at_s in np.sort(rng.uniform(0, scenario.length_s, scenario.shifts))
        ]
        self._speeds = rng.normal(1.0, 0.02, size.ranks)
        self._slow_rank = int(rng.integers(size.ranks))

    def popularity(self, at_s: float) -> np.ndarray:
        """Return the share of each layer's tokens that goes to each expert."""
        day = np.sin(2 * np.pi * at_s / DAY_S + self._day_phase)
        season = np.sin(2 * np.pi * at_s / SEASON_S + self._season_phase)
        weights = self._base + self._day * day + self._season * season
        for shift_s, change in self._shifts:
            weights = weights + change * (at_s >= shift_s)
        parts = np.exp(weights)
        return parts / parts.sum(axis=1, keepdims=True)

    def speeds(self, at_s: float) -> np.ndarray:
        """Return each rank's speed; one is slow for the middle third of the run."""
        speeds = self._speeds.copy()
        third_s = self._scenario.length_s / 3
        if third_s <= at_s < 2 * third_s:
            speeds[self._slow_rank] *= self._scenario.straggler_speed
        return speeds

    def step_loads(self, at_s: float, rng: np.random.Generator) -> np.ndarray:
        """Return the tokens of one step for each layer and expert."""
        popularity = self.popularity(at_s)
        return np.array(
            [rng.multinomial(self._size.step_tokens, p) for p in popularity]
        )
