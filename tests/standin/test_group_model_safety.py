"""The group model under random faults: elections are safe, and what a majority holds stays."""

import unittest
from collections.abc import Callable
from random import Random

from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import (
    ConnectRefused,
    DatabaseError,
)
from tests.standin.group_model_case import (
    NAMES,
    SETTLE,
    GroupModelCase,
    insert,
)


class SafetyUnderRandomFaultsTest(GroupModelCase):
    """Random faults and writes, seeded: what a majority held in its term is never lost."""

    SEEDS = range(40)
    STEPS = 40

    def test_safety(self) -> None:
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                self.setUp()
                self.start(seed)
                self.run_steps(Random(seed))

    def run_steps(self, random: Random) -> None:
        confirmed: set[LogPosition] = set()
        for _ in range(self.STEPS):
            self.step(random)
            self.wait(random.choice((0.001, 0.05, 0.4, 1.5)))
            statuses = [status for name in NAMES if (status := self.model.status(name, self.now))]
            primaries = [item.term for item in statuses if item.role is DatabaseRole.PRIMARY]
            self.assertEqual(len(primaries), len(set(primaries)), "two primaries in one term")
            for entry in self.model.history:
                holders = [
                    item
                    for item in statuses
                    if item.term == entry.position.term and item.received >= entry.position
                ]
                if len(holders) > len(NAMES) // 2:
                    confirmed.add(entry.position)
        self.mend_all()
        surviving = self.model.surviving_log()
        self.assertLessEqual(confirmed, {entry.position for entry in surviving})
        for name in NAMES:
            self.assertEqual(self.status(name).applied, self.status("a").applied)
            self.assertEqual(self.status(name).applied.offset, len(surviving))
            self.assertEqual(len(self.bodies(self.open(name))), len(surviving) - 1)

    def step(self, random: Random) -> None:
        name = random.choice(NAMES)
        faults: tuple[Callable[[], object], ...] = (
            lambda: self.model.cut_off(name, random.random() < 0.5, self.now),
            lambda: self.model.heal(name, self.now),
            lambda: self.model.freeze(name, self.now),
            lambda: self.model.thaw(name, self.now),
            lambda: self.model.kill(name, self.now),
            lambda: self.model.restart(name, self.now),
            lambda: self.model.set_lag(name, random.choice((0.0, 0.2, 2.0)), self.now),
        )
        if random.random() < 0.4:
            random.choice(faults)()
        for database in self.model.primaries():
            try:
                session = self.open(database)
                self.write(insert("x"), session)
                self.model.close_session(session, self.now)
            except (DatabaseError, ConnectRefused):
                continue

    def mend_all(self) -> None:
        for name in NAMES:
            self.model.restart(name, self.now)
            self.model.thaw(name, self.now)
            self.model.heal(name, self.now)
            self.model.set_lag(name, 0.0, self.now)
            self.model.reset_connections(name, self.now)
        self.wait(10 * SETTLE)


if __name__ == "__main__":
    unittest.main()
