"""Render the settings of both programs as a page."""

from collections.abc import Iterator
from typing import Any

from pydantic import BaseModel

_HEAD = """# Settings

Each process reads one TOML file. Every fault is reported at once, with file, key, what
was found and what is allowed; an unknown key is a fault; nothing starts half. This page
is written by `python -m nutmegslip_runtime.settings > docs/settings.md`.
"""
_BOUNDS = (
    ("pattern", "matches {}"),
    ("minLength", "at least {} characters"),
    ("minimum", "from {}"),
    ("maximum", "to {}"),
    ("exclusiveMinimum", "above {}"),
)


def render_page(programs: dict[str, type[BaseModel]]) -> str:
    """Return the page; ``programs`` maps names to the models of settings."""
    parts = (line for name, model in programs.items() for line in _program(name, model))
    return "\n".join((_HEAD, *parts)) + "\n"


def _program(name: str, model: type[BaseModel]) -> Iterator[str]:
    schema = model.model_json_schema()
    yield f"## {name}\n"
    for key, field in schema["properties"].items():
        yield from _section(key, field, schema["$defs"])


def _section(key: str, field: dict[str, Any], models: dict[str, Any]) -> Iterator[str]:
    model = models[_referenced_model(field)]
    yield f"### [{key}]\n"
    yield f"{' '.join(model['description'].split())}\n"
    yield "| key | allowed | default |\n|---|---|---|"
    nested = []
    required = model.get("required", ())
    for name, child in model["properties"].items():
        if _referenced_model(child):
            nested.append((f"{key}.{name}", child))
        default = "none, required" if name in required else _format_default(child)
        yield f"| `{name}` | {_format_allowed(child)} | {default} |"
    yield ""
    for path, child in nested:
        yield from _section(path, child, models)


def _referenced_model(field: dict[str, Any]) -> str | None:
    """Return the name of the model that a field holds, if it holds one."""
    choices = (field, *field.get("anyOf", ()), field.get("items", {}))
    paths = (choice["$ref"] for choice in choices if "$ref" in choice)
    return next((path.rpartition("/")[2] for path in paths), None)


def _format_allowed(field: dict[str, Any]) -> str:
    if "enum" in field:
        return " or ".join(f"`{value}`" for value in field["enum"])
    kind = field.get("type") or "table"
    bounds = [
        text.format(f"`{_escape_pipes(field[bound])}`")
        for bound, text in _BOUNDS
        if bound in field
    ]
    return ", ".join((kind, *bounds))


def _format_default(field: dict[str, Any]) -> str:
    default = field.get("default")
    return "none" if default is None else f"`{default}`"


def _escape_pipes(value: object) -> str:
    return str(value).replace("|", r"\|")
