"""Keep versioned, compacted changes of keys and let readers wait for them."""

import json
from typing import NamedTuple, TypedDict

import gevent
from gevent.event import Event

MAX_VALUE_BYTES = 1_000_000


class Edit(TypedDict):
    """One key and its new JSON value; ``None`` removes the key."""

    key: str
    value: object


class Change(TypedDict):
    """The latest value of one key and the version that set it."""

    version: int
    key: str
    value: object


class ReadResult(TypedDict):
    """Result of a read; a reader at a version below ``oldest`` has missed removals."""

    version: int
    oldest: int
    changes: list[Change]


class Snapshot(NamedTuple):
    """The versioned changes that readers see at one time."""

    version: int = 0
    oldest: int = 0
    changes: tuple[Change, ...] = ()


class TooLargeError(ValueError):
    """A value exceeds the service's limit."""


class Feed:
    """A feed of edits, published at once or after a lag, and read by version."""

    def __init__(self, lag_ms: int = 0) -> None:
        self.lag_ms = lag_ms
        self._snapshot = Snapshot()
        self._frozen: Snapshot | None = None
        self._changed = Event()

    @property
    def version(self) -> int:
        """Return the version published last."""
        return self._snapshot.version

    def publish(self, edits: list[Edit]) -> None:
        """Apply edits in order, each with its own version.

        Raises ``TooLargeError`` and applies nothing if a value exceeds 1 MB.
        """
        for edit in edits:
            if len(json.dumps(edit["value"])) > MAX_VALUE_BYTES:
                raise TooLargeError(
                    f"{edit['key']}: value exceeds {MAX_VALUE_BYTES} bytes"
                )
        if self.lag_ms:
            gevent.spawn_later(self.lag_ms / 1000, self._apply, edits)
        else:
            self._apply(edits)

    def compact(self) -> None:
        """Drop removed keys; readers at an older version must read from zero."""
        kept = tuple(c for c in self._snapshot.changes if c["value"] is not None)
        self._snapshot = Snapshot(self._snapshot.version, self._snapshot.version, kept)

    def freeze(self, frozen: bool) -> None:
        """Keep serving the current snapshot, or resume serving the latest one."""
        self._frozen = self._snapshot if frozen else None
        self._notify()

    def read(self, after: int, wait_ms: int) -> ReadResult:
        """Return changes after a version, waiting up to ``wait_ms`` for one."""
        with gevent.Timeout(wait_ms / 1000, False):
            while self._visible.version <= after:
                self._changed.wait()
        snapshot = self._visible
        changes = [c for c in snapshot.changes if c["version"] > after]
        return ReadResult(
            version=snapshot.version, oldest=snapshot.oldest, changes=changes
        )

    @property
    def _visible(self) -> Snapshot:
        return self._frozen or self._snapshot

    def _apply(self, edits: list[Edit]) -> None:
        latest = {c["key"]: c for c in self._snapshot.changes}
        first = self._snapshot.version + 1
        for version, edit in enumerate(edits, first):
            latest[edit["key"]] = Change(version=version, **edit)
        changes = tuple(sorted(latest.values(), key=lambda c: c["version"]))
        self._snapshot = Snapshot(
            first + len(edits) - 1, self._snapshot.oldest, changes
        )
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed.clear()
