"""Print the documentation page of settings."""

from nutmegslip_runtime.settings import EntrySettings, SidecarSettings, render_page

PROGRAMS = {"nutmegslip-entry": EntrySettings, "nutmegslip-sidecar": SidecarSettings}

if __name__ == "__main__":
    print(render_page(PROGRAMS), end="")
