"""Convert settings to the options of reducers and links."""

from typing import NamedTuple

from nutmegslip_decisions import configuration
from nutmegslip_decisions.model import Millis
from nutmegslip_decisions.once import OnceOptions
from nutmegslip_runtime.links import LinkOptions, TlsFiles
from nutmegslip_runtime.process import monotonic_ms, new_incarnation
from nutmegslip_runtime.settings import EntrySettings, SidecarSettings

Settings = EntrySettings | SidecarSettings

SEED_BITS_DROPPED = 2  # seeds have 62 bits, incarnations 64


class ProcessIdentity(NamedTuple):
    """The identity of one incarnation of a program.

    ``first_start`` is whether no process of the site has run before.
    """

    program: str
    incarnation: str
    started_ms: Millis
    first_start: bool


def new_identity(program: str, first_start: bool) -> ProcessIdentity:
    """Return the identity of an incarnation that starts now."""
    return ProcessIdentity(program, new_incarnation(), monotonic_ms(), first_start)


def sync_options(
    settings: Settings, identity: ProcessIdentity
) -> configuration.Options:
    """Return the options of configuration sync."""
    return configuration.Options(
        host=settings.process.host,
        zone=settings.process.zone,
        region=settings.process.region,
        incarnation_seed=int(identity.incarnation, 16) >> SEED_BITS_DROPPED,
        seeds=tuple(seed.host for seed in settings.links.seeds),
    )


def once_options(settings: Settings) -> OnceOptions:
    """Return the timing options of the at-most-once record."""
    times = settings.once
    return OnceOptions(
        retention_ms=times.retention_ms,
        margin_ms=times.margin_ms,
        claim_ms=times.claim_ms,
        lag_ms=times.lag_ms,
    )


def link_options(settings: Settings, identity: ProcessIdentity) -> LinkOptions:
    """Return the options of this process's links."""
    tls = settings.links.tls
    return LinkOptions(
        host=settings.process.host,
        incarnation=identity.incarnation,
        key=settings.links.key.encode(),
        listen=settings.links.listen,
        tls=tls and TlsFiles(tls.certificate, tls.key, tls.authority),
    )
