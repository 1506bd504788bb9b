"""Name the exit codes of both programs."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Say how a program ended."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    DRAIN_TIMED_OUT = 3  # a graceful stop ran out of time with requests in hand
