"""Name the ways in which a runner may answer."""

from enum import StrEnum


class Fault(StrEnum):
    """Say what a runner does with a request."""

    NONE = "none"
    SHED = "shed"  # refuses, and says that it has not run the request
    MISDIRECTED = "misdirected"  # another runner has the address
    ERROR = "error"  # runs the request and fails
    RESET = "reset"  # runs the request and resets the connection
    SILENT = "silent"  # runs the request and says nothing more
    RUBBISH = "rubbish"  # answers with bytes that are no HTTP
    SHORT = "short"  # ends before the length that it stated
    UNSEALED = "unsealed"  # a success that it does not vouch for
    NO_LENGTH = "no-length"  # ends the body by closing
    TWICE = "twice"  # a second answer follows the first
    OTHER_FIRST = "other-first"  # a late answer to another request comes first
    CUT_EVENT = "cut-event"  # a stream breaks off within an event
