"""Fake of the store of the users' platform, based on its published documentation."""

from fakes.store._api import StoreServer
from fakes.store._history import Copy, History

__all__ = ["Copy", "History", "StoreServer"]
