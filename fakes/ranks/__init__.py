"""Fake of a group of ranks that run in lock-step on an expert map."""

from fakes.ranks._api import make_app
from fakes.ranks._group import Group, Permit, RefusedError

__all__ = ["Group", "Permit", "RefusedError", "make_app"]
