"""Run real entries before stand-ins and break things from outside, by a seed."""

from soak._run import Outcome, run
from soak._schedule import Step, plan

__all__ = ["Outcome", "Step", "plan", "run"]
