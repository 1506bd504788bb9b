"""Assemble the pieces of a streamed answer in order, each exactly once."""

from nutmegslip_decisions.streams._assembly import (
    MAX_BUFFERED_PIECES,
    Assembly,
    add_pieces,
    is_complete,
    set_total,
)

__all__ = ["MAX_BUFFERED_PIECES", "Assembly", "add_pieces", "is_complete", "set_total"]
