"""Serve callers over HTTP and send to upstreams directly."""

from nutmegslip_entry.direct._callers import Connection
from nutmegslip_entry.direct._dialect import AnswerFields, CallerFields, Dialect
from nutmegslip_entry.direct._journal import lines_of
from nutmegslip_entry.direct._machine import Machine
from nutmegslip_entry.direct._maps import Counts, RankLayout, Ranks
from nutmegslip_entry.direct._pool import Pool
from nutmegslip_entry.direct._program import Program
from nutmegslip_entry.direct._settings import Settings, SettingsFault, read_settings

__all__ = [
    "AnswerFields",
    "CallerFields",
    "Connection",
    "Counts",
    "Dialect",
    "Machine",
    "Pool",
    "Program",
    "RankLayout",
    "Ranks",
    "Settings",
    "SettingsFault",
    "lines_of",
    "read_settings",
]
