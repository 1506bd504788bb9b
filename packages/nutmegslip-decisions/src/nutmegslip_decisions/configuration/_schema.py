"""Define the pydantic schemas of published values."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from nutmegslip_decisions.model import (
    Account,
    Host,
    HostState,
    Limits,
    MarkState,
    RequestClass,
    Role,
    Workload,
    WorkloadKind,
)

NAME_MAX_CHARACTERS = 128
DIGESTS_MAX = 64

Name = Annotated[
    str,
    Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:-]*$", max_length=NAME_MAX_CHARACTERS),
]
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Text = Annotated[str, Field(min_length=1, max_length=NAME_MAX_CHARACTERS)]


class _Schema(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class LimitsSchema(_Schema):
    """The limits of a workload or client account."""

    requests_per_second: Annotated[float, Field(ge=0, le=1e9)] = 0.0
    burst: Annotated[int, Field(ge=0, le=10**9, strict=True)] = 0
    concurrent: Annotated[int, Field(ge=0, le=10**9, strict=True)] = 0

    def build(self) -> Limits:
        """Return the validated limits."""
        return Limits(self.requests_per_second, self.burst, self.concurrent)


class WorkloadSchema(_Schema):
    """A workload; ``class`` is the request class."""

    owner: Text
    kind: WorkloadKind
    request_class: Annotated[RequestClass, Field(alias="class")]
    limits: LimitsSchema = LimitsSchema()
    repeatable: Annotated[bool, Field(strict=True)] = True
    cold_limit: Annotated[int, Field(ge=1, le=100_000, strict=True)] = 2
    warm_limit: Annotated[int, Field(ge=1, le=100_000, strict=True)] = 64
    timeout_ms: Annotated[int, Field(ge=1, le=86_400_000, strict=True)] = 30_000
    checks_fencing: Annotated[bool, Field(strict=True)] = False

    def build(self, name: str) -> Workload:
        """Return the validated workload under its name."""
        fields = {field: getattr(self, field) for field in type(self).model_fields}
        return Workload(name, **{**fields, "limits": self.limits.build()})


class AccountSchema(_Schema):
    """A client account."""

    key_sha256: Annotated[list[Digest], Field(min_length=1, max_length=DIGESTS_MAX)]
    limits: LimitsSchema = LimitsSchema()
    weight: Annotated[int, Field(ge=1, le=1_000_000, strict=True)] = 1

    def build(self, name: str) -> Account:
        """Return the validated client account under its name."""
        return Account(name, tuple(self.key_sha256), self.limits.build(), self.weight)


class MarkSchema(_Schema):
    """The mark of a host or availability zone."""

    mark: MarkState

    def build(self, _name: str) -> MarkState:
        """Return the mark."""
        return self.mark


class HostSchema(_Schema):
    """A host of the published list."""

    role: Role
    address: Text
    zone: Name
    region: Name
    state: HostState = HostState.LIVE
    workloads: list[Name] = []
    group: Name | None = None
    rank: Annotated[int, Field(ge=0, strict=True)] | None = None
    name: Name | None = None

    def build(self, name: str) -> Host:
        """Return the validated host under its name."""
        return Host(
            name,
            self.role,
            self.address,
            self.zone,
            self.region,
            self.state,
            tuple(self.workloads),
            self.group,
            self.rank,
        )


class ChangeSchema(_Schema):
    """One keyed change."""

    version: Annotated[int, Field(ge=1, strict=True)]
    key: Annotated[str, Field(min_length=1, max_length=2 * NAME_MAX_CHARACTERS)]
    value: dict | None


class PageSchema(_Schema):
    """One response of the configuration service."""

    version: Annotated[int, Field(ge=0, strict=True)]
    oldest: Annotated[int, Field(ge=0, strict=True)] = 0
    changes: list[ChangeSchema]


Kind = Literal["workload", "account", "zone", "host"]

SCHEMAS: dict[Kind, type[_Schema]] = {
    "workload": WorkloadSchema,
    "account": AccountSchema,
    "zone": MarkSchema,
    "host": MarkSchema,
}
