"""Check a catalogue file and compare it with the published catalogue."""

import urllib.request

from expression import Error, Ok, Result

from nutmegslip_decisions import configuration
from nutmegslip_decisions.model import Catalogue
from nutmegslip_runtime.commands._output import print_errors, print_result
from nutmegslip_runtime.settings import read_toml

READ_TIMEOUT_S = 5


def check(file: str, platform: str) -> int:
    """Print the errors of a catalogue file, or what it would change."""
    document = read_toml(file)
    if document.is_error():
        return print_errors(document.error)
    changes = configuration.check_document(document.ok)
    if changes.is_error():
        return print_errors(f"{file}: {error}" for error in changes.error)
    if not platform:
        return print_result(f"{file}: no errors")
    published = read_published(platform)
    if published.is_error():
        return print_errors([published.error])
    # A valid document can always be applied.
    wanted = configuration.apply(Catalogue(0), changes.ok).ok
    lines = configuration.difference(published.ok, wanted)
    return print_result("\n".join(lines) or "no difference")


def read_published(platform: str) -> Result[Catalogue, str]:
    """Return the catalogue that the platform currently publishes."""
    url = f"http://{platform}/v1/changes?after=0"
    try:
        with urllib.request.urlopen(url, timeout=READ_TIMEOUT_S) as response:
            body = response.read()
    except OSError as error:
        return Error(f"{platform}: {error}; check the address of the service")
    parsed = configuration.parse_changes(body, 0)
    if parsed.is_error():
        return Error("; ".join(str(error) for error in parsed.error))
    return _apply_valid(parsed.ok.changes)


def _apply_valid(changes: tuple[configuration.Change, ...]) -> Result[Catalogue, str]:
    """Apply each valid change and skip the others, as the processes do."""
    catalogue = Catalogue(0)
    for change in changes:
        applied = configuration.apply(catalogue, (change,))
        catalogue = applied.default_value(catalogue)
    return Ok(catalogue)
