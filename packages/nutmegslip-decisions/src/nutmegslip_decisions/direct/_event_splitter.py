"""Split a streamed answer into complete events and track the last event id.

An upstream may fail in the middle of an event. Only complete events are passed on,
so that another upstream can resume after the last one.
"""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1_048_576


class EventSplitter:
    """A buffer for the incomplete end of a stream; ``last_id`` is empty at first.

    Each byte is copied and searched once, however small the pieces are.
    """

    def __init__(self) -> None:
        self.last_id = ""
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
        self._remember_last_id(complete)
        return complete

    def restart(self) -> None:
        """Drop the incomplete event; the next upstream sends it again."""
        self._partial.clear()

    def _remember_last_id(self, complete: bytes) -> None:
        start = complete.rfind(b"\n" + ID_FIELD)
        start = start + 1 if start >= 0 else 0 if complete.startswith(ID_FIELD) else -1
        if start < 0:
            return
        line = complete[start + len(ID_FIELD) :].split(b"\n", 1)[0]
        self.last_id = line.strip().decode("latin-1")
