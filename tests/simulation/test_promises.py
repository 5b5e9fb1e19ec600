"""Each checker is fed a history that breaks its promise, and one that keeps it."""

import unittest

from dewledge.core.proxy.calls import Access, Operation, Outcome
from dewledge.core.shared.positions import LogPosition
from dewledge.simulation.history import (
    AbsenceRecord,
    AcceptanceRecord,
    ElectionRecord,
    History,
    ProposalRecord,
    RevisionRecord,
    StopRecord,
    WorkRecord,
)
from dewledge.simulation.promises import check_all
from dewledge.simulation.violations import Promise
from tests.simulation.histories import commit, read, request

OLD_TERM = LogPosition(1, 7)
KEYED = {"idempotency_key": "k"}
IN_TRANSACTION = {"transaction_tag": "t1"}
COMMIT = {"operation": Operation.COMMIT, "transaction_tag": "t1"}
WRITE = {"record": "r", "version": 2}
SECOND = {"sent_at": 2.0, "answered_at": 2.1}
NOT_RUN = {"outcome": Outcome.NOT_RUN}
ELECTION = ElectionRecord("group", "other", time=1.0, term=2)
DRAIN = AcceptanceRecord(time=1.0, revision=2, drained=("database",))


def history(*requests, commits=(), **others) -> History:
    return History(requests=list(requests), commits=list(commits), ended_at=60.0, **others)


def work(time: float, operation: Operation | None, in_transaction: bool = False) -> WorkRecord:
    return WorkRecord(time, "group", "database", "proxy", operation, in_transaction=in_transaction)


def revision(time: float, number: int, incarnation: int = 1) -> RevisionRecord:
    return RevisionRecord(time, "proxy", incarnation, number)


BROKEN = (
    (
        "acknowledged write missing",
        history(request("a")),
        {Promise.ACKNOWLEDGED_WRITES_STAND},
    ),
    (
        "acknowledged by a replaced primary",
        history(
            request("a"),
            commits=[commit("a", position=OLD_TERM, survives=False)],
            elections=[ELECTION],
        ),
        {Promise.ACKNOWLEDGED_WRITES_STAND, Promise.NO_REPLACED_PRIMARY},
    ),
    (
        "acknowledged transaction missing",
        history(request("a", **IN_TRANSACTION), request("c", **COMMIT)),
        {Promise.ACKNOWLEDGED_WRITES_STAND},
    ),
    (
        "unkeyed write twice, once on a lost branch",
        history(request("a"), commits=[commit("a"), commit("a", survives=False)]),
        {Promise.AT_MOST_ONCE},
    ),
    (
        "keyed write twice in the surviving log",
        history(
            request("a", outcome=Outcome.UNKNOWN, **KEYED),
            request("a", **KEYED, **SECOND),
            commits=[commit("a"), commit("a", time=2.05)],
        ),
        {Promise.AT_MOST_ONCE},
    ),
    (
        "not run, but committed",
        history(request("a", **NOT_RUN), commits=[commit("a")]),
        {Promise.NOT_RUN_IS_TRUE},
    ),
    (
        "not run, repeated, and committed before the repeat",
        history(
            request("a", **NOT_RUN, **KEYED),
            request("a", **KEYED, **SECOND),
            commits=[commit("a")],
        ),
        {Promise.NOT_RUN_IS_TRUE},
    ),
    (
        "rolled back, but committed",
        history(
            request("a", **IN_TRANSACTION),
            request("b", operation=Operation.ROLLBACK, **IN_TRANSACTION),
            commits=[commit("a", tags=("t1",))],
        ),
        {Promise.NOT_RUN_IS_TRUE},
    ),
    (
        "statements of two transactions in one entry",
        history(
            request("a", transaction_tag="t1"),
            request("b", transaction_tag="t2"),
            commits=[commit("a", "b", tags=("t1", "t2"))],
        ),
        {Promise.TRANSACTIONS_NEVER_MIX},
    ),
    (
        "a single write inside another's transaction",
        history(
            request("a", transaction_tag="t1"),
            request("b"),
            commits=[commit("a", "b", tags=("t1",))],
        ),
        {Promise.TRANSACTIONS_NEVER_MIX},
    ),
    (
        "transaction committed without one of its statements",
        history(
            request("a", **IN_TRANSACTION),
            request("b", **IN_TRANSACTION),
            request("c", **COMMIT),
            commits=[commit("a", tags=("t1",))],
        ),
        {Promise.TRANSACTIONS_NEVER_MIX},
    ),
    (
        "read below own write",
        history(request("a", **WRITE), read("b", 1, **SECOND), commits=[commit("a")]),
        {Promise.OWN_WRITES_READ_BACK},
    ),
    (
        "read below earlier read",
        history(read("a", 5), read("b", 4, **SECOND)),
        {Promise.OWN_WRITES_READ_BACK},
    ),
    (
        "answer of another request",
        history(read("a", 1, rows=(("b", 1),))),
        {Promise.OWN_ANSWER},
    ),
    ("answer without its rows", history(read("a", 1, rows=())), {Promise.OWN_ANSWER}),
    ("answered twice", history(read("a", 1, answers=2)), {Promise.OWN_ANSWER}),
    (
        "never answered",
        history(read("a", 1, outcome=None, answered_at=None, answers=0)),
        {Promise.ANSWERED},
    ),
    (
        "change not in force in time",
        history(revisions=[revision(0.0, 1)], acceptances=[AcceptanceRecord(1.0, 2)]),
        {Promise.CONFIGURATION_IN_FORCE},
    ),
    (
        "accepted change missing",
        history(proposals=[ProposalRecord(1.0, "c", Outcome.DONE, stands=False)]),
        {Promise.CONFIGURATION_ANSWER},
    ),
    (
        "refused change stands",
        history(proposals=[ProposalRecord(1.0, "c", Outcome.NOT_RUN, stands=True)]),
        {Promise.CONFIGURATION_ANSWER},
    ),
    (
        "configuration reverted",
        history(revisions=[revision(0.0, 2), revision(1.0, 1)]),
        {Promise.CONFIGURATION_NEVER_REVERTS},
    ),
    (
        "new statement on a retired database",
        history(acceptances=[DRAIN], work=[work(9.0, Operation.EXECUTE)]),
        {Promise.RETIRED_DATABASES},
    ),
    (
        "new connection to a retired database",
        history(acceptances=[DRAIN], work=[work(9.0, None)]),
        {Promise.RETIRED_DATABASES},
    ),
    (
        "old transaction on a retired database without end",
        history(acceptances=[DRAIN], work=[work(50.0, Operation.EXECUTE, True)]),
        {Promise.RETIRED_DATABASES},
    ),
    (
        "planned stop resets a request",
        history(
            read("a", 1, outcome=None, reset=True, answered_at=None),
            stops=[StopRecord("proxy", announced_at=0.9, ended_at=5.0)],
        ),
        {Promise.PLANNED_STOP},
    ),
    (
        "planned stop leaves a write in doubt",
        history(
            request("a", outcome=Outcome.UNKNOWN),
            stops=[StopRecord("proxy", announced_at=0.9, ended_at=5.0)],
        ),
        {Promise.PLANNED_STOP},
    ),
)

KEPT = (
    ("write that stands", history(request("a"), commits=[commit("a")], elections=[ELECTION])),
    (
        "unknown write lost",
        history(request("a", outcome=Outcome.UNKNOWN), commits=[commit("a", survives=False)]),
    ),
    (
        "keyed write redone after its branch was lost",
        history(
            request("a", outcome=Outcome.UNKNOWN, **KEYED),
            request("a", repeated=True, **KEYED, **SECOND),
            commits=[commit("a", survives=False), commit("a", time=2.05)],
        ),
    ),
    (
        "whole transaction",
        history(
            request("a", **IN_TRANSACTION),
            request("b", **IN_TRANSACTION),
            request("c", **COMMIT),
            commits=[commit("a", "b", tags=("t1",))],
        ),
    ),
    (
        "read of a write that was lost before anyone was told",
        history(
            request("a", outcome=Outcome.UNKNOWN, **WRITE),
            read("b", 2, sent_at=1.5),
            read("c", 1, **SECOND),
        ),
    ),
    (
        "change in force after the proxy thawed",
        history(
            revisions=[revision(0.0, 1), revision(23.0, 2)],
            acceptances=[AcceptanceRecord(1.0, 2)],
            absences=[AbsenceRecord("proxy", 0.5, 20.0)],
        ),
    ),
    (
        "restarted proxy begins with an older revision",
        history(revisions=[revision(0.0, 2), revision(1.0, 1, incarnation=2)]),
    ),
    (
        "retired database finishes what it had",
        history(
            acceptances=[DRAIN],
            work=[work(2.0, Operation.EXECUTE), work(9.0, Operation.EXECUTE, True)],
        ),
    ),
    (
        "change in doubt that stands",
        history(proposals=[ProposalRecord(1.0, "c", Outcome.UNKNOWN, stands=True)]),
    ),
    (
        "request cut by a killed proxy",
        history(read("a", 1, outcome=None, reset=True, answered_at=None)),
    ),
    ("read of another access", history(request("a", access=Access.READ))),
)


class CheckersTest(unittest.TestCase):
    def test_each_broken_promise_is_found(self) -> None:
        for name, broken, expected in BROKEN:
            with self.subTest(name):
                self.assertEqual({item.promise for item in check_all(broken)}, expected)

    def test_no_promise_is_reported_broken_that_was_kept(self) -> None:
        for name, kept in KEPT:
            with self.subTest(name):
                self.assertEqual([str(item) for item in check_all(kept)], [])

    def test_every_promise_has_a_history_that_breaks_it(self) -> None:
        covered = set().union(*(expected for _, _, expected in BROKEN))
        self.assertEqual(covered, set(Promise))


if __name__ == "__main__":
    unittest.main()
