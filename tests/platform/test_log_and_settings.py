"""The bounded log, metrics, the settings file of a running process, and the deploy files."""

import io
import json
import re
import tempfile
import threading
import time
import tomllib
import unittest
from pathlib import Path
from typing import Any

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from dewledge.core.pooler.events import StatementAnswered
from dewledge.core.pooler.rate_limits.limits import QuotaPolicy
from dewledge.errors import InvalidInput
from dewledge.pooler_settings import check_pooler_settings, load_pooler_settings
from dewledge.shell.pooler.observing.log_writer import MAX_BUFFERED_LINES, LogWriter
from dewledge.shell.pooler.observing.pooler_metrics import PoolerMetrics
from dewledge.shell.pooler.settings_file import CurrentSettings, SettingsFile

ROOT = Path(__file__).parent.parent.parent
TEMPLATE = ROOT / "deploy" / "pooler.toml.template"
FIELDS: dict[str, Any] = {
    "nodeName": "frontend-a-1",
    "zone": "a",
    "ip": "10.1.0.8",
    "internalPorts": [7440, 7455],
    "listen": {"frontend": "10.1.0.8:8784", "ready": "10.1.0.8:8785"},
    "platform": {"address": "10.200.1.7:8783"},
    "cloudApi": {"address": "10.200.0.160:8783"},
    "bounds": {"drainTimeoutMs": 7000, "graceS": 6, "configApplyMs": 4000, "fencingRequired": True},
    "zones": {"a": "north", "b": "south"},
}


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fills a template as the users' pages say, as far as ours goes."""

    def section(match: re.Match[str]) -> str:
        value: Any = fields
        for part in match.group(1).split("."):
            value = value.get(part)
        body = match.group(2)
        if not isinstance(value, dict):
            return body if value else ""
        entries = value.items()
        return "".join(body.replace("{{@}}", key).replace("{{.}}", value) for key, value in entries)

    def gap(match: re.Match[str]) -> str:
        value: Any = fields
        for part in match.group(1).split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        return json.dumps(value) if match.group(2) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


class DeployFilesTest(unittest.TestCase):
    def test_the_template_gives_settings_without_findings(self) -> None:
        values = tomllib.loads(fill(TEMPLATE.read_text(), FIELDS))
        settings = check_pooler_settings(values, "template")
        self.assertEqual(settings.zones, {"a": "north", "b": "south"})
        self.assertEqual(settings.timings.drain_bound, 7.0)

    def test_how_exactly_limits_are_kept_is_taken_where_the_platform_tells_it(self) -> None:
        told = {"quotaWindowS": 5, "quotaOvershoot": 0.1, "quotaSlack": 20}
        fields = {**FIELDS, "bounds": {**FIELDS["bounds"], **told}}
        values = tomllib.loads(fill(TEMPLATE.read_text(), fields))
        settings = check_pooler_settings(values, "template")
        self.assertEqual(settings.quota.policy, QuotaPolicy(5.0, 0.1, 20.0))

    def test_the_pinned_requirements_are_those_of_the_project(self) -> None:
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["dependencies"]
        lines = (ROOT / "deploy" / "requirements.txt").read_text().splitlines()
        pinned = {line for line in lines if line and not line.startswith("#")}
        self.assertLessEqual(pinned, set(project))

    def test_the_deploy_file_names_what_is_there(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.assertTrue((ROOT / deploy["roles"]["pooler"]["template"]).exists())


class SettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.file = directory / "pooler.toml"
        self.file.write_text(fill(TEMPLATE.read_text(), FIELDS))
        self.settings = load_pooler_settings(self.file)

    def test_all_findings_come_together(self) -> None:
        text = 'zone = 7\nclient_address = "nowhere"\ncolour = "red"\n[timings]\nstop_bound = -1\n'
        self.file.write_text(text)
        with self.assertRaises(InvalidInput) as raised:
            load_pooler_settings(self.file)
        places = " ".join(finding.place for finding in raised.exception.findings)
        for place in ("zone", "client_address", "colour", "timings.stop_bound", "name"):
            self.assertIn(place, places)

    def test_a_change_is_taken_but_for_what_needs_a_restart(self) -> None:
        file = SettingsFile(self.file)
        self.assertFalse(file.has_changed())
        text = self.file.read_text().replace("10.200.1.7:8783", "10.200.1.9:8783")
        self.file.write_text(text.replace("10.1.0.8:8784", "10.1.0.8:9999") + "\n")
        self.assertTrue(file.has_changed())
        read = file.read(self.settings)
        assert read is not None
        self.assertEqual(read.store_address, "10.200.1.9:8783")
        self.assertEqual(read.client_address, "10.1.0.8:8784")
        self.assertFalse(file.has_changed())

    def test_a_reload_changes_the_addresses_of_the_store_and_of_the_duty_calls(self) -> None:
        class Client:
            address = ""

            def change_address(self, address: str) -> None:
                self.address = address

        store, duties = Client(), Client()
        current = CurrentSettings(self.settings, self.file, store, duties)
        text = self.file.read_text().replace("10.200.1.7:8783", "10.200.1.9:8783")
        self.file.write_text(text.replace("10.200.0.160:8783", "10.200.0.161:8783") + "\n")
        current.reload_if_changed()
        self.assertEqual((store.address, duties.address), ("10.200.1.9:8783", "10.200.0.161:8783"))

    def test_a_file_with_findings_changes_nothing(self) -> None:
        file = SettingsFile(self.file)
        for text in ("zone = ", 'zone = "a"', "\0"):
            self.file.write_text(text)
            self.assertIsNone(file.read(self.settings))


class BlockedStream(io.StringIO):
    """A stream whose reader has stopped reading."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait(10.0)
        return super().write(text)


class LogWriterTest(unittest.TestCase):
    def test_a_reader_that_stops_costs_lines_and_no_time(self) -> None:
        stream = BlockedStream()
        writer = LogWriter(stream)
        writer.start()
        writer.write("first", is_plain=False)
        time.sleep(0.3)
        started = time.monotonic()
        for number in range(20_000):
            writer.write(f"line {number}", is_plain=number % 2 == 0)
        self.assertLess(time.monotonic() - started, 1.0)
        stream.released.set()
        writer.stop(5.0)
        lines = stream.getvalue().splitlines()
        self.assertLessEqual(len(lines), MAX_BUFFERED_LINES + 10)
        self.assertTrue(any("log_lines_left_out" in line for line in lines))

    def test_plain_lines_have_a_budget_and_others_are_never_crowded_out(self) -> None:
        stream = io.StringIO()
        writer = LogWriter(stream, clock=lambda: 5.0)
        for number in range(10_000):
            writer.write(f"plain {number}", is_plain=True)
            if number % 100 == 0:
                writer.write(f"change {number}", is_plain=False)
        lines = writer.drain()
        self.assertEqual(sum(line.startswith("change") for line in lines), 100)
        self.assertLessEqual(sum(line.startswith("plain") for line in lines), 400)
        counted = sum(int(line.split("=")[-1]) for line in lines if "left_out" in line)
        self.assertEqual(counted, 9_600)


class MetricsTest(unittest.TestCase):
    def test_a_statement_and_its_attempts_are_counted(self) -> None:
        metrics = PoolerMetrics()
        event = StatementAnswered(
            "7",
            "s1",
            "north",
            "r",
            "g",
            "primary",
            "read",
            "r1:floor:not_fresh@3,p:lead:done@20",
            "done",
            "",
            20,
            600,
            3,
        )
        metrics.observe_statement(event)
        families = text_string_to_metric_families(metrics.render().decode())
        samples = {
            (sample.name, *sorted(sample.labels.values())): sample.value
            for family in families
            for sample in family.samples
        }
        self.assertEqual(samples["dewledge_statements_total", "done", "primary", "read"], 1)
        self.assertEqual(samples["dewledge_statement_attempts_total", "floor", "not_fresh"], 1)
        self.assertEqual(samples["dewledge_statement_attempts_total", "done", "lead"], 1)

    def test_how_well_the_first_choice_was_foreseen_is_counted(self) -> None:
        metrics = PoolerMetrics()
        cases = ((20, 24), (24, 20), (1, 4), (20, 35), (20, 90), (90, 20), (-1, 20))
        for expected, waited in cases:
            event = StatementAnswered(
                *("7", "s1", "", "r", "g", "bounded_staleness", "read"),
                "r1:floor:done@20",
                "done",
                "",
                waited,
                600,
                3,
                expected,
                0,
            )
            metrics.observe_statement(event)
            metrics.observe_statement(msgspec.structs.replace(event, way="a:b:lost@1,c:d:done@9"))
        counts = {
            sample.labels["accuracy"]: sample.value
            for family in text_string_to_metric_families(metrics.render().decode())
            for sample in family.samples
            if sample.name == "dewledge_expected_completions_total"
        }
        self.assertEqual(counts, {"within_quarter": 3, "within_twice": 1, "beyond": 2})


if __name__ == "__main__":
    unittest.main()
