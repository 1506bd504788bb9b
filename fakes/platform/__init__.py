"""Fake of the platform: configuration service and list of hosts."""

from fakes.platform._api import make_app
from fakes.platform._feed import MAX_VALUE_BYTES, Edit, Feed, TooLargeError

__all__ = ["MAX_VALUE_BYTES", "Edit", "Feed", "TooLargeError", "make_app"]
