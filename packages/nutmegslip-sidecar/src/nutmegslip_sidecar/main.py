"""Start the sidecar from the command line."""

from gevent import monkey

monkey.patch_all()

from nutmegslip_runtime.commands import run_command_line  # noqa: E402
from nutmegslip_runtime.settings import SidecarSettings  # noqa: E402
from nutmegslip_sidecar._program import Program  # noqa: E402


def main() -> None:
    """Run the command line of ``nutmegslip-sidecar``."""
    run_command_line(SidecarSettings, Program)


if __name__ == "__main__":
    main()
