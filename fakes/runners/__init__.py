"""Stand in for a runner of the users' platform, sound or faulty."""

from fakes.runners._faults import Fault
from fakes.runners._runner import Runner

__all__ = ["Fault", "Runner"]
