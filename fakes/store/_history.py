"""Keep items, their revisions and the history of changes."""

import base64
import json
from typing import Any, NamedTuple

import gevent.event

FIRST_REVISION = 7
PAGE_ITEMS = 50


class Copy(NamedTuple):
    """Items, history and revision at one moment."""

    revision: int
    items: dict[str, dict[str, Any]]
    events: tuple[dict[str, Any], ...]
    oldest: int


class History:
    """Items by key and their history; every change has its own revision."""

    def __init__(self) -> None:
        self.revision = FIRST_REVISION
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._oldest = FIRST_REVISION
        self._changed = gevent.event.Event()

    def put(self, key: str, value: Any) -> None:
        """Set a key to a value, given as JSON data or as raw bytes."""
        self.revision += 1
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        create_revision = self._items.get(key, {}).get("createRev", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "createRev": create_revision,
            "lease": 0,
        }
        self._items[key] = item
        self._record_event(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self._items.pop(key, None)
        self._record_event({"key": key, "revision": self.revision, "removed": True})

    def listed(self) -> tuple[str, ...]:
        """Return the keys of all items."""
        return tuple(self._items)

    def compact(self) -> None:
        """Drop the history so far."""
        self._events.clear()
        self._oldest = self.revision

    def copy(self) -> "Copy":
        """Return a copy of all items, from which the store can be restored."""
        return Copy(self.revision, dict(self._items), tuple(self._events), self._oldest)

    def restore(self, copy: "Copy") -> None:
        """Lose every change since a copy; its revisions are given out again."""
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._events = list(copy.events)
        self._oldest = copy.oldest
        self._changed.set()
        self._changed.clear()

    def page(self, prefix: str, after: str) -> dict[str, Any]:
        """Return one page of items."""
        keys = sorted(key for key in self._items if key.startswith(prefix))
        later = [key for key in keys if key > after]
        found = [self._items[key] for key in later[:PAGE_ITEMS]]
        more = len(later) > PAGE_ITEMS
        return {"items": found, "hasMore": more, "currentRev": self.revision}

    def watch(self, prefix: str, after: int, wait_s: float) -> dict[str, Any] | None:
        """Return the changes after a revision, None if this history is not here."""
        with gevent.Timeout(wait_s, False):
            while self._has(after) and not self._events_since(prefix, after):
                self._changed.wait()
        if not self._has(after):
            return None
        return {
            "events": self._events_since(prefix, after),
            "currentRev": self.revision,
        }

    def _has(self, revision: int) -> bool:
        return self._oldest <= revision <= self.revision

    def _events_since(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    def _record_event(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed.clear()
