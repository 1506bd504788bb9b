"""Print the documentation page of log events."""

import sys

from nutmegslip_runtime.eventlog import render_page

if __name__ == "__main__":
    sys.stdout.write(render_page())
