"""Parse the command line, run a command and return its exit code."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import defopt
from pydantic import BaseModel

from nutmegslip_runtime.commands import _catalogue, _status
from nutmegslip_runtime.commands._output import print_errors, print_result
from nutmegslip_runtime.eventlog import explain as explain_topic
from nutmegslip_runtime.eventlog import make_log
from nutmegslip_runtime.program import ExitCode
from nutmegslip_runtime.settings import SettingsErrors, read_settings
from nutmegslip_runtime.timeline import Selection, show_timeline

Command = Callable[..., int]


class RunnableProgram(Protocol):
    """A program that can be run once."""

    def run(self) -> ExitCode:
        """Run until stopped."""


def run_command_line(
    model: type[BaseModel], program: Callable[[BaseModel, bool], RunnableProgram]
) -> None:
    """Run the command that the arguments name, and exit with its code.

    Exit codes: 0 success, 1 failure, 2 invalid settings, catalogue or arguments,
    3 timeout of a graceful stop.
    """
    commands = {
        "serve": _serve_command(model, program),
        "check-settings": _check_settings_command(model),
        "check-catalogue": check_catalogue,
        "status": status,
        "explain": explain,
        "timeline": timeline,
    }
    sys.exit(defopt.run(commands, argv=sys.argv[1:]))


def check_catalogue(catalogue: str, *, platform: str = "") -> int:
    """Check a catalogue file before it is published.

    Prints every error. If there are none and a platform is given, prints the
    difference from the published catalogue.

    :param catalogue: TOML file with the tables workloads, accounts, zones and hosts
    :param platform: address of the configuration service, as ip:port
    """
    return _catalogue.check(catalogue, platform)


def status(*addresses: str) -> int:
    """Print the configuration in force and the load of each process.

    :param addresses: admin addresses of processes, as ip:port
    """
    return _status.show(addresses)


def explain(topic: str) -> int:
    """Explain an event or an error.

    :param topic: number or name of an event, such as NS1101, or kind of an error
    """
    return (
        explain_topic(topic)
        .map(print_result)
        .default_with(lambda e: print_errors([e.message]))
    )


def timeline(
    *logs: Path,
    request: str = "",
    host: str = "",
    zone: str = "",
    page: Path | None = None,
) -> int:
    """Merge the logs of several processes into one timeline.

    :param logs: files of JSON log lines
    :param request: only events of this request
    :param host: only events of this host
    :param zone: only events of this availability zone
    :param page: write one self-contained HTML page to this file
    """
    return show_timeline(logs, Selection(request, host, zone), page)


def _serve_command(
    model: type[BaseModel], program: Callable[[BaseModel, bool], RunnableProgram]
) -> Command:
    def serve(settings: str, *, first_start: bool = False) -> int:
        """Run the process until it is asked to stop.

        :param settings: TOML file with this process's settings
        :param first_start: confirm that no process of this site has run before, so
            that non-idempotent requests are accepted immediately; never use this
            for a restart
        """
        checked = read_settings(settings, model)
        return checked.map(
            lambda loaded: program(loaded, first_start).run()
        ).default_with(_report_settings_errors)

    return serve


def _report_settings_errors(errors: SettingsErrors) -> int:
    # Host and zone are unknown without valid settings.
    log = make_log("info", host="", zone="")
    for error in errors:
        log.emit("settings-refused", **error._asdict())
    return print_errors(errors)


def _check_settings_command(model: type[BaseModel]) -> Command:
    def check_settings(settings: str) -> int:
        """Check a settings file and print every error in it.

        :param settings: TOML file to check
        """
        checked = read_settings(settings, model)
        return checked.map(lambda _: print_result("no errors")).default_with(
            print_errors
        )

    return check_settings
