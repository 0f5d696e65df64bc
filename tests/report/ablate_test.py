"""Tests of tools/ablate with a stand-in for the bench."""

import importlib.machinery
import importlib.util
import pathlib
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOADER = importlib.machinery.SourceFileLoader("ablate", str(ROOT / "tools" / "ablate"))
ablate = importlib.util.module_from_spec(importlib.util.spec_from_loader("ablate", LOADER))
LOADER.exec_module(ablate)


def figures(worth):
    return {"worth": worth, "served": worth, "refused": 0, "failed": 1 - worth}


class AblateTest(unittest.TestCase):
    def test_differences_are_paired_by_day_and_seed(self):
        """Guards against days of different worth that hide what a mechanism does."""
        plays = {ablate.BASELINE: {("d", "a", 1): figures(0.2), ("d", "b", 1): figures(0.8)},
                 "hedging": {("d", "a", 1): figures(0.1), ("d", "b", 1): figures(0.7)}}
        row = ablate.summarise(plays)[1]
        self.assertAlmostEqual(-0.1, row["difference"])
        self.assertAlmostEqual(0, row["error"])

    def test_failed_plays_leave_their_pair_out(self):
        """Guards against a difference between sets of days."""
        plays = {ablate.BASELINE: {("d", "a", 1): figures(0.2), ("d", "b", 1): figures(0.8)},
                 "hedging": {("d", "b", 1): figures(0.7)}, "forwarding": {}}
        rows = ablate.summarise(plays)
        self.assertAlmostEqual(-0.1, rows[1]["difference"])
        self.assertIn("| forwarding | 0 |", ablate.markdown(rows, 0.01))

    def test_each_deployment_has_its_own_table(self):
        """Guards against a mechanism that helps one deployment, harms another and seems worth nothing."""
        plays = {ablate.BASELINE: {("x/one.toml", "a", 1): figures(0.5), ("y/two.toml", "a", 1): figures(0.5)},
                 "hedging": {("x/one.toml", "a", 1): figures(0.4), ("y/two.toml", "a", 1): figures(0.6)}}
        text, report = ablate.tables(plays, ["x/one.toml", "y/two.toml"])
        differences = [report[name]["rows"][1]["difference"] for name in ("one", "two", "all deployments")]
        self.assertEqual([-0.1, 0.1, 0.0], [round(each, 6) for each in differences])
        self.assertIn("## one", text)

    def test_every_key_is_read_by_the_host(self):
        """Guards against a switch that does nothing."""
        source = (ROOT / "src" / "relay_host" / "relay_host_settings.cpp").read_text()
        for key in ablate.KEYS:
            self.assertIn(f'"{key}"', source)


if __name__ == "__main__":
    unittest.main()
