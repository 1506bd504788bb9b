"""Test that settings are read and that all errors are reported."""

import pathlib
import tempfile
import unittest

from nutmegslip_decisions.configuration import check_document
from nutmegslip_runtime.settings import (
    EntrySettings,
    SidecarSettings,
    read_settings,
    read_toml,
    render_page,
)

ROOT = pathlib.Path(__file__).parent.parent
VALID_SETTINGS = """
[process]
host = "e1"
zone = "z1"
region = "r1"
[links]
listen = "127.0.0.1:7000"
key = "sixteen characters"
[http]
admin = "127.0.0.1:7001"
callers = "127.0.0.1:7002"
[platform]
address = "127.0.0.1:7003"
"""
# Each case replaces text in VALID_SETTINGS; the error must name the given key.
INVALID_SETTINGS = {
    "unknown key": ('zone = "z1"', 'zone = "z1"\ncolour = "red"', "process.colour"),
    "missing key": ('host = "e1"', "", "process.host"),
    "unknown section": ("[process]", "[other]\n[process]", "other"),
    "bad address": ("127.0.0.1:7000", "localhost:7000", "links.listen"),
    "short key": ("sixteen characters", "short", "links.key"),
    "wrong type": ('"127.0.0.1:7001"', "7001", "http.admin"),
    "margin": ("[platform]", "[once]\nmargin_ms = 30000\n[platform]", "once"),
    "not TOML": ("[process]", "[process", "(file)"),
}


class SettingsTests(unittest.TestCase):
    def read(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            file = pathlib.Path(folder) / "entry.toml"
            file.write_text(text)
            return read_settings(str(file), EntrySettings)

    def test_valid_settings_are_read(self) -> None:
        self.assertEqual(self.read(VALID_SETTINGS).ok.process.host, "e1")

    def test_each_error_names_its_key(self) -> None:
        for name, (old, new, key) in INVALID_SETTINGS.items():
            with self.subTest(name):
                (error,) = self.read(VALID_SETTINGS.replace(old, new)).error
                self.assertEqual(error.key, key)
                self.assertIn("allowed", error.message)

    def test_all_errors_are_reported_at_once(self) -> None:
        text = VALID_SETTINGS.replace('host = "e1"', "").replace("127.0.0.1:7003", "x")
        keys = {error.key for error in self.read(text).error}
        self.assertEqual(keys, {"process.host", "platform.address"})

    def test_a_key_is_never_shown(self) -> None:
        (error,) = self.read(
            VALID_SETTINGS.replace("sixteen characters", "secret")
        ).error
        self.assertNotIn("secret", error.message)

    def test_the_page_is_up_to_date(self) -> None:
        programs = {
            "nutmegslip-entry": EntrySettings,
            "nutmegslip-sidecar": SidecarSettings,
        }
        page = (ROOT / "docs" / "settings.md").read_text()
        self.assertEqual(page, render_page(programs))


class ExampleTests(unittest.TestCase):
    def test_the_examples_are_valid(self) -> None:
        folder = ROOT / "examples"
        programs = {"entry.toml": EntrySettings, "sidecar.toml": SidecarSettings}
        for name, model in programs.items():
            with self.subTest(name):
                self.assertTrue(read_settings(str(folder / name), model).is_ok())
        document = read_toml(str(folder / "catalogue.toml")).ok
        self.assertTrue(check_document(document).is_ok())
