"""Apply orders, with or without checking their fencing numbers."""

from typing import Any, TypedDict


class Order(TypedDict):
    """One order and whether it was applied."""

    order: str
    fence: int
    details: dict[str, Any]
    done: bool


class Orders:
    """Received orders; stale fencing numbers are refused if checked."""

    def __init__(self, check_fencing: bool) -> None:
        self.received: list[Order] = []
        self.role = "both"
        self.loaded: dict[str, str] = {}
        self._check_fencing = check_fencing
        self._highest_fence = 0

    @property
    def highest_fence(self) -> int:
        """Return the highest fencing number of all orders so far."""
        return self._highest_fence

    def apply(self, order: str, fence: int, details: dict[str, Any]) -> bool:
        """Apply an order; return False if its fencing number is stale and checked."""
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
