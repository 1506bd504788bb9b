"""Read and validate the TOML settings of a process."""

from nutmegslip_runtime.settings._errors import SettingsError, SettingsErrors
from nutmegslip_runtime.settings._models import (
    EntryHttpSettings,
    EntrySettings,
    GroupSettings,
    HttpSettings,
    LinkSettings,
    PlatformSettings,
    ProcessSettings,
    Seed,
    SidecarSettings,
    TlsSettings,
    UpstreamSettings,
)
from nutmegslip_runtime.settings._page import render_page
from nutmegslip_runtime.settings._read import read_settings, read_toml

__all__ = [
    "EntryHttpSettings",
    "EntrySettings",
    "GroupSettings",
    "HttpSettings",
    "LinkSettings",
    "PlatformSettings",
    "ProcessSettings",
    "Seed",
    "SettingsError",
    "SettingsErrors",
    "SidecarSettings",
    "TlsSettings",
    "UpstreamSettings",
    "read_settings",
    "read_toml",
    "render_page",
]
