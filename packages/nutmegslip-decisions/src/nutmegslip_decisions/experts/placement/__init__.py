"""Place the experts of each layer so that all ranks finish together."""

from nutmegslip_decisions.experts._layer import SHARE_UNIT, LayerMap, Placement
from nutmegslip_decisions.experts.placement._even import EvenPlan, Slots, plan_even
from nutmegslip_decisions.experts.placement._first import place_from_nothing
from nutmegslip_decisions.experts.placement._plan import (
    LoadReport,
    PlacementOptions,
    Plan,
    plan,
    smooth,
)

__all__ = [
    "SHARE_UNIT",
    "EvenPlan",
    "LayerMap",
    "LoadReport",
    "Placement",
    "PlacementOptions",
    "Plan",
    "Slots",
    "place_from_nothing",
    "plan",
    "plan_even",
    "smooth",
]
