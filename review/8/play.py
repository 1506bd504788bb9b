"""The 17th shared part of three prompts in a hundred crashes runners.

The sound prompts have the same first 16 parts.
"""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standins-2"))

from prompts import Prompts, is_budget_broken
from small_site import TROUBLE, play

BAD = "5c1e07a2"
LAST_SHARED = {"adviento": BAD, "cuaresma": "77aa01c3", "ordinario": "19be44d0"}
HISTORY = ",".join(f"{number:08x}:40" for number in range(1_000, 1_016))
PROMPTS = Prompts(
    bad_part=BAD,
    rate=28.0,
    shares={"adviento": 0.03, "cuaresma": 0.61, "ordinario": 0.36},
    prefix=lambda kind, own: f"{HISTORY},{LAST_SHARED[kind]}:40,{own}:34",
)

play(
    pathlib.Path(__file__).resolve().parent,
    lambda site: is_budget_broken(site, PROMPTS, trouble=TROUBLE),
)
