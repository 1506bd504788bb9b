"""Define the exit codes of both programs."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The exit code of a program."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    DRAIN_TIMED_OUT = 3  # a graceful stop timed out with requests in flight
