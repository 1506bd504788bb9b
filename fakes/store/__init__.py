"""Stand in for the store of the users' platform, from its published pages."""

from fakes.store._api import StoreServer
from fakes.store._history import History

__all__ = ["History", "StoreServer"]
