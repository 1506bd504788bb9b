"""Start the entry process from the command line."""

from gevent import monkey

monkey.patch_all()

from nutmegslip_entry._program import Program  # noqa: E402
from nutmegslip_runtime.commands import run_command_line  # noqa: E402
from nutmegslip_runtime.settings import EntrySettings  # noqa: E402


def main() -> None:
    """Run the command line of ``nutmegslip-entry``."""
    run_command_line(EntrySettings, Program)


if __name__ == "__main__":
    main()
