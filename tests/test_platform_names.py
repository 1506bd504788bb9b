"""Test that the platform's names stay in its folder and shadow no Python module."""

import pathlib
import re
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).parent.parent
NAMES = re.compile(
    r"x-nutmegslip-|pathPrefix|kv-(key|range|watch)|trafficSplit|coldRemainingMs"
    r"|fencingToken|NUTMEGSLIP_CONFIG|At-Server|op/(config|evacuate)|kvCache"
    r"|latencyTargetMs|gapTargetMs|hasMore|currentRev|apiKeys|internalPorts",
    re.IGNORECASE,
)


class PlatformNamesTests(unittest.TestCase):
    def test_packages_do_not_use_platform_names(self):
        found = [
            f"{path.relative_to(ROOT)}: {match.group()}"
            for path in sorted((ROOT / "packages").rglob("*.py"))
            for match in NAMES.finditer(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual(found, [])

    def test_folder_does_not_shadow_the_standard_module(self):
        code = "import platform; print(platform.python_version())"
        result = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True
        )
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())

    def test_example_settings_pass_the_check(self):
        run = subprocess.run(
            [
                sys.executable,
                "platform/entry.py",
                "check-settings",
                "examples/direct-entry.toml",
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual((run.returncode, run.stdout), (0, "no errors\n"), run.stderr)

    def test_settings_error_names_the_file(self):
        run = subprocess.run(
            [sys.executable, "platform/entry.py", "check-settings", "README.md"],
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        self.assertEqual(run.returncode, 2)
        self.assertIn("README.md", run.stderr)


if __name__ == "__main__":
    unittest.main()
