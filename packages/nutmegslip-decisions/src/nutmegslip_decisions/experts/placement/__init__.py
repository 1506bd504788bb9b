"""Placement of each layer's experts so that all ranks finish together."""

from nutmegslip_decisions.experts._layer import SHARE_UNIT, LayerMap, Placement
from nutmegslip_decisions.experts.placement._even_shares import (
    EvenSharePlan,
    Slots,
    is_copied_fast,
    moves_per_layer,
    plan_even_shares,
)
from nutmegslip_decisions.experts.placement._from_scratch import place_from_scratch
from nutmegslip_decisions.experts.placement._plan import (
    LoadReport,
    PlacementOptions,
    Plan,
    plan,
    smooth,
)

__all__ = [
    "SHARE_UNIT",
    "EvenSharePlan",
    "LayerMap",
    "LoadReport",
    "Placement",
    "PlacementOptions",
    "Plan",
    "Slots",
    "is_copied_fast",
    "moves_per_layer",
    "place_from_scratch",
    "plan",
    "plan_even_shares",
    "smooth",
]
