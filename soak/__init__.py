"""Run real entries against fakes, with faults drawn from a seed."""

from soak._run import Outcome, run, run_steps
from soak._schedule import Action, Step, plan

__all__ = ["Action", "Outcome", "Step", "plan", "run", "run_steps"]
