"""Faults that a fake runner can inject."""

from enum import StrEnum


class Fault(StrEnum):
    """Way in which a runner handles a request."""

    NONE = "none"
    SHED = "shed"  # refuses, and reports that it has not run the request
    PAUSE = "pause"  # refuses, and asks for a pause with Retry-After
    MISDIRECTED = "misdirected"  # responds as if another runner has the address
    ERROR = "error"  # runs the request and responds 500
    RESET = "reset"  # runs the request and resets the connection
    SILENT = "silent"  # runs the request and never responds
    RUBBISH = "rubbish"  # responds with bytes that are not HTTP
    STATUS_000 = "status-000"  # responds with this status, otherwise soundly
    STATUS_600 = "status-600"  # the same; HTTP ends at 599
    SHORT = "short"  # the body is shorter than its Content-Length
    UNSEALED = "unsealed"  # a success without the response seal
    NO_LENGTH = "no-length"  # no Content-Length; closing ends the body
    TWICE = "twice"  # the response is sent twice
    OTHER_FIRST = "other-first"  # a late response to another request comes first
    CUT_EVENT = "cut-event"  # a stream ends within an event
    CLOSE_CUT = "close-cut"  # the same, of a stream that only the close ends
    CLOSE_RESET = "close-reset"  # a reset ends such a stream between two events
    CLOSE_EMPTY = "close-empty"  # such a stream ends before its first event
    COPY_LATE = "copy-late"  # before the next answer comes a copy of this one, no id
    SHED_UNNAMED = "shed-unnamed"  # refuses without the id of the request
    SHED_LATE = "shed-late"  # before the next answer comes a refusal without an id
    DRIP = "drip"  # a stream stalls within an event and sends a byte now and then
    SLOW = "slow"  # a stream's events come with long pauses
    ENDLESS_HEAD = "endless-head"  # the head of the response does not end
    ENDLESS_BODY = "endless-body"  # bytes that are no body of a response, without end
    ENDLESS_CHUNKS = "endless-chunks"  # the same in chunks of a few bytes
    ENDLESS_OTHERS = "endless-others"  # responses to other requests, without end
    ENDLESS_SHED = "endless-shed"  # refuses, and the body of the refusal has no end
    STALLED_SHED = "stalled-shed"  # refuses, and the body of the refusal never comes


ENDLESS = (
    Fault.ENDLESS_HEAD,
    Fault.ENDLESS_BODY,
    Fault.ENDLESS_CHUNKS,
    Fault.ENDLESS_OTHERS,
    Fault.ENDLESS_SHED,
)
