"""Read and check the settings of an entry that sends to upstreams directly."""

import pathlib
import resource
import tomllib
from typing import NamedTuple, NotRequired, TypedDict

import msgspec
from expression import Error, Ok, Result

from nutmegslip_decisions.direct import HostLimits, Options


class _Process(TypedDict):
    host: str
    zone: str
    log_level: NotRequired[str]
    metrics_port: NotRequired[int]
    first_start: NotRequired[bool]
    memory_mb: NotRequired[int]
    file_descriptors: NotRequired[int]


class _Listen(TypedDict):
    callers: str
    ready: str
    peers: str


class _Fleet(TypedDict):
    seeds: list[str]
    zones: list[str]


class _Store(TypedDict):
    address: str


class _Bounds(TypedDict):
    budget_ratio: NotRequired[float]
    budget_window_s: NotRequired[float]
    budget_slack: NotRequired[float]
    cold_multiplier: NotRequired[float]
    cold_slack: NotRequired[float]
    evacuation_s: NotRequired[float]
    stop_grace_s: NotRequired[float]


class _Hedge(TypedDict):
    max_share: NotRequired[float]
    after_quantile: NotRequired[float]


class _File(TypedDict):
    process: _Process
    listen: _Listen
    fleet: _Fleet
    store: _Store
    bounds: _Bounds
    hedge: NotRequired[_Hedge]


class Settings(NamedTuple):
    """Checked settings; addresses are (ip, port)."""

    host: str
    zone: str
    log_level: str
    metrics: tuple[str, int]
    callers: tuple[str, int]
    ready: tuple[str, int]
    peers: tuple[str, int]
    seeds: tuple[str, ...]
    store: str
    options: Options
    stop_grace_ms: int
    first_start: bool
    host_limits: HostLimits


class SettingsError(NamedTuple):
    """The first error in a settings file."""

    file: str
    detail: str

    @property
    def message(self) -> str:
        """Return the error and its remedy."""
        return f"{self.file}: {self.detail}; correct the file and start again"


def read_settings(file: str) -> Result[Settings, SettingsError]:
    """Return the checked settings of a TOML file, or its first error."""
    try:
        content = tomllib.loads(pathlib.Path(file).read_text(encoding="utf-8"))
        return Ok(_settings(msgspec.convert(content, _File)))
    except (OSError, OverflowError, ValueError, msgspec.ValidationError) as error:
        return Error(SettingsError(file, str(error)))


def _settings(sections: _File) -> Settings:
    process, listen, fleet = sections["process"], sections["listen"], sections["fleet"]
    callers = _address(listen["callers"])
    return Settings(
        host=process["host"],
        zone=process["zone"],
        log_level=process.get("log_level", "info"),
        metrics=(callers[0], process.get("metrics_port", 9464)),
        callers=callers,
        ready=_address(listen["ready"]),
        peers=_address(listen["peers"]),
        seeds=tuple(seed.rpartition(":")[0] for seed in fleet["seeds"]),
        store=sections["store"]["address"],
        options=_options(sections),
        stop_grace_ms=int(sections["bounds"].get("stop_grace_s", 8) * 1_000),
        first_start=process.get("first_start", False),
        host_limits=_host_limits(process),
    )


def _host_limits(process: _Process) -> HostLimits:
    own_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = HostLimits(
        process.get("memory_mb", HostLimits().memory_mb),
        process.get("file_descriptors", own_limit),
    )
    for key, value in limits._asdict().items():
        if value <= 0:
            raise ValueError(f"process.{key} is {value}, which is not above 0")
    return limits


def _options(sections: _File) -> Options:
    process, fleet, bounds = sections["process"], sections["fleet"], sections["bounds"]
    peers_host, _ = _address(sections["listen"]["peers"])
    hedge = sections.get("hedge", _Hedge())
    defaults = Options(process["host"], peers_host, process["zone"])
    return defaults._replace(
        # Each zone has at least one entry, even if the seeds do not list it yet.
        entries=max(len(fleet["seeds"]), len(fleet["zones"]), 1),
        budget_ratio=bounds.get("budget_ratio", defaults.budget_ratio),
        budget_window_ms=int(bounds.get("budget_window_s", 10) * 1_000),
        budget_slack=bounds.get("budget_slack", defaults.budget_slack),
        cold_multiplier=bounds.get("cold_multiplier", defaults.cold_multiplier),
        cold_slack=bounds.get("cold_slack", defaults.cold_slack),
        evacuation_ms=_milliseconds(bounds.get("evacuation_s")),
        hedge_max_share=_share(hedge, "max_share", defaults.hedge_max_share),
        hedge_after_quantile=_share(
            hedge, "after_quantile", defaults.hedge_after_quantile
        ),
    )


def _milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else int(seconds * 1_000)


def _share(hedge: _Hedge, key: str, default: float) -> float:
    value = hedge.get(key, default)
    if not 0 <= value < 1:
        raise ValueError(f"hedge.{key} is {value}, which is not from 0 to below 1")
    return value


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"{text!r} is not of the form ip:port")
    return host, int(port)
