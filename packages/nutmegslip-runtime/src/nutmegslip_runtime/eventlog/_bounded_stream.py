"""Write text to a file descriptor without waiting for its reader.

Answers the load pattern in which what reads the log stands still: a write would block,
and with it all requests. What does not fit into the buffer is dropped and counted.
"""

import os
from collections import deque

import gevent
from gevent.threadpool import ThreadPool

MAX_PENDING_CHARS = 4_194_304  # some 15,000 lines


class BoundedStream:
    """A text stream that a thread writes; ``dropped`` counts lines that did not fit."""

    def __init__(
        self, descriptor: int, max_pending_chars: int = MAX_PENDING_CHARS
    ) -> None:
        self._descriptor = descriptor
        self._max_pending_chars = max_pending_chars
        self._pending: deque[str] = deque()
        self._pending_chars = 0
        self._writer: gevent.Greenlet | None = None
        self._threads = ThreadPool(1)
        self.dropped = 0

    @property
    def is_stalled(self) -> bool:
        """Return whether so much is pending that the next lines may be dropped."""
        return self._pending_chars > self._max_pending_chars // 2

    def write(self, text: str) -> None:
        """Buffer a line; drop it if the buffer is full."""
        if self._pending_chars + len(text) > self._max_pending_chars:
            self.dropped += 1
            return
        self._pending.append(text)
        self._pending_chars += len(text)
        if self._writer is None or self._writer.dead:
            self._writer = gevent.spawn(self._write_pending)

    def flush(self) -> None:
        """Do nothing: the writer begins as soon as the event loop turns."""

    def finish(self, timeout_s: float) -> None:
        """Wait until all is written, or for the time-out if the reader stands still."""
        if self._writer is not None:
            self._writer.join(timeout_s)

    def _write_pending(self) -> None:
        while self._pending:
            text = "".join(self._pending)
            lines = len(self._pending)
            self._pending.clear()
            if not self._threads.apply(_write_all, (self._descriptor, text.encode())):
                self.dropped += lines
            self._pending_chars -= len(text)


def _write_all(descriptor: int, data: bytes) -> bool:
    """Write all bytes; return whether the reader has taken them."""
    remaining = memoryview(data)
    try:
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]
    except OSError:
        return False  # the reader is gone; the caller counts the lines
    return True
