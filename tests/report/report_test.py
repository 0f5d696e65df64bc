"""Tests of tools/report on lines as relay hosts write them."""

import contextlib
import gzip
import importlib.machinery
import importlib.util
import io
import json
import pathlib
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOADER = importlib.machinery.SourceFileLoader("report", str(ROOT / "tools" / "report"))
report = importlib.util.module_from_spec(importlib.util.spec_from_loader("report", LOADER))
LOADER.exec_module(report)


def line(host, second, message, **fields):
    return json.dumps({"time": f"2026-07-02T06:44:{second:02}.000Z", "level": "info", "host": host,
                       "message": message, **fields})


def ended(host, second, request, status, took, **fields):
    return line(host, second, "request ended", request=request, outcome=fields.pop("outcome", "answered"),
                status=str(status), route="r", parts=fields.pop("parts", "3/3"), took_ms=str(took),
                goal_ms="150", **fields)


LINES = [
    line("a", 0, "relay host started", zone="north"),
    "   0.5010 a " + ended("a", 1, "1", 200, 40),
    ended("a", 1, "2", 200, 180, trail="s1 i-1 hedged at 60 ms", parts="2/3"),
    ended("a", 3, "3", 502, 90, outcome="refused by another host"),
    ended("c", 3, "3", 502, 88, outcome="failed", forwarded_by="a",
          trail="s1 - no server free in time at 80 ms; s2 - no server free in time at 80 ms"),
    line("a", 3, "request refused", request="4", outcome="overloaded", status="503"),
    line("a", 3, "request refused", request="5", outcome="no_route", status="404"),
    line("c", 3, "request refused", request="1", outcome="behind", status="503", forwarded_by="a"),
    "{broken",
    '{"time": "x"}',
    "no log line",
    line("a", 4, "log lines were dropped", dropped="7"),
]


class ReportTest(unittest.TestCase):
    def summary(self, lines):
        log = report.Log()
        log.read(io.BytesIO("\n".join(lines).encode()))
        return report.summarise(log, 2)

    def test_requests_are_counted_once_with_the_reason_of_the_coordinator(self):
        """Guards against requests that count at each host they pass, and against reasons that name
        only the host which passed the answer on."""
        result = self.summary(LINES)
        self.assertEqual(5, result["requests"])
        reasons = {row["reason"]: row["count"] for row in result["reasons"]}
        self.assertEqual({"failed: waited in vain for a server": 1, "refused: overloaded": 1,
                          "late: servers and their hedges": 1}, reasons)
        self.assertEqual({"in time": 1, "late": 1, "failed": 1, "refused": 1, "invalid": 1},
                         result["by"]["zone"]["north"])
        self.assertEqual(1, result["answers_without_all_parts"])

    def test_unreadable_and_dropped_lines_are_reported(self):
        """Guards against gaps that look like quiet seconds."""
        result = self.summary(LINES)
        self.assertEqual(2, result["bad_lines"])
        self.assertEqual(7, result["dropped_lines"])

    def test_compressed_logs_give_the_same_table_and_a_page(self):
        """Guards against pages that need files beside them."""
        with tempfile.TemporaryDirectory() as folder:
            plain, packed = pathlib.Path(folder, "a.log"), pathlib.Path(folder, "a.log.gz")
            plain.write_text("\n".join(LINES))
            packed.write_bytes(gzip.compress(plain.read_bytes()))
            outputs = []
            for name in (plain, packed):
                output = io.StringIO()
                with contextlib.redirect_stdout(output):
                    self.assertEqual(0, report.main([str(name), "--html", str(name) + ".html"]))
                outputs.append(output.getvalue())
            self.assertEqual(outputs[0], outputs[1])
            self.assertIn("data:image/svg+xml", pathlib.Path(str(plain) + ".html").read_text())

    def test_logs_without_requests_are_an_error(self):
        """Guards against an empty report of a wrong file."""
        with tempfile.NamedTemporaryFile() as empty:
            with contextlib.redirect_stderr(io.StringIO()):
                self.assertEqual(2, report.main([empty.name]))
                self.assertEqual(1, report.main([empty.name + ".missing"]))


if __name__ == "__main__":
    unittest.main()
