"""Serve health, readiness, metrics and status to operators over HTTP."""

from nutmegslip_runtime.admin._application import AdminViews, make_admin
from nutmegslip_runtime.admin._status import ProcessStatus, sync_status

__all__ = ["AdminViews", "ProcessStatus", "make_admin", "sync_status"]
