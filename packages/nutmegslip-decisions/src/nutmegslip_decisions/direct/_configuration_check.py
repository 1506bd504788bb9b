"""Check a configuration before it is published, and compare it with another.

Answers the load pattern in which a valid version is published that loses requests:
to routes that never match, or within limits that contradict each other.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from enum import StrEnum
from itertools import chain
from typing import Any, NamedTuple

from nutmegslip_decisions.direct._types import (
    Configuration,
    EngineModel,
    RequestKind,
    Route,
    Service,
)

NO_CONTENT = "-"


class Severity(StrEnum):
    """Whether a configuration may be published with a finding."""

    ERROR = "error"
    WARNING = "warning"


class Finding(NamedTuple):
    """What is wrong with an entry; ``field`` is empty if it is the whole entry."""

    severity: Severity
    entry: str
    field: str
    message: str


class Difference(NamedTuple):
    """A value that differs between two versions; it is empty if one lacks it."""

    entry: str
    field: str
    old: str
    new: str


class AccountDraft(NamedTuple):
    """A client account as written."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class Draft(NamedTuple):
    """A configuration as written, with the entries that it merges by name or key."""

    configuration: Configuration
    services: tuple[Service, ...]
    accounts: tuple[AccountDraft, ...] = ()


def findings(draft: Draft, in_force: Draft | None = None) -> tuple[Finding, ...]:
    """Return the errors of a draft, then the warnings, each in its order."""
    found = chain(
        _version_findings(draft, in_force),
        _limit_findings(draft),
        chain.from_iterable(_route_findings(r) for r in draft.configuration.routes),
        _match_findings(draft.configuration.routes),
        _target_findings(draft),
        chain.from_iterable(_service_findings(service) for service in draft.services),
        _engine_findings(draft.configuration),
        _account_findings(draft.accounts),
        _closed_findings(draft.configuration),
    )
    return tuple(sorted(found, key=lambda f: f.severity is not Severity.ERROR))


def _error(entry: str, field: str, message: str) -> Finding:
    return Finding(Severity.ERROR, entry, field, message)


def _warning(entry: str, field: str, message: str) -> Finding:
    return Finding(Severity.WARNING, entry, field, message)


def _version_findings(draft: Draft, in_force: Draft | None) -> Iterator[Finding]:
    if in_force is None:
        return
    version, old = draft.configuration.version, in_force.configuration.version
    if version <= old:
        yield _error(
            "configuration",
            "version",
            f"{version} is not above {old}, which is in force; raise it",
        )


def _limit_findings(draft: Draft) -> Iterator[Finding]:
    limits = draft.configuration.limits
    yield from _below("limits", limits, dict.fromkeys(limits._fields, 1))
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        yield _warning(
            "limits",
            "header_timeout_ms",
            f"{limits.header_timeout_ms} ms is over the idle timeout of "
            f"{limits.idle_timeout_ms} ms; lower it, or raise the idle timeout",
        )


def _below(entry: str, values: NamedTuple, minima: dict[str, int]) -> Iterator[Finding]:
    for field, minimum in minima.items():
        value = getattr(values, field)
        if value < minimum:
            yield _error(entry, field, f"{value} is too low; use at least {minimum}")


def _route_findings(route: Route) -> Iterator[Finding]:
    entry = f"route {route.name}"
    minima = {"timeout_ms": 1, "attempts": 1, "objective_ms": 0, "gap_ms": 0}
    yield from _below(entry, route, minima)
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        message = f"{route.prefix!r} never matches; begin and end it with a slash"
        yield _error(entry, "prefix", message)
    if "?" in route.prefix:
        message = f"{route.prefix!r} never matches; remove the query"
        yield _warning(entry, "prefix", message)
    if not route.host or ":" in route.host:
        message = f"{route.host!r} never matches; write a host without a port"
        yield _warning(entry, "host", message)
    for field in ("objective_ms", "gap_ms"):
        value = getattr(route, field)
        if value > route.timeout_ms > 0:
            yield _warning(
                entry,
                field,
                f"{value} ms is over the timeout of {route.timeout_ms} ms, which ends "
                "the request before; lower it, or raise the timeout",
            )
    if route.attempts > 1 and not route.repeatable:
        yield _warning(
            entry,
            "attempts",
            f"of {route.attempts}, further ones are made only while the request has "
            "certainly not run; expect no retries after other failures, or use 1",
        )
    if route.kind is not RequestKind.STREAM:
        for field in ("resumable", "gap_ms"):
            if getattr(route, field):
                message = "has an effect only for streams; remove it"
                yield _warning(entry, field, message)


def _match_findings(routes: tuple[Route, ...]) -> Iterator[Finding]:
    last = {(route.host, route.prefix): place for place, route in enumerate(routes)}
    for place, route in enumerate(routes):
        winner = last[route.host, route.prefix]
        if winner != place:
            yield _error(
                f"route {route.name}",
                "prefix",
                f"never matches, since route {routes[winner].name} has the same host "
                f"and prefix {route.host}{route.prefix}; remove one",
            )
    for name in _repeated(route.name for route in routes):
        yield _warning(f"route {name}", "name", "is used again; rename one of them")


def _target_findings(draft: Draft) -> Iterator[Finding]:
    routes, known = draft.configuration.routes, draft.configuration.services
    for route in routes:
        entry = f"route {route.name}"
        positive = any(target.weight > 0 for target in route.targets)
        if not positive:
            message = "no weight is above 0, so the first gets all; raise one"
            yield _error(entry, "targets", message)
        for service, weight in route.targets:
            if service not in known:
                message = f"service {service!r} is not listed; list it, or correct it"
                yield _error(entry, "targets", message)
            if weight < 0:
                message = f"service {service} has weight {weight}; use at least 0"
                yield _error(entry, "targets", message)
            if weight == 0 and positive:
                message = f"service {service} has weight 0 and gets none; remove it"
                yield _warning(entry, "targets", message)
    used = {target.service for route in routes for target in route.targets}
    for name in sorted(set(known) - used):
        message = "no route sends to it; remove it, or add a route"
        yield _warning(f"service {name}", "", message)
    for name in _repeated(service.name for service in draft.services):
        message = "is listed again, and only the last counts; remove the others"
        yield _error(f"service {name}", "name", message)


def _service_findings(service: Service) -> Iterator[Finding]:
    entry = f"service {service.name}"
    yield from _below(entry, service, {"connection_limit": 0, "cold_per_s": 0})
    engine = service.engine
    if engine is None:
        return
    yield from _below(entry, engine, {"slots": 1, "memory_tokens": 1, "step_ms": 0})
    if engine.prompt_tokens_per_s <= 0:
        message = f"{engine.prompt_tokens_per_s} is too low; use a rate above 0"
        yield _error(entry, "prompt_tokens_per_s", message)
    usual = engine.prompt_tokens + engine.answer_tokens
    if usual > engine.memory_tokens:
        yield _warning(
            entry,
            "memory_tokens",
            f"{engine.memory_tokens} cannot hold a usual request of {usual} tokens; "
            "correct one of them",
        )


def _engine_findings(configuration: Configuration) -> Iterator[Finding]:
    for route in configuration.routes:
        for name in dict.fromkeys(t.service for t in route.targets if t.weight > 0):
            service = configuration.services.get(name)
            if service is not None and service.engine is not None:
                yield from _pace_findings(route, name, service.engine)


def _pace_findings(
    route: Route, service: str, engine: EngineModel
) -> Iterator[Finding]:
    """Yield the limits that a usual request misses on an idle upstream.

    Only the fixed time of a step counts, which no load makes shorter.
    """
    if route.kind is not RequestKind.STREAM or engine.prompt_tokens_per_s <= 0:
        return
    prompt_ms = engine.prompt_tokens * 1_000 / engine.prompt_tokens_per_s
    pass_ms = engine.pass_steps * engine.step_ms
    answer_ms = engine.answer_tokens * engine.step_ms
    for field, limit_ms, needed_ms, what in (
        ("objective_ms", route.objective_ms, prompt_ms + pass_ms, "a first event"),
        ("gap_ms", route.gap_ms, pass_ms, "a pass"),
        ("timeout_ms", route.timeout_ms, prompt_ms + answer_ms, "a usual stream"),
    ):
        if 0 < limit_ms < needed_ms:
            yield _warning(
                f"route {route.name}",
                field,
                f"{limit_ms} ms cannot be met: {what} of service {service} takes at "
                f"least {needed_ms:.0f} ms without load; raise it",
            )


def _account_findings(accounts: tuple[AccountDraft, ...]) -> Iterator[Finding]:
    holders: dict[str, list[str]] = {}
    for account in accounts:
        if not account.keys:
            message = "has no key, so no request is its own; add one, or remove it"
            yield _warning(f"account {account.name}", "keys", message)
        for key in dict.fromkeys(account.keys):
            holders.setdefault(key, []).append(account.name)
    shared = {tuple(names) for names in holders.values() if len(names) > 1}
    for names in sorted(shared):
        message = f"a key is also that of {', '.join(names[1:])}; give each its own"
        yield _error(f"account {names[0]}", "keys", message)
    for name in _repeated(account.name for account in accounts):
        message = "is listed again; join the entries"
        yield _warning(f"account {name}", "name", message)


def _closed_findings(configuration: Configuration) -> Iterator[Finding]:
    if configuration.accounts is not None and not configuration.accounts:
        message = "holds no key, so all routes but public ones are closed; add a key"
        yield _warning("configuration", "accounts", message)


def _repeated(names: Iterable[str]) -> list[str]:
    return sorted(name for name, times in Counter(names).items() if times > 1)


def differences(old: Draft, new: Draft) -> tuple[Difference, ...]:
    """Return what differs, by entry and field; keys are only counted."""
    return tuple(
        chain(
            _changes("configuration", _whole(old), _whole(new)),
            _changes("limits", _limits(old), _limits(new)),
            _entry_changes("route", _routes(old), _routes(new)),
            _entry_changes("service", _services(old), _services(new)),
            _account_changes(old.accounts, new.accounts),
        )
    )


def _whole(draft: Draft) -> dict[str, Any]:
    configuration = draft.configuration
    needs_key = configuration.accounts is not None
    return {"version": configuration.version, "requires keys": needs_key}


def _limits(draft: Draft) -> dict[str, Any]:
    return draft.configuration.limits._asdict()


def _routes(draft: Draft) -> dict[str, dict[str, Any]]:
    return {route.name: route._asdict() for route in draft.configuration.routes}


def _services(draft: Draft) -> dict[str, dict[str, Any]]:
    return {service.name: _service_fields(service) for service in draft.services}


def _service_fields(service: Service) -> dict[str, Any]:
    fields = service._asdict()
    engine = fields.pop("engine")
    if engine is None:
        return fields
    layout = {} if engine.layout is None else engine.layout._asdict()
    return {**fields, **engine._replace(layout=None)._asdict(), **layout}


def _entry_changes(
    kind: str, old: dict[str, dict[str, Any]], new: dict[str, dict[str, Any]]
) -> Iterator[Difference]:
    for name in sorted(old.keys() | new.keys()):
        entry = f"{kind} {name}"
        if name not in new:
            yield Difference(entry, "", "in force", "")
        elif name not in old:
            yield Difference(entry, "", "", "added")
        else:
            yield from _changes(entry, old[name], new[name])


def _changes(
    entry: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[Difference]:
    for field in {**old, **new}:
        before, after = old.get(field), new.get(field)
        if before != after:
            yield Difference(entry, field, _text(before), _text(after))


def _text(value: Any) -> str:
    match value:
        case None:
            return NO_CONTENT
        case tuple():
            return ", ".join(f"{target.service} {target.weight}" for target in value)
        case _:
            return str(value)


def _account_changes(
    old: tuple[AccountDraft, ...], new: tuple[AccountDraft, ...]
) -> Iterator[Difference]:
    before, after = _keys_of(old), _keys_of(new)
    yield from _entry_changes("account", _priorities(old), _priorities(new))
    for name in sorted(before.keys() & after.keys()):
        gone, added = before[name] - after[name], after[name] - before[name]
        if gone or added:
            text = f"{len(gone)} removed", f"{len(added)} added"
            yield Difference(f"account {name}", "keys", *text)


def _keys_of(accounts: tuple[AccountDraft, ...]) -> dict[str, set[str]]:
    found: dict[str, set[str]] = {}
    for account in accounts:
        found.setdefault(account.name, set()).update(account.keys)
    return found


def _priorities(accounts: tuple[AccountDraft, ...]) -> dict[str, dict[str, Any]]:
    return {account.name: {"priority": account.priority} for account in accounts}
