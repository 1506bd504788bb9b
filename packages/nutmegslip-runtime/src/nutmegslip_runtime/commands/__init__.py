"""The command line of both programs."""

from nutmegslip_runtime.commands._command_line import run_command_line

__all__ = ["run_command_line"]
