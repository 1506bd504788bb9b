"""Show the status of several processes as a table."""

import json
import sys
import urllib.request
from collections.abc import Iterable

from expression import Error, Ok, Result

from nutmegslip_runtime.admin import ProcessStatus
from nutmegslip_runtime.program import ExitCode

READ_TIMEOUT_S = 3

_COLUMNS = ("host", "zone", "program", "ready", "lease", "catalogue", "hosts", "links")


def show(addresses: Iterable[str]) -> int:
    """Print a table with one row per process, then details and errors."""
    results = [(address, fetch(address)) for address in addresses]
    statuses = [result.ok for _, result in results if result.is_ok()]
    print(render(statuses))
    for address, result in results:
        if result.is_error():
            print(f"{address}: {result.error}", file=sys.stderr)
    return ExitCode.OK if len(statuses) == len(results) else ExitCode.FAILED


def fetch(address: str) -> Result[ProcessStatus, str]:
    """Return the status of the process at an admin address."""
    try:
        url = f"http://{address}/status"
        with urllib.request.urlopen(url, timeout=READ_TIMEOUT_S) as response:
            return Ok(json.load(response))
    except (OSError, ValueError) as error:
        return Error(f"cannot read status: {error}; check that the process is running")


def render(statuses: list[ProcessStatus]) -> str:
    """Return the table, out marks, configuration errors and details as text."""
    rows = [_COLUMNS, *(_row(status) for status in statuses)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(_COLUMNS))]
    table = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    marks = sorted(
        {f"zone {zone} is out" for s in statuses for zone in s["zones_out"]}
        | {f"host {host} is out" for s in statuses for host in s["hosts_out"]}
    )
    refused = sorted({error for s in statuses for error in s["refused"]})
    details = [f"{s['host']}: {_details(s)}" for s in statuses]
    return "\n".join(line.rstrip() for line in (*table, *marks, *refused, *details))


def _row(status: ProcessStatus) -> tuple[str, ...]:
    return (
        status["host"],
        status["zone"],
        status["program"],
        "yes" if status["ready"] else "no",
        f"{status['lease_remaining_ms']} ms" if status["lease_held"] else "none",
        str(status["catalogue_version"]),
        str(status["hosts_version"]),
        str(len(status["links"])),
    )


def _details(status: ProcessStatus) -> str:
    scalars = (
        item for item in status["details"].items() if not isinstance(item[1], dict)
    )
    return ", ".join(f"{name} {value}" for name, value in scalars)
