"""Run a reducer one event at a time and perform its effects in order."""

from nutmegslip_runtime.process._clock import monotonic_ms, new_incarnation
from nutmegslip_runtime.process._machine import Machine
from nutmegslip_runtime.process._platform import PlatformReader
from nutmegslip_runtime.process._serving import HttpServer, serve_http

__all__ = [
    "HttpServer",
    "Machine",
    "PlatformReader",
    "monotonic_ms",
    "new_incarnation",
    "serve_http",
]
