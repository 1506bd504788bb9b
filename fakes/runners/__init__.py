"""Fake of a runner on the users' platform, healthy or faulty."""

from fakes.runners._faults import ENDLESS, Fault
from fakes.runners._runner import Arrival, Runner

__all__ = ["ENDLESS", "Arrival", "Fault", "Runner"]
