"""What the tests of the group model share: statements, and a model that is let run."""

import unittest
from random import Random

from dewledge.core.proxy.calls import Access, Statement
from dewledge.core.shared.positions import LogPosition
from dewledge.standin.group_model import GroupModel
from dewledge.standin.group_types import (
    GroupTiming,
    ModelDatabase,
)

NAMES = ("a", "b", "c")
TIMING = GroupTiming()
SETTLE = 3.0
"""Seconds of the model's time after which an election is over."""

CREATE = Statement("CREATE TABLE notes (id INTEGER PRIMARY KEY, body TEXT)")
SELECT = Statement("SELECT body FROM notes ORDER BY id")


def insert(body: str) -> Statement:
    return Statement("INSERT INTO notes (body) VALUES (?)", (body,))


class GroupModelCase(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.start(seed=1)

    def start(self, seed: int) -> None:
        databases = tuple(ModelDatabase(name, name, name, max_connections=4) for name in NAMES)
        self.model = GroupModel("group", databases, TIMING, Random(seed), self.now)
        self.session = self.open("a")
        self.write(CREATE)

    def open(self, database: str) -> int:
        return self.model.open_session(database, self.now)

    def write(self, statement: Statement, session: int | None = None) -> LogPosition:
        chosen = self.session if session is None else session
        return self.model.execute(chosen, statement, Access.WRITE, self.now).position

    def bodies(self, session: int) -> list[object]:
        found = self.model.execute(session, SELECT, Access.READ, self.now)
        return [row[0] for row in found.rows.rows]

    def wait(self, seconds: float = SETTLE) -> None:
        self.now += seconds
        self.model.advance(self.now)

    def begin(self, database: str = "a") -> int:
        session = self.open(database)
        self.model.begin(session, self.now)
        return session

    def status(self, database: str):
        found = self.model.status(database, self.now)
        assert found is not None
        return found
