"""Parse and validate published values, service responses and documents."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

from expression import Error, Ok, Result
from pydantic import BaseModel, TypeAdapter, ValidationError

from nutmegslip_decisions.configuration._changes import Change, Delta
from nutmegslip_decisions.configuration._errors import (
    ConfigurationError,
    ConfigurationErrors,
    ErrorKind,
)
from nutmegslip_decisions.configuration._schema import (
    SCHEMAS,
    HostSchema,
    Name,
    PageSchema,
    WorkloadSchema,
)
from nutmegslip_decisions.model import Account, Host, MarkState, Workload, WorkloadKind

CatalogueItem = Workload | Account | MarkState

FOUND_MAX_CHARACTERS = 80

_KEY_PREFIXES = {
    "workloads": "workload",
    "accounts": "account",
    "zones": "zone",
    "hosts": "host",
}
_NAME = TypeAdapter(Name)


def parse_catalogue_change(
    change: Change,
) -> Result[CatalogueItem | None, ConfigurationErrors]:
    """Return the item that a change sets, or None if it removes its key."""
    if change.value is None:
        return Ok(None)  # an unknown key is corrected by removing it
    kind, _, name = change.key.partition("/")
    if kind not in SCHEMAS or not _is_name(name):
        return Error((_unknown_key(change),))
    return _parse(SCHEMAS[kind], name, change)


def parse_host_change(change: Change) -> Result[Host | None, ConfigurationErrors]:
    """Return the host that a change sets, or None if it removes the host."""
    if change.value is None:
        return Ok(None)
    if not _is_name(change.key):
        return Error((_unknown_key(change),))
    return _parse(HostSchema, change.key, change)


def parse_changes(body: bytes | str, after: int) -> Result[Delta, ConfigurationErrors]:
    """Parse the service's response to a read of all changes after a version.

    Values stay JSON text: each is validated when its version is applied.
    """
    try:
        page = PageSchema.model_validate_json(body)
    except ValidationError as error:
        return Error(_errors("answer", 0, error))
    changes = (
        Change(change.key, change.version, encode_value(change.value))
        for change in page.changes
    )
    ordered = tuple(sorted(changes, key=lambda change: (change.version, change.key)))
    return Ok(Delta(after, page.version, page.oldest, ordered))


def parse_document(
    document: dict[str, Any], version: int = 1
) -> Result[tuple[Change, ...], ConfigurationErrors]:
    """Convert a catalogue document to keyed changes at one version.

    ``document`` comes from ``tomllib``; its tables are ``workloads``,
    ``accounts``, ``zones`` and ``hosts``, each keyed by name. Values are
    validated when the changes are applied.
    """
    unknown = tuple(
        ConfigurationError(
            ErrorKind.UNKNOWN_FIELD,
            table,
            _abbreviated(rows),
            "tables " + ", ".join(_KEY_PREFIXES),
            "rename or remove the table",
        )
        for table, rows in document.items()
        if table not in _KEY_PREFIXES or not isinstance(rows, dict)
    )
    if unknown:
        return Error(unknown)
    return Ok(
        tuple(
            Change(f"{_KEY_PREFIXES[table]}/{name}", version, encode_value(value))
            for table, rows in sorted(document.items())
            for name, value in sorted(rows.items())
        )
    )


def encode_value(value: Any) -> str | None:
    """Return the canonical JSON text of a value, or None for a removal."""
    if value is None:
        return None
    return json.dumps(value, sort_keys=True, separators=(",", ":"), default=str)


def _parse(schema: type[BaseModel], name: str, change: Change) -> Result:
    try:
        value = schema.model_validate_json(change.value)
    except ValidationError as error:
        return Error(_errors(change.key, change.version, error))
    if getattr(value, "name", None) not in (None, name):
        return Error(
            (
                ConfigurationError(
                    ErrorKind.BAD_VALUE,
                    f"{change.key}.name",
                    _abbreviated(value.name),
                    f"the name in the key, {name}",
                    "remove the field",
                    change.version,
                ),
            )
        )
    if isinstance(value, WorkloadSchema):
        errors = tuple(_workload_errors(value, change))
        if errors:
            return Error(errors)
    return Ok(value.build(name))


def _workload_errors(
    value: WorkloadSchema, change: Change
) -> Iterator[ConfigurationError]:
    """Yield the errors that involve several fields of a workload."""
    if value.cold_limit > value.warm_limit:
        yield ConfigurationError(
            ErrorKind.LIMITS_CROSSED,
            f"{change.key}.cold_limit",
            str(value.cold_limit),
            f"at most warm_limit, {value.warm_limit}",
            "lower cold_limit or raise warm_limit",
            change.version,
        )
    if value.kind is WorkloadKind.MODEL and not value.repeatable:
        yield ConfigurationError(
            ErrorKind.NOT_REPEATABLE,
            f"{change.key}.repeatable",
            "false",
            "true for a workload of kind model: engines have no at-most-once call",
            "remove the field, or publish the workload as a plain service",
            change.version,
        )


def _is_name(text: str) -> bool:
    try:
        _NAME.validate_python(text)
    except ValidationError:
        return False
    return True


def _unknown_key(change: Change) -> ConfigurationError:
    return ConfigurationError(
        ErrorKind.UNKNOWN_KEY,
        change.key,
        _abbreviated(change.key),
        "a name of letters, digits and ._:- after one of "
        + ", ".join(f"{kind}/" for kind in SCHEMAS),
        "rename or remove the key",
        change.version,
    )


_ERROR_KINDS = {
    "extra_forbidden": (ErrorKind.UNKNOWN_FIELD, "remove or rename the field"),
    "missing": (ErrorKind.MISSING_FIELD, "add the field"),
    "json_invalid": (ErrorKind.NOT_JSON, "publish valid JSON"),
}


def _errors(where: str, version: int, error: ValidationError) -> ConfigurationErrors:
    return tuple(_error(where, version, part) for part in error.errors())


def _error(where: str, version: int, part: dict[str, Any]) -> ConfigurationError:
    kind, remedy = _ERROR_KINDS.get(
        part["type"], (ErrorKind.BAD_VALUE, "set the field to an allowed value")
    )
    found = (
        "nothing" if kind is ErrorKind.MISSING_FIELD else _abbreviated(part["input"])
    )
    path = ".".join([where, *_path(part["loc"])])
    return ConfigurationError(kind, path, found, part["msg"], remedy, version)


def _path(location: Iterable[int | str]) -> list[str]:
    return [str(step) for step in location]


def _abbreviated(value: Any) -> str:
    text = repr(value)
    if len(text) <= FOUND_MAX_CHARACTERS:
        return text
    return text[:FOUND_MAX_CHARACTERS] + "..."
