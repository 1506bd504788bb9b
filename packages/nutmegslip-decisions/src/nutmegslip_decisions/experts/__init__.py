"""Placement of experts on ranks, and agreement on the expert map within a group."""

from nutmegslip_decisions.experts.agreement import MESSAGES

__all__ = ["MESSAGES"]
