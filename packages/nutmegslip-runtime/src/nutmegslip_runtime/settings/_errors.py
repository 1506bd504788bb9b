"""Define errors in settings."""

from typing import NamedTuple


class SettingsError(NamedTuple):
    """One error: its location, the value found and the values allowed."""

    file: str
    key: str
    found: str
    allowed: str

    @property
    def message(self) -> str:
        """Return the error in one line."""
        return f"{self.file}: {self.key}: found {self.found}; {self.allowed}"


SettingsErrors = tuple[SettingsError, ...]
