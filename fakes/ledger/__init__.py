"""Fake of a plain service whose submissions are not idempotent."""

from fakes.ledger._api import make_app

__all__ = ["make_app"]
