"""Serve callers over HTTP and send their requests to upstreams directly."""

from nutmegslip_entry.direct._callers import Connection, accept_waiting
from nutmegslip_entry.direct._expert_maps import ExpertCounts, RankClient, RankLayout
from nutmegslip_entry.direct._header_codec import (
    AnswerFields,
    CallerFields,
    HeaderCodec,
    Pause,
    RateLimit,
)
from nutmegslip_entry.direct._log_lines import log_lines
from nutmegslip_entry.direct._metrics import Metrics
from nutmegslip_entry.direct._pool import Pool
from nutmegslip_entry.direct._program import Program
from nutmegslip_entry.direct._settings import Settings, SettingsError, read_settings
from nutmegslip_entry.direct._state_machine import StateMachine

__all__ = [
    "AnswerFields",
    "CallerFields",
    "Connection",
    "ExpertCounts",
    "HeaderCodec",
    "Metrics",
    "Pause",
    "Pool",
    "Program",
    "RankClient",
    "RankLayout",
    "RateLimit",
    "Settings",
    "SettingsError",
    "StateMachine",
    "accept_waiting",
    "log_lines",
    "read_settings",
]
