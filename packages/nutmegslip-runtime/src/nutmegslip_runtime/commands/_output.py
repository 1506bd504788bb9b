"""Print results and errors."""

import sys
from collections.abc import Iterable

from nutmegslip_runtime.program import ExitCode


def print_result(text: str) -> int:
    """Print a result; return the exit code for success."""
    print(text)
    return ExitCode.OK


def print_errors(errors: Iterable[object]) -> int:
    """Print errors to standard error; return the exit code for invalid input."""
    for error in errors:
        print(getattr(error, "message", error), file=sys.stderr)
    return ExitCode.BAD_INPUT
