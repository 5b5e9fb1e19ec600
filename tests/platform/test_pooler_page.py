"""docs/POOLER.md: its settings, events and metrics are those of the code."""

import ast
import re
import unittest
from pathlib import Path

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from dewledge.checked_values import descriptions
from dewledge.core.pooler import events as pooling_events
from dewledge.core.pooler.failover.messages import CandidatesChecked, PhaseChanged
from dewledge.core.pooler.load.wait_summaries import WaitsCounted
from dewledge.core.pooler.rate_limits.grantor import GrantorChanged
from dewledge.pooler_settings import LoadSettings, PoolerSettings, PoolerTimings, QuotaSettings
from dewledge.shell.pooler.observing.event_log import event_name
from dewledge.shell.pooler.observing.pooler_metrics import PoolerMetrics
from tests.test_operations import POOLER_PACKAGES, SOURCES, constants, is_logging_call

ROOT = Path(__file__).parent.parent.parent
PAGE = (ROOT / "docs" / "POOLER.md").read_text()
GAUGES = {
    "dewledge_client_sessions",
    "dewledge_database_connections",
    "dewledge_databases_full",
    "dewledge_links",
    "dewledge_links_doubted",
    "dewledge_links_silent",
    "dewledge_channels_lent",
    "dewledge_statements_waiting",
    "dewledge_waits_expected",
    "dewledge_waits_within_quarter",
    "dewledge_waits_within_double",
    "dewledge_waits_refused",
    "dewledge_waits_refused_with_room",
    "dewledge_slot_seconds",
    "dewledge_slot_seconds_largest_caller",
    "dewledge_members",
    "dewledge_configuration_version",
    "dewledge_configuration_age_seconds",
    "dewledge_ready",
}


def section(title: str) -> str:
    return PAGE.partition(f"\n## {title}\n")[2].partition("\n## ")[0]


def typed_events() -> set[str]:
    kinds = [
        kind
        for kind in vars(pooling_events).values()
        if isinstance(kind, type)
        and issubclass(kind, pooling_events.PoolingEvent)
        and kind is not pooling_events.PoolingEvent
    ]
    others = (PhaseChanged, CandidatesChecked, GrantorChanged, WaitsCounted)
    return {event_name(kind) for kind in [*kinds, *others]}


def logged_events() -> set[str]:
    events: set[str] = set()
    for package in POOLER_PACKAGES:
        for path in (SOURCES / package).rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and node.args and is_logging_call(node):
                    events.update(constants(node.args[0]))
    return events


def default_text(field: msgspec.structs.FieldInfo) -> str:
    if field.default is None:
        return "none"
    return str(field.default if field.default is not msgspec.NODEFAULT else field.default_factory())


class PageTest(unittest.TestCase):
    def test_events(self) -> None:
        listed = re.findall(r"^\| `(\w+)` \|", section("Events"), re.MULTILINE)
        self.assertCountEqual(listed, typed_events() | logged_events())

    def test_settings(self) -> None:
        rows = re.findall(
            r"^\| `([\w.]+)` \| (.*?) \| (.*?) \|$", section("Settings"), re.MULTILINE
        )
        listed = {name: (default, meaning) for name, default, meaning in rows}
        expected: dict[str, tuple[str, str]] = {}
        for prefix, model in (
            ("", PoolerSettings),
            ("timings.", PoolerTimings),
            ("quota.", QuotaSettings),
            ("load.", LoadSettings),
        ):
            meanings = descriptions(model)
            for field in msgspec.structs.fields(model):
                if field.name in ("timings", "quota", "load"):
                    continue
                text = "required" if field.required else f"`{default_text(field)}`"
                expected[prefix + field.name] = (text, meanings[field.name])
        self.assertEqual(listed, expected)

    def test_metrics(self) -> None:
        rows = re.findall(r"^\| `(\w+)` \| (\w+) \|", section("Metrics"), re.MULTILINE)
        families = text_string_to_metric_families(PoolerMetrics().render().decode())
        expected = {family.name: family.type for family in families}
        self.assertEqual(dict(rows), expected | dict.fromkeys(GAUGES, "gauge"))


if __name__ == "__main__":
    unittest.main()
