"""Batch the pieces of all streams for a short time."""

from collections.abc import Callable

import gevent

from nutmegslip_decisions.sidecar import EnginePieces, SidecarEvent
from nutmegslip_decisions.work import Pieces
from nutmegslip_runtime.process import monotonic_ms

FLUSH_DELAY_S = 0.005  # the most that batching adds between two tokens


class _PieceRun:
    """Consecutive pieces of one stream."""

    __slots__ = ("first", "pieces")

    def __init__(self, first: int) -> None:
        self.first = first
        self.pieces: list[bytes] = []


class PieceBatcher:
    """A batcher that dispatches pieces shortly after they arrive."""

    def __init__(self, dispatch: Callable[[SidecarEvent], None]) -> None:
        self._dispatch = dispatch
        self._runs: dict[str, _PieceRun] = {}
        self._flush_timer: gevent.Greenlet | None = None

    def add(self, attempt_id: str, number: int, piece: bytes) -> None:
        """Add the next piece of a stream."""
        run = self._runs.get(attempt_id)
        if run is None:
            run = self._runs[attempt_id] = _PieceRun(number)
        run.pieces.append(piece)
        if self._flush_timer is None:
            self._flush_timer = gevent.spawn_later(FLUSH_DELAY_S, self._flush_now)

    def flush(self) -> None:
        """Dispatch the collected pieces immediately."""
        runs, self._runs = self._runs, {}
        if not runs:
            return
        batches = tuple(
            Pieces(attempt_id, run.first, tuple(run.pieces))
            for attempt_id, run in runs.items()
        )
        self._dispatch(EnginePieces(monotonic_ms(), batches))

    def _flush_now(self) -> None:
        self._flush_timer = None
        self.flush()
