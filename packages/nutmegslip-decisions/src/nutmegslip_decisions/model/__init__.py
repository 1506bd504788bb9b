"""Data types that the decision modules share: catalogue, hosts and time."""

from nutmegslip_decisions.model._catalogue import (
    Account,
    Catalogue,
    Limits,
    MarkState,
    RequestClass,
    Workload,
    WorkloadKind,
)
from nutmegslip_decisions.model._ranking import rendezvous_order, rendezvous_score
from nutmegslip_decisions.model._roster import (
    Host,
    HostState,
    Incarnation,
    Role,
    Roster,
)
from nutmegslip_decisions.model._time import NEVER_MS, Millis

__all__ = [
    "NEVER_MS",
    "Account",
    "Catalogue",
    "Host",
    "HostState",
    "Incarnation",
    "Limits",
    "MarkState",
    "Millis",
    "RequestClass",
    "Role",
    "Roster",
    "Workload",
    "WorkloadKind",
    "rendezvous_order",
    "rendezvous_score",
]
