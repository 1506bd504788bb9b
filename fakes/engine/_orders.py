"""Take orders, with or without a check of their fencing numbers."""

from typing import Any, TypedDict


class Order(TypedDict):
    """Record one order and whether it was carried out."""

    order: str
    fence: int
    details: dict[str, Any]
    done: bool


class Orders:
    """Carry orders out, refusing old fencing numbers where asked to."""

    def __init__(self, check_fencing: bool) -> None:
        self.received: list[Order] = []
        self.role = "both"
        self.loaded: dict[str, str] = {}
        self._check_fencing = check_fencing
        self._highest_fence = 0

    @property
    def highest_fence(self) -> int:
        """Return the highest fencing number of any order so far."""
        return self._highest_fence

    def apply(self, order: str, fence: int, details: dict[str, Any]) -> bool:
        """Carry an order out; return false for an old fencing number."""
        done = not self._check_fencing or fence >= self._highest_fence
        self._highest_fence = max(self._highest_fence, fence)
        self.received.append(
            Order(order=order, fence=fence, details=details, done=done)
        )
        if done and order == "set_role":
            self.role = details.get("role", self.role)
        if done and order.startswith("load_"):
            self.loaded[order.removeprefix("load_")] = details.get("name", "")
        return done
