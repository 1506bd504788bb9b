"""Split a streamed answer into complete events and track the last event id.

An upstream may fail in the middle of an event. Only complete events are passed on,
so that another upstream can resume after the last one.
"""

import re

EVENT_END = b"\n\n"
# An id is sent in a header, and compared as a number where it is one.
EVENT_ID = re.compile(rb"^id: ?([!-~]{1,64})[ \t]*$", re.MULTILINE)
COMMENTS = re.compile(rb"(?:(?::.*)?\n)*")
MAX_EVENT_BYTES = 1_048_576


class EventSplitter:
    """A buffer for the incomplete end of a stream; ``last_id`` is empty at first.

    ``may_resume`` is whether another upstream can go on after the events so far, so
    whether the last one has an id. ``is_repeated`` is whether one went on too early.
    Each byte is copied and searched once, however small the pieces are.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.may_resume = True
        self.is_repeated = False
        self._resumed_after = ""
        self._partial = bytearray()

    @property
    def is_complete(self) -> bool:
        """Return whether no incomplete event is buffered; blank lines are none."""
        return not self.rest.strip(b"\n")

    @property
    def rest(self) -> bytes:
        """Return the buffered bytes."""
        return bytes(self._partial)

    @property
    def is_too_long(self) -> bool:
        """Return whether the buffered bytes are too many for an unfinished event."""
        return len(self._partial) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, empty if there are none."""
        unsearched = max(len(self._partial) - len(EVENT_END) + 1, 0)
        self._partial += data
        end = self._partial.rfind(EVENT_END, unsearched)
        if end < 0:
            return b""
        end += len(EVENT_END)
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        self._record_ids(complete)
        return complete

    def restart(self) -> None:
        """Drop the incomplete event; the next upstream sends it again."""
        self._partial.clear()
        self._resumed_after = self.last_id
        self.is_repeated = False

    def _record_ids(self, complete: bytes) -> None:
        ids = EVENT_ID.findall(complete)
        if ids and self._resumed_after:
            self.is_repeated = not _is_after(ids[0].decode(), self._resumed_after)
            self._resumed_after = ""
        if self.is_repeated:
            return
        if ids:
            self.last_id = ids[-1].decode()
        blocks = reversed(complete.split(EVENT_END))
        events = (b for b in blocks if not COMMENTS.fullmatch(b + b"\n"))
        last = next(events, None)
        if last is not None:
            self.may_resume = EVENT_ID.search(last) is not None


def _is_after(event_id: str, earlier: str) -> bool:
    """Return whether an id follows another one; ids increase where they are numbers."""
    if event_id.isdigit() and earlier.isdigit():
        return int(event_id) > int(earlier)
    return event_id != earlier
