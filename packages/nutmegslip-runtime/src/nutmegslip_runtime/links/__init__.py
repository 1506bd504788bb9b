"""Carry messages between authenticated processes."""

from nutmegslip_runtime.links._links import LinkEvents, LinkOptions, Links
from nutmegslip_runtime.links._tls import TlsFiles, client_context, server_context

__all__ = [
    "LinkEvents",
    "LinkOptions",
    "Links",
    "TlsFiles",
    "client_context",
    "server_context",
]
