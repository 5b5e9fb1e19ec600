"""Which tables a process reads from the store during and after its start."""

import unittest
from concurrent.futures import Executor
from typing import Any

from dewledge.core.pooler.sharing.members import Member
from dewledge.shell.pooler.tables.table_reading import (
    STARTUP_PERIOD_SECONDS,
    StoreCalls,
    TableReading,
)
from tests.core.pooler.harness import ModelScheduler


class Watchers:
    """An executor that ignores the submitted calls."""

    def submit(self, *_: Any) -> None:
        pass


class Members:
    """A member table with fixed members."""

    is_known = True

    def __init__(self, names: list[str]) -> None:
        self.members = {name: Member(f"127.0.0.1:{7000 + n}", "z") for n, name in enumerate(names)}
        self.count = len(names)


class Settings:
    """The settings that TableReading uses."""

    name = "a"
    zones: dict[str, str] = {}

    class timings:  # noqa: N801
        configuration_bound = 5.0


class StartTest(unittest.TestCase):
    def readers(self, names: list[str], seconds: float) -> list[str]:
        """Returns the tables that process `a` polls in the store, `seconds` after its start."""
        scheduler = ModelScheduler()
        loop: Any = scheduler
        loop.post = lambda callback: callback()
        executor: Any = Watchers()
        self.assertFalse(isinstance(executor, Executor))
        links: Any = type("Links", (), {"add_user": lambda *_: None, "to": self._no_link})()
        store: Any = None
        calls = StoreCalls(store, executor)
        settings: Any = Settings()
        members: Any = Members(names)
        reading = TableReading(loop, settings, calls, links, members, "members")
        for table in ("members", "routes"):
            reading.add(table, lambda *_: None, lambda *_: None)
        reading.start()
        reading.on_members_changed()
        scheduler.advance(seconds)
        watchers: dict[str, Any] = reading._watchers
        return [name for name, watcher in watchers.items() if watcher._is_reader]

    @staticmethod
    def _no_link(*_: Any) -> Any:
        return type("Link", (), {"is_usable": False, "probe": lambda _: None})()

    def test_at_first_one_that_knows_few_others_looks_for_more_only(self) -> None:
        self.assertEqual(self.readers(["a"], STARTUP_PERIOD_SECONDS / 2), ["members"])

    def test_later_it_reads_all_if_it_still_knows_few(self) -> None:
        self.assertEqual(self.readers(["a"], STARTUP_PERIOD_SECONDS * 1.1), ["members", "routes"])

    def test_one_that_knows_many_follows_or_reads_at_once(self) -> None:
        many = [f"n{number}" for number in range(40)]
        self.assertIn(self.readers(["a", *many], 0.0), ([], ["members", "routes"]))


if __name__ == "__main__":
    unittest.main()
