"""Lay out the files of an earlier build beside the working tree."""

import pathlib
import subprocess

from soak._run import LOGS_FOLDER


def checkout_of(commit: str) -> pathlib.Path:
    """Return the files of an earlier build, which share this environment."""
    folder = LOGS_FOLDER / f"production-{commit}"
    if not folder.exists():
        folder.mkdir(parents=True)
        archive = subprocess.run(
            ["git", "archive", commit, "packages", "platform"],
            check=True,
            stdout=subprocess.PIPE,
        )
        subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
    return folder
