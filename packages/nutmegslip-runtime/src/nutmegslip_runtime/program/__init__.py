"""Hold what the shells of both programs share."""

from nutmegslip_runtime.exits import ExitCode
from nutmegslip_runtime.program._meters import Gauge
from nutmegslip_runtime.program._options import (
    Life,
    new_life,
    once_options,
    sync_options,
)
from nutmegslip_runtime.program._shell import Shell, ShellParts

__all__ = [
    "ExitCode",
    "Gauge",
    "Life",
    "Shell",
    "ShellParts",
    "new_life",
    "once_options",
    "sync_options",
]
