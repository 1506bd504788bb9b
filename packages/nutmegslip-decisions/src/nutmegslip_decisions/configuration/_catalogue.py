"""Validate changes, apply them to the catalogue and format differences."""

from collections.abc import Iterable
from typing import Any

from expression import Error, Ok, Result
from immutables import Map

from nutmegslip_decisions.configuration._changes import Change
from nutmegslip_decisions.configuration._errors import (
    ConfigurationError,
    ConfigurationErrors,
    ErrorKind,
)
from nutmegslip_decisions.configuration._parse import (
    CatalogueItem,
    parse_catalogue_change,
    parse_document,
)
from nutmegslip_decisions.model import Account, Catalogue

_TABLES = {
    "workload": "workloads",
    "account": "accounts",
    "zone": "zone_marks",
    "host": "host_marks",
}


def apply(
    catalogue: Catalogue, changes: Iterable[Change]
) -> Result[Catalogue, ConfigurationErrors]:
    """Apply the changes of one version atomically, or return all their errors.

    Each value is validated on its own. With a check across keys, the result
    would depend on which versions a process has received.
    """
    parsed = [(change, parse_catalogue_change(change)) for change in changes]
    errors = tuple(
        error for _, result in parsed if result.is_error() for error in result.error
    )
    if errors:
        return Error(errors)
    return Ok(_put_all(catalogue, [(change, result.ok) for change, result in parsed]))


def check_document(
    document: dict[str, Any], version: int = 1
) -> Result[tuple[Change, ...], ConfigurationErrors]:
    """Validate a catalogue document and return its keyed changes at one version.

    This validates each value and rejects client accounts that share a key.
    """
    changes = parse_document(document, version)
    if changes.is_error():
        return changes
    catalogue = apply(Catalogue(0), changes.ok)
    if catalogue.is_error():
        return Error(catalogue.error)
    shared = _shared_digests(catalogue.ok)
    return Error(shared) if shared else changes


def difference(old: Catalogue, new: Catalogue) -> tuple[str, ...]:
    """Return one line for each difference, by kind and then by name."""
    return tuple(
        line
        for kind, table in _TABLES.items()
        for name in sorted({*getattr(old, table), *getattr(new, table)})
        for line in _difference(
            f"{kind}/{name}",
            getattr(old, table).get(name),
            getattr(new, table).get(name),
        )
    )


def _put_all(
    catalogue: Catalogue, items: list[tuple[Change, CatalogueItem | None]]
) -> Catalogue:
    version = catalogue.version
    tables = {table: getattr(catalogue, table) for table in _TABLES.values()}
    for change, item in items:
        version = max(version, change.version)
        kind, _, name = change.key.partition("/")
        if kind in _TABLES:
            table = _TABLES[kind]
            tables[table] = _put(tables[table], name, item)
    return Catalogue(version, **tables)


def _put(table: Map, name: str, item: CatalogueItem | None) -> Map:
    if item is not None:
        return table.set(name, item)
    return table.delete(name) if name in table else table


def _shared_digests(catalogue: Catalogue) -> ConfigurationErrors:
    first: dict[str, str] = {}
    owners = (
        (digest, name, first.setdefault(digest, name))
        for name, account in sorted(catalogue.accounts.items())
        for digest in account.key_sha256
    )
    return tuple(
        ConfigurationError(
            ErrorKind.DUPLICATE_DIGEST,
            f"account/{name}.key_sha256",
            f"{digest[:12]}... of account/{other}",
            "a digest that no other client account uses",
            "use a separate key for each client account",
        )
        for digest, name, other in owners
        if name != other
    )


def _difference(
    key: str, old: CatalogueItem | None, new: CatalogueItem | None
) -> tuple[str, ...]:
    if old == new:
        return ()
    if old is None:
        return (f"+ {key}: {_format(new)}",)
    if new is None:
        return (f"- {key}",)
    if isinstance(new, str):
        return (f"~ {key}: {old} -> {new}",)
    return tuple(
        f"~ {key}.{field}: {_format(before)} -> {_format(after)}"
        for field, before, after in zip(new._fields, old, new, strict=True)
        if before != after
    )


def _format(value: object) -> str:
    match value:
        case Account():
            return f"{len(value.key_sha256)} keys, weight {value.weight}"
        case tuple() if hasattr(value, "_fields"):
            return ", ".join(
                f"{field}={_format(part)}"
                for field, part in zip(value._fields, value, strict=True)
                if field != "name"
            )
        case _:
            return str(value)
