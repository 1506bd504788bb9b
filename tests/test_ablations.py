"""Test that each mechanism of the ablation can be switched off in the sources."""

import pathlib
import tomllib
import unittest

ROOT = pathlib.Path(__file__).parent.parent


class AblationTests(unittest.TestCase):
    def test_each_edit_changes_one_place(self):
        listed = tomllib.loads((ROOT / "platform/ablations.toml").read_text())
        for ablation in listed["ablation"]:
            with self.subTest(name=ablation["name"]):
                source = (ROOT / ablation["file"]).read_text()
                self.assertEqual(source.count(ablation["find"]), 1)
                self.assertNotEqual(ablation["find"], ablation["replace"])
