"""Run real entries against fakes, with faults drawn from a seed."""

from soak._run import Outcome, run
from soak._schedule import Step, plan

__all__ = ["Outcome", "Step", "plan", "run"]
