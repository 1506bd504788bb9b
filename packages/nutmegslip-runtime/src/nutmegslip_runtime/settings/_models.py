"""Define the settings of each program."""

from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

#: An IP address and a port, as in ``127.0.0.1:7000``.
Address = Annotated[
    str, Field(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$")
]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
MIN_KEY_CHARACTERS = 16


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class ProcessSettings(_StrictModel):
    """The host of this process and its location."""

    host: Name
    zone: Name
    region: Name


class TlsSettings(_StrictModel):
    """Paths of PEM files; if set, links use TLS and peers present certificates."""

    certificate: str
    key: str
    authority: str


class Seed(_StrictModel):
    """A peer to contact while no list of hosts is known."""

    host: Name
    address: Address


class LinkSettings(_StrictModel):
    """The address at which peers reach this process, and the key shared by all."""

    listen: Address
    key: Annotated[str, Field(min_length=MIN_KEY_CHARACTERS)]
    tls: TlsSettings | None = None
    seeds: list[Seed] = Field(default_factory=list)


class HttpSettings(_StrictModel):
    """The address that serves health, metrics and status."""

    admin: Address


class EntryHttpSettings(HttpSettings):
    """The address that serves callers; ``max_body_bytes`` limits a request body."""

    callers: Address
    max_body_bytes: Annotated[int, Field(ge=1_024, le=16 * 1024 * 1024)] = 1_048_576


class PlatformSettings(_StrictModel):
    """The address at which the platform publishes configuration."""

    address: Address


class GroupSettings(_StrictModel):
    """A rank of a group that runs in lock-step.

    ``address`` is the address of the rank. ``expert_bytes`` is the size of one
    expert's weights, and ``store_bytes_per_s`` this group's share of the weight
    store's bandwidth.
    """

    address: Address
    slots_per_rank: Annotated[int, Field(ge=1, le=100_000)]
    expert_bytes: Annotated[int, Field(ge=1)] = 44_000_000
    store_bytes_per_s: Annotated[int, Field(ge=1)] = 250_000_000
    report_interval_ms: Annotated[int, Field(ge=100, le=3_600_000)] = 5_000


class UpstreamSettings(_StrictModel):
    """The upstream of a sidecar.

    ``connect_timeout_ms`` limits the time to connect to the upstream.
    """

    address: Address
    kind: Literal["engine", "service"]
    connect_timeout_ms: Annotated[int, Field(ge=10, le=60_000)] = 1_000
    group: GroupSettings | None = None


class LogSettings(_StrictModel):
    """The minimum level of log lines, which are written to standard output."""

    level: Literal["debug", "info", "warning", "error"] = "info"


class StopSettings(_StrictModel):
    """Time limits of a graceful stop; requests in flight at its end are cut off.

    For ``notice_ms`` the process only reports that it is no longer ready.
    """

    notice_ms: Annotated[int, Field(ge=0, le=60_000)] = 1_000
    drain_timeout_ms: Annotated[int, Field(ge=0, le=3_600_000)] = 600_000


class OnceSettings(_StrictModel):
    """How long the idempotency keys of non-idempotent requests are kept.

    ``claim_ms`` is how long a planned restart may take; ``lag_ms`` is the
    maximum lag between the host lists of two processes. ``margin_ms`` must exceed
    the longest timeout of a non-idempotent workload plus a lease, and also
    ``lag_ms`` plus twice ``claim_ms``. All processes of a site must use the same
    values.
    """

    retention_ms: Annotated[int, Field(ge=1_000, le=86_400_000)] = 600_000
    margin_ms: Annotated[int, Field(ge=5_000, le=3_600_000)] = 60_000
    claim_ms: Annotated[int, Field(ge=1_000, le=600_000)] = 15_000
    lag_ms: Annotated[int, Field(ge=100, le=600_000)] = 10_000

    @model_validator(mode="after")
    def _check_margin(self) -> Self:
        minimum_ms = self.lag_ms + 2 * self.claim_ms
        if self.margin_ms <= minimum_ms:
            raise ValueError(
                f"margin_ms must exceed lag_ms + 2 * claim_ms = {minimum_ms}"
            )
        return self


class EntrySettings(_StrictModel):
    """The settings of ``nutmegslip-entry``."""

    process: ProcessSettings
    links: LinkSettings
    http: EntryHttpSettings
    platform: PlatformSettings
    once: OnceSettings = OnceSettings()
    log: LogSettings = LogSettings()
    stop: StopSettings = StopSettings()


class SidecarSettings(_StrictModel):
    """The settings of ``nutmegslip-sidecar``."""

    process: ProcessSettings
    links: LinkSettings
    http: HttpSettings
    platform: PlatformSettings
    upstream: UpstreamSettings
    once: OnceSettings = OnceSettings()
    log: LogSettings = LogSettings()
    stop: StopSettings = StopSettings()
