"""docs/OPERATIONS.md: its events and metrics are those of the code, and its example works."""

import ast
import os
import re
import shlex
import tempfile
import time
import unittest
from collections.abc import Iterator
from pathlib import Path
from unittest.mock import patch

import urllib3
from prometheus_client.parser import text_string_to_metric_families

from dewledge.cli.main import run
from dewledge.embedded import OPERATOR_TOKEN, ClusterPlan, EmbeddedCluster
from dewledge.standin.deployments import MENUS
from dewledge.standin.group_server import GroupServer
from dewledge.standin.group_settings import DatabaseSettings, GroupSettings

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
SOURCES = ROOT / "src" / "dewledge"
LOGGING_PACKAGES = ("core", "shell")
POOLER_PACKAGES = ("shell/pooler", "core/pooler", "core/pooler/sharing", "core/pooler/failover")
"""Their events stand on the pooler's own page, which has a test of its own."""
LOGGER_METHODS = ("debug", "info", "warning", "error", "exception")
PATIENCE_SECONDS = 20.0


def section(title: str) -> str:
    """Returns one section of the page."""
    return PAGE.partition(f"\n## {title}\n")[2].partition("\n## ")[0]


def blocks(language: str, text: str) -> list[str]:
    """Returns the code blocks of one language."""
    return re.findall(rf"^```{language}\n(.*?)^```$", text, re.MULTILINE | re.DOTALL)


def first_column(title: str) -> list[str]:
    """Returns the code words that begin the rows of a section's table."""
    return re.findall(r"^\| `(\w+)` \|", section(title), re.MULTILINE)


def constants(node: ast.expr) -> Iterator[str]:
    """Returns the texts that an expression may be."""
    if isinstance(node, ast.IfExp):
        yield from constants(node.body)
        yield from constants(node.orelse)
    elif isinstance(node, ast.Constant) and isinstance(node.value, str):
        yield node.value


def is_logging_call(call: ast.Call) -> bool:
    """Tells whether a call logs an event under the name that is its first argument."""
    match call.func:
        case ast.Name(id="LogEvent"):
            return True
        case ast.Attribute(attr="log" | "_log"):
            return True
        case ast.Attribute(value=value, attr=method) if method in LOGGER_METHODS:
            return "logger" in ast.unparse(value)
    return False


def logged_events() -> set[str]:
    """Returns the names of the events that the code logs."""
    events: set[str] = set()
    for package in LOGGING_PACKAGES:
        for path in (SOURCES / package).rglob("*.py"):
            if any(path.is_relative_to(SOURCES / each) for each in POOLER_PACKAGES):
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and node.args and is_logging_call(node):
                    events.update(constants(node.args[0]))
    return events


class EventsTest(unittest.TestCase):
    def test_the_page_lists_the_events_of_the_code(self) -> None:
        self.assertCountEqual(first_column("Log events"), logged_events())


class ClusterTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = EmbeddedCluster(ClusterPlan(MENUS, groups=MENUS.groups[:1]))
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.start()

    def test_the_page_lists_the_metrics_of_a_proxy(self) -> None:
        address = self.cluster.caller_addresses()[0]
        text = urllib3.request("GET", f"http://{address}/metrics").data.decode()
        families = {it.name: it.type for it in text_string_to_metric_families(text)}
        # The client library adds these; the page says so once for all.
        created = {f"{name}_created" for name in families}
        families = {name: kind for name, kind in families.items() if name not in created}
        listed = re.findall(r"^\| `(\w+)` \| (\w+) \|", section("Metrics"), re.MULTILINE)
        self.assertEqual(dict(listed), families)

    def test_the_example_of_moving_a_service_works(self) -> None:
        text = section("Moving one service off the scripts")
        (document,) = blocks("yaml", text)
        group = self._start_group()
        for name, address in group.addresses.items():
            document = re.sub(rf'(name: {name}}}\n.*address: )"[^"]+"', rf'\1"{address}"', document)
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        (directory / "diets.yaml").write_text(document)
        lines = [line for block in blocks("sh", text) for line in block.splitlines()]
        self.assertGreater(len(lines), 0)
        for line in lines:
            with self.subTest(line):
                self._await_exit(line, directory)

    def _start_group(self) -> GroupServer:
        databases = tuple(
            DatabaseSettings(name=f"diets-{site}", zone=f"{site}-a", region=site)
            for site in MENUS.sites
        )
        server = GroupServer(GroupSettings(name="diets", databases=databases))
        server.start()
        self.addCleanup(server.stop)
        return server

    def _await_exit(self, line: str, directory: Path) -> None:
        """Runs a command until it ends as the page says, since changes take a moment."""
        command, _, comment = line.partition("#")
        expected = 1 if "exits with 1" in comment else 0
        give_up_at = time.monotonic() + PATIENCE_SECONDS
        while (code := self._run(command, directory)) != expected:
            if time.monotonic() > give_up_at:
                self.fail(f"exit code {code}, not {expected}")
            time.sleep(0.1)

    def _run(self, command: str, directory: Path) -> int:
        words = shlex.split(command)
        environment = {
            "DEWLEDGE_PROXY": self.cluster.caller_addresses()[0],
            "DEWLEDGE_TOKEN": OPERATOR_TOKEN,
        }
        while "=" in words[0]:
            name, _, value = words.pop(0).partition("=")
            environment[name] = value
        self.assertEqual(words.pop(0), "dewledge")
        arguments = [str(directory / it) if it.endswith(".yaml") else it for it in words]
        with patch.dict(os.environ, environment):
            return run(arguments)


if __name__ == "__main__":
    unittest.main()
