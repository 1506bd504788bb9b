"""Read settings and report all errors at once."""

import pathlib
import tomllib
from typing import TypeVar

from expression import Error, Ok, Result
from pydantic import BaseModel, ValidationError

from nutmegslip_runtime.settings._errors import SettingsError, SettingsErrors

Settings = TypeVar("Settings", bound=BaseModel)

MAX_SHOWN_CHARACTERS = 60
_SECRET_KEYS = frozenset({"key"})


def read_settings(file: str, model: type[Settings]) -> Result[Settings, SettingsErrors]:
    """Return the validated settings of a file, or all errors in it."""
    return read_toml(file).bind(lambda content: _validate(file, content, model))


def read_toml(file: str) -> Result[dict, SettingsErrors]:
    """Return the content of a TOML file, or why it cannot be read or parsed."""
    try:
        return Ok(tomllib.loads(pathlib.Path(file).read_text(encoding="utf-8")))
    except OSError as error:
        found, allowed = error.strerror or type(error).__name__, "a readable file"
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        found, allowed = str(error), "TOML in UTF-8"
    return Error((SettingsError(file, "(file)", found, f"allowed: {allowed}"),))


def _validate(
    file: str, content: dict, model: type[Settings]
) -> Result[Settings, SettingsErrors]:
    try:
        return Ok(model.model_validate(content))
    except ValidationError as error:
        details = error.errors(include_url=False)
        return Error(tuple(_settings_error(file, detail) for detail in details))


def _settings_error(file: str, detail: dict) -> SettingsError:
    key = ".".join(str(part) for part in detail["loc"])
    if detail["type"] == "missing":
        return SettingsError(
            file, key, "nothing", "allowed: a value, as it has no default"
        )
    if detail["type"] == "extra_forbidden":
        return SettingsError(file, key, "an unknown key", "allowed: known keys only")
    return SettingsError(file, key, _format_input(detail), f"allowed: {detail['msg']}")


def _format_input(detail: dict) -> str:
    if detail["loc"][-1] in _SECRET_KEYS:
        return "a value that is not shown"
    return repr(detail["input"])[:MAX_SHOWN_CHARACTERS]
