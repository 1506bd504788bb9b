"""Implement the ``timeline`` command."""

import sys
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path

from expression import Error, Ok, Result

from nutmegslip_runtime.timeline._merge import Timeline, merge
from nutmegslip_runtime.timeline._page import render_page
from nutmegslip_runtime.timeline._select import Selection, select
from nutmegslip_runtime.timeline._text import render_text

EXIT_OK = 0
EXIT_BAD_INPUT = 2


def show_timeline(logs: Sequence[Path], selection: Selection, page: Path | None) -> int:
    """Print the timeline of logs, or write it as a page; return the exit code.

    Invalid lines are counted and skipped. The exit code is 2 if no log is given,
    a log cannot be read or the page cannot be written.
    """
    selected = _read_logs(logs).map(lambda timeline: select(timeline, selection))
    return selected.bind(lambda timeline: _write_timeline(timeline, page)).default_with(
        _report_error
    )


def _read_logs(logs: Sequence[Path]) -> Result[Timeline, str]:
    if not logs:
        return Error("no logs given; name at least one file")
    try:
        with ExitStack() as stack:
            files = {
                str(path): stack.enter_context(
                    path.open(encoding="utf-8", errors="replace")
                )
                for path in logs
            }
            return Ok(merge(files))
    except OSError as error:
        return Error(f"{error}; check that each file is readable")


def _write_timeline(timeline: Timeline, page: Path | None) -> Result[int, str]:
    if page is None:
        sys.stdout.write(render_text(timeline))
        return Ok(EXIT_OK)
    try:
        text = render_page(timeline, "nutmegslip timeline")
        page.write_text(text, encoding="utf-8", errors="replace")
    except OSError as error:
        return Error(f"{error}; check that the file is writable")
    print(f"{page}: {len(timeline.entries)} events")
    return Ok(EXIT_OK)


def _report_error(message: str) -> int:
    print(message, file=sys.stderr)
    return EXIT_BAD_INPUT
