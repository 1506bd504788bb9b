"""Check configurations before they are published; not loaded while serving."""

from nutmegslip_decisions.direct._configuration_check import (
    AccountDraft,
    Difference,
    Draft,
    Finding,
    Severity,
    differences,
    findings,
)

__all__ = [
    "AccountDraft",
    "Difference",
    "Draft",
    "Finding",
    "Severity",
    "differences",
    "findings",
]
