"""Split a streamed answer into whole events and remember the last id.

An upstream may end in the middle of an event. Only whole events are passed on, so
that another upstream can go on after the last one.
"""

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Hold back the unfinished end of a stream; ``last_id`` is empty at first."""

    def __init__(self) -> None:
        self.last_id = ""
        self._rest = b""

    @property
    def is_whole(self) -> bool:
        """Return whether no unfinished event is held back."""
        return not self._rest

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, empty where there are none."""
        held = self._rest + data
        end = held.rfind(EVENT_END)
        if end < 0:
            self._rest = held
            return b""
        end += len(EVENT_END)
        whole, self._rest = held[:end], held[end:]
        self._remember_last_id(whole)
        return whole

    def restart(self) -> None:
        """Drop the unfinished event; the next upstream sends it whole."""
        self._rest = b""

    def _remember_last_id(self, whole: bytes) -> None:
        start = whole.rfind(b"\n" + ID_FIELD)
        start = start + 1 if start >= 0 else 0 if whole.startswith(ID_FIELD) else -1
        if start < 0:
            return
        line = whole[start + len(ID_FIELD) :].split(b"\n", 1)[0]
        self.last_id = line.strip().decode("latin-1")
