"""Test the check of a configuration before it is published."""

import contextlib
import io
import json
import pathlib
import sys
import tempfile
import unittest
from copy import deepcopy
from unittest import mock

from nutmegslip_platform.main import main

ENGINE = {
    "slots": 6,
    "kvCacheTokens": 186_000,
    "step_ms": 5.0,
    "per_seq_ms": 0.7,
    "context_per_k": 0.07,
    "read_per_s": 60_000.0,
    "stride": 5,
    "usual": {"prompt": 800, "answer": 100},
}
CHAT = {
    "name": "chat",
    "host": "a.example",
    "pathPrefix": "/chat/",
    "kind": "streaming",
    "timeoutMs": 8_000,
    "latencyTargetMs": 400,
    "gapTargetMs": 120,
    "attempts": 2,
    "resumable": True,
    "trafficSplit": [
        {"service": "model", "weight": 9},
        {"service": "plain", "weight": 1},
    ],
}
PAY = {
    "name": "pay",
    "host": "a.example",
    "pathPrefix": "/pay/",
    "kind": "non_idempotent",
    "timeoutMs": 1_000,
    "service": "plain",
}
CLEAN = {
    "version": 7,
    "routes": [CHAT, PAY],
    "services": [{"name": "model", "engine": ENGINE}, {"name": "plain"}],
    "limits": {"headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
    "tenants": [{"name": "acme", "apiKeys": ["secret-1", "secret-2"]}],
}
CHAT_AT, PAY_AT, ACME_AT = ("routes", 0), ("routes", 1), ("tenants", 0)
SPLIT_AT, ENGINE_AT = (*CHAT_AT, "trafficSplit"), ("services", 0, "engine")
ZERO = [{"service": "model", "weight": 0}, {"service": "plain", "weight": 0}]

# Where a value is set in a clean configuration, the value, the start of a line.
ERRORS = (
    ((*PAY_AT, "service"), "other", "route pay trafficSplit: service 'other' is not"),
    ((*PAY_AT, "service"), None, "route pay trafficSplit: service '' is not"),
    ((*PAY_AT, "pathPrefix"), "/pay", "route pay pathPrefix: '/pay' never matches"),
    ((*PAY_AT, "pathPrefix"), "pay/", "route pay pathPrefix: 'pay/' never matches"),
    ((*CHAT_AT, "pathPrefix"), "/pay/", "route chat pathPrefix: never matches, since"),
    (SPLIT_AT, ZERO, "route chat trafficSplit: no weight is above 0"),
    ((*SPLIT_AT, 1, "weight"), -1, "route chat trafficSplit: service plain has weight"),
    ((*PAY_AT, "attempts"), 0, "route pay attempts: 0 is too low; use at least 1"),
    ((*PAY_AT, "timeoutMs"), 0, "route pay timeoutMs: 0 is too low"),
    (("limits", "bodyBytes"), 0, "limits bodyBytes: 0 is too low"),
    (("services", 0, "connectionLimit"), -1, "service model connectionLimit: -1 is"),
    ((*ENGINE_AT, "read_per_s"), 0, "service model read_per_s: 0 is too low"),
    ((*ENGINE_AT, "slots"), 0, "service model slots: 0 is too low"),
    (("services", 0, "name"), "plain", "service plain name: is listed again"),
    (
        ("tenants",),
        [{"name": "a", "apiKeys": ["k"]}, {"name": "b", "apiKeys": ["k"]}],
        "account a apiKeys: a key is also that of b",
    ),
)
WARNINGS = (
    ((*PAY_AT, "pathPrefix"), "/p?a/", "route pay pathPrefix: '/p?a/' never matches"),
    ((*PAY_AT, "host"), "a.example:80", "route pay host: 'a.example:80' never matches"),
    ((*PAY_AT, "name"), "chat", "route chat name: is used again"),
    ((*PAY_AT, "attempts"), 2, "route pay attempts: of 2, further ones"),
    ((*PAY_AT, "resumable"), True, "route pay resumable: has an effect only for"),
    ((*PAY_AT, "latencyTargetMs"), 2_000, "route pay latencyTargetMs: 2000 ms is over"),
    ((*SPLIT_AT, 0, "weight"), 0, "route chat trafficSplit: service model has weight"),
    ((*CHAT_AT, "trafficSplit"), [{"service": "plain", "weight": 1}], "service model:"),
    (
        ("tenants",),
        [{"name": "a", "apiKeys": ["k"]}, {"name": "a", "apiKeys": ["l"]}],
        "account a name: is listed again",
    ),
    ((*ACME_AT, "apiKeys"), [], "account acme apiKeys: has no key"),
    (("tenants",), [], "configuration tenants: holds no key, so all routes"),
    (("limits", "headerTimeoutMs"), 20_000, "limits headerTimeoutMs: 20000 ms is over"),
    ((*ENGINE_AT, "kvCacheTokens"), 500, "service model kvCacheTokens: 500 cannot"),
    ((*ENGINE_AT, "usual", "answer"), 2_000, "route chat timeoutMs: 8000 ms cannot"),
    ((*ENGINE_AT, "stride"), 25, "route chat gapTargetMs: 120 ms cannot be met"),
    ((*ENGINE_AT, "read_per_s"), 2_000, "route chat latencyTargetMs: 400 ms cannot"),
)
DIFFERENCES = (
    ((*PAY_AT, "timeoutMs"), 900, ["~ route pay timeoutMs: 1000 -> 900"]),
    ((*PAY_AT, "name"), "buy", ["+ route buy", "- route pay"]),
    (
        (*SPLIT_AT, 0, "weight"),
        5,
        ["~ route chat trafficSplit: model 9, plain 1 -> model 5, plain 1"],
    ),
    ((*ENGINE_AT, "step_ms"), 6.0, ["~ service model step_ms: 5.0 -> 6.0"]),
    (("limits", "headerBytes"), 9, ["~ limits headerBytes: 16384 -> 9"]),
    (
        (*ACME_AT, "apiKeys"),
        ["secret-2", "secret-3", "secret-4"],
        ["~ account acme apiKeys: 1 removed -> 2 added"],
    ),
    ((*ACME_AT, "priority"), 1, ["~ account acme priority: - -> 1"]),
    (
        ("tenants",),
        None,
        ["~ configuration requires keys: True -> False", "- account acme"],
    ),
)
FAULTS = (
    ((*PAY_AT, "timeoutMs"), "1s", "$.routes[1].timeoutMs: Expected `int`, got `str`"),
    ((*PAY_AT, "kind"), "once", "$.routes[1].kind: 'once' is unknown; use one of"),
    ((*ACME_AT,), {"apiKeys": []}, "$.tenants[0].name: is missing; add it"),
    ((*ENGINE_AT, "usual"), 3, "$.services[0].engine.usual: Expected `object`"),
    (("routes",), {}, "$.routes: Expected `array`, got `object`"),
)


def _with(*changes):
    value = deepcopy(CLEAN)
    for (*path, last), new in changes:
        part = value
        for step in path:
            part = part[step]
        part[last] = deepcopy(new)
    return value


class ConfigurationCheckTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self._folder = pathlib.Path(folder.name)

    def _file(self, name, value):
        path = self._folder / name
        path.write_text(json.dumps(value), encoding="utf-8")
        return str(path)

    def _run(self, value, *in_force):
        arguments = [self._file("new", value)]
        for old in in_force:
            arguments += ["--in-force", self._file("old", old)]
        return self._command(arguments)

    def _command(self, arguments):
        out, errors = io.StringIO(), io.StringIO()
        with (
            mock.patch.object(
                sys, "argv", ["entry", "check-configuration", *arguments]
            ),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(errors),
            self.assertRaises(SystemExit) as ended,
        ):
            main()
        lines, error_lines = out.getvalue().splitlines(), errors.getvalue().splitlines()
        return ended.exception.code, lines, error_lines

    def _assert_line(self, start, lines):
        self.assertTrue(any(line.startswith(start) for line in lines), lines)

    def test_clean_configuration_has_no_finding(self):
        self.assertEqual(self._run(CLEAN), (0, ["no errors"], []))

    def test_errors_exit_with_2(self):
        for path, value, start in ERRORS:
            with self.subTest(start):
                code, lines, _ = self._run(_with((path, value)))
                self.assertEqual(code, 2)
                self._assert_line(f"error: {start}", lines)

    def test_warnings_exit_with_0(self):
        for path, value, start in WARNINGS:
            with self.subTest(start):
                code, lines, _ = self._run(_with((path, value)))
                self.assertEqual((code, lines[-1]), (0, "no errors"))
                self._assert_line(f"warning: {start}", lines)

    def test_every_undecodable_field_is_reported(self):
        for path, value, text in FAULTS:
            with self.subTest(text):
                other = (("version",), "8")
                code, lines, errors = self._run(_with((path, value), other))
                self.assertEqual((code, lines, len(errors)), (2, [], 2))
                self.assertTrue(any(text in line for line in errors), errors)
                self.assertTrue(any("$.version: " in e for e in errors), errors)

    def test_differences(self):
        for path, value, expected in DIFFERENCES:
            with self.subTest(expected):
                new = _with((path, value), (("version",), 9))
                code, lines, _ = self._run(new, CLEAN)
                self.assertEqual(code, 0)
                self.assertEqual(
                    lines, ["~ configuration version: 7 -> 9", *expected, "no errors"]
                )
                self.assertNotIn("secret", "".join(lines))

    def test_an_empty_list_of_accounts_changes_no_need_for_keys(self):
        new = _with((("tenants",), []), (("version",), 9))
        code, lines, _ = self._run(new, CLEAN)
        self.assertEqual(code, 0)
        warning, *differences = lines
        self.assertTrue(warning.startswith("warning: configuration tenants: holds no"))
        expected = ["~ configuration version: 7 -> 9", "- account acme", "no errors"]
        self.assertEqual(differences, expected)

    def test_version_is_above_that_in_force(self):
        code, lines, _ = self._run(CLEAN, CLEAN)
        self.assertEqual(code, 2)
        self._assert_line("error: configuration version: 7 is not above 7", lines)

    def test_unreadable_files_and_arguments_exit_with_2(self):
        clean, text = self._file("clean", CLEAN), self._folder / "text"
        text.write_bytes(b"\xff{")
        absent = str(self._folder / "absent")
        for arguments in (
            [],
            [clean, "--other", clean],
            [absent],
            [str(text)],
            ["--in-force", absent, clean],
        ):
            with self.subTest(arguments):
                code, lines, errors = self._command(arguments)
                self.assertEqual((code, lines), (2, []))
                self.assertNotEqual(errors, [])


if __name__ == "__main__":
    unittest.main()
