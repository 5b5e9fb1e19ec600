"""Recovery from an overload: goodput must be back to normal soon after its cause has ended."""

import unittest

from dewledge.core.pooler.pool.slot_window import SlotWindow
from tests.core.pooler.test_useful_waits import SLOTS, WORK, QueueSimulation, SentStatement

USUAL_LOAD_RATIO = 0.8
"""Ratio of the capacity of the slots."""
BURST_STATEMENTS = 120
BURST_WAITED_SECONDS = 0.5
TARGET_SECONDS = 0.4
TIMEOUT_SECONDS = 0.8
STEP_SECONDS = WORK / SLOTS / USUAL_LOAD_RATIO
RETRY_SECONDS = 0.1
"""Delay before a client retries, whatever retry time it received."""
MAX_ATTEMPTS = 3


class RetryingClients(QueueSimulation):
    """A queue whose clients retry refused statements a few times with their first arrival."""

    def __init__(self) -> None:
        super().__init__()
        self.usual: list[SentStatement] = []

    def send_with_retries(self, waited: float, attempts: int = 1) -> SentStatement:
        statement = SentStatement(1, waited, TARGET_SECONDS, TIMEOUT_SECONDS)
        self.send(statement)
        self._check_outcome(statement, attempts)
        return statement

    def _check_outcome(self, statement: SentStatement, attempts: int) -> None:
        """Schedules a retry if the statement was refused."""
        if statement.outcomes == ["served"] or attempts >= MAX_ATTEMPTS:
            return
        if not statement.outcomes:
            self.scheduler.call_later(
                RETRY_SECONDS, lambda: self._check_outcome(statement, attempts)
            )
            return
        waited = self.scheduler.now() - statement.arrived + RETRY_SECONDS
        self.scheduler.call_later(RETRY_SECONDS, lambda: self._retry(waited, attempts + 1))

    def _retry(self, waited: float, attempts: int) -> None:
        self.send_with_retries(waited, attempts)

    def send_usual_load(self, seconds: float) -> list[SentStatement]:
        """Sends the usual load for some seconds and returns its statements."""
        sent_statements: list[SentStatement] = []
        for _ in range(int(seconds / STEP_SECONDS)):
            sent_statements.append(self.send_with_retries(0.0))
            self.scheduler.advance(STEP_SECONDS)
        return sent_statements


class RecoveryTest(unittest.TestCase):
    def test_goodput_recovers_after_burst_and_lost_connections(self) -> None:
        simulation = RetryingClients()
        simulation.send_usual_load(1.0)
        simulation.pool.switch_route(SlotWindow(SLOTS))
        for _ in range(BURST_STATEMENTS):
            simulation.send_with_retries(BURST_WAITED_SECONDS)
        simulation.send_usual_load(4.0)
        later = simulation.send_usual_load(2.0)
        simulation.scheduler.advance(TIMEOUT_SECONDS)
        self.assertEqual([statement.outcomes for statement in later], [["served"]] * len(later))
        self.assertLess(simulation.pool.waiting, SLOTS)
        self.assertEqual(
            [fault for fault in simulation.faults if "after its deadline" in fault], []
        )


if __name__ == "__main__":
    unittest.main()
