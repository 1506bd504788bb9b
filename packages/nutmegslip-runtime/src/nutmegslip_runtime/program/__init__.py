"""Provide the process shell that both programs share."""

from nutmegslip_runtime.exits import ExitCode
from nutmegslip_runtime.program._metrics import Gauge
from nutmegslip_runtime.program._options import (
    ProcessIdentity,
    new_identity,
    once_options,
    sync_options,
)
from nutmegslip_runtime.program._shell import Shell, ShellParts

__all__ = [
    "ExitCode",
    "Gauge",
    "ProcessIdentity",
    "Shell",
    "ShellParts",
    "new_identity",
    "once_options",
    "sync_options",
]
