"""The promises of dewledge, each judged from a run's history.

`check_all` is what tests and the bench call; each checker also stands alone, so that a contract
test can look at its own point.
"""

from collections.abc import Callable

from dewledge.simulation.history import History
from dewledge.simulation.promises_operations import (
    check_configuration,
    check_planned_stops,
    check_retired_databases,
)
from dewledge.simulation.promises_reads import check_answered, check_own_answers, check_sessions
from dewledge.simulation.promises_transactions import check_transactions
from dewledge.simulation.promises_writes import (
    check_acknowledged_writes,
    check_at_most_once,
    check_not_run,
)
from dewledge.simulation.violations import Violation

Checker = Callable[[History], list[Violation]]

CHECKERS: tuple[Checker, ...] = (
    check_acknowledged_writes,
    check_at_most_once,
    check_not_run,
    check_transactions,
    check_sessions,
    check_own_answers,
    check_answered,
    check_configuration,
    check_retired_databases,
    check_planned_stops,
)


def check_all(history: History) -> list[Violation]:
    """Returns every violation of every promise."""
    return [violation for checker in CHECKERS for violation in checker(history)]
