"""Guards proven positions, the view of a group and the resulting read targets."""

import unittest

from dewledge.core.pooler.databases.freshness import FreshnessHistory
from dewledge.core.pooler.databases.group_view import DatabaseRecord, DatabaseRole, GroupView
from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.statements.targets import (
    Proof,
    ReadRequirements,
    read_floor,
    targets_by_local_load,
)
from dewledge.core.shared.positions import LogPosition
from tests.core.pooler.harness import GROUP, route


def record(
    name: str, revision: int, role: str = "replica", draining: bool = False
) -> DatabaseRecord:
    return DatabaseRecord(
        name, GROUP, "127.0.0.1:1", "a", DatabaseRole(role), draining, 3, revision
    )


class FreshnessHistoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = FreshnessHistory()
        for second in range(5):
            self.history.record(100.0 + second, LogPosition(1, second))

    def test_floor_is_oldest_proof_within_staleness_bound(self) -> None:
        self.assertEqual(self.history.floor(104.5, 2.0).position, LogPosition(1, 3))  # type: ignore[union-attr]

    def test_no_floor_if_all_proofs_are_older_than_bound(self) -> None:
        self.assertIsNone(self.history.floor(107.0, 2.0))

    def test_proof_of_earlier_term_is_ignored(self) -> None:
        self.history.record(105.0, LogPosition(2, 1))
        self.history.record(106.0, LogPosition(1, 9))
        self.assertEqual(self.history.newest.position, LogPosition(2, 1))  # type: ignore[union-attr]

    def test_history_size_is_bounded(self) -> None:
        for step in range(100_000):
            self.history.record(200.0 + step * 0.001, LogPosition(1, step))
        self.assertLess(len(self.history._proofs), 250)


class ReadFloorTest(unittest.TestCase):
    def test_floor_by_consistency(self) -> None:
        history = FreshnessHistory()
        history.record(100.0, LogPosition(1, 7))
        session_position = LogPosition(1, 9)
        cases = (
            (Consistency.PRIMARY, session_position, None),
            (Consistency.BOUNDED_STALENESS, session_position, LogPosition(1, 7)),
            (Consistency.READ_OWN_WRITES, session_position, session_position),
            (Consistency.READ_OWN_WRITES, None, LogPosition(1, 7)),
            (Consistency.READ_OWN_WRITES, LogPosition(1, 2), LogPosition(1, 7)),
        )
        for consistency, session_floor, expected in cases:
            with self.subTest(consistency=consistency, session_floor=session_floor):
                floor = read_floor(
                    route(consistency), history, ReadRequirements(100.5, session_floor)
                )
                self.assertEqual(floor, expected)


class GroupViewTest(unittest.TestCase):
    def test_newest_primary_claim_wins(self) -> None:
        view = GroupView(GROUP)
        for change in (record("a", 1, "primary"), record("b", 2), record("b", 5, "primary")):
            view = view.with_record(change, 0.0)
        self.assertEqual(view.primary.id, "b")  # type: ignore[union-attr]

    def test_older_record_is_ignored(self) -> None:
        view = GroupView(GROUP).with_record(record("a", 5, "primary"), 0.0)
        self.assertIs(view.with_record(record("a", 4), 0.0), view)

    def test_refuted_primary_counts_again_after_newer_record(self) -> None:
        view = GroupView(GROUP).with_record(record("a", 1, "primary"), 0.0).with_refuted("a")
        self.assertIsNone(view.primary)
        view = view.with_record(record("a", 2, "primary", draining=True), 0.0)
        self.assertEqual(view.primary.id, "a")  # type: ignore[union-attr]

    def test_reported_leader_counts_until_newer_primary_claim(self) -> None:
        view = GroupView(GROUP).with_record(record("a", 1, "primary"), 0.0)
        view = view.with_record(record("b", 2), 0.0).with_record(record("c", 3), 0.0)
        view = view.with_leader("b")
        self.assertEqual(view.primary.id, "b")  # type: ignore[union-attr]
        view = view.with_record(record("c", 4, "primary"), 0.0)
        self.assertEqual(view.primary.id, "c")  # type: ignore[union-attr]
        self.assertIs(view.with_leader("unknown"), view)

    def test_removed_entry_that_is_registered_again(self) -> None:
        view = GroupView(GROUP).with_record(record("a", 1, "primary"), 0.0)
        view = view.with_departure("a", 2, 10.0)
        self.assertFalse(view.accepts_work("a", 16.0, 5.0))
        view = view.with_record(record("a", 3, "primary"), 20.0)
        self.assertTrue(view.accepts_work("a", 99.0, 5.0))
        self.assertEqual(view.departed_since, {})


class ReadTargetsTest(unittest.TestCase):
    def test_order_of_read_targets(self) -> None:
        far_leader = {"p": 2, "near": 0, "far": 2}
        near_leader = {"p": 0, "near": 2, "far": 2}
        cases = (
            ("near replica first", far_leader, {}, (), ["near", "far", "p"]),
            ("loaded ones later", far_leader, {"near": 5}, (), ["far", "near", "p"]),
            ("near primary before far replicas", near_leader, {}, (), ["p", "near"]),
            ("near replica first", {"p": 0, "near": 0, "far": 2}, {}, (), ["near", "p"]),
            ("replica of the region first", {"p": 0, "near": 1, "far": 2}, {}, (), ["near", "p"]),
            ("loaded primary later", near_leader, {"p": 3}, (), ["near", "far", "p"]),
            ("lacking ones last", far_leader, {}, ("near",), ["far", "p", "near"]),
            ("the primary before all that lack", far_leader, {}, ("near", "far"), ["p", "near"]),
            ("a primary never lacks", near_leader, {}, ("p", "near"), ["p", "far", "near"]),
        )
        view = GroupView(GROUP)
        for each in (record("p", 1, "primary"), record("near", 2), record("far", 3)):
            view = view.with_record(each, 0.0)
        for title, distance, load, lacking, expected in cases:
            with self.subTest(title):
                targets = targets_by_local_load(
                    view,
                    LogPosition(1, 1),
                    view.primary,
                    lambda database, distance=distance: distance[database.id],  # type: ignore[misc]
                    lambda database, load=load: load.get(database.id, 0),  # type: ignore[misc]
                    lambda database, _floor, lacking=lacking: database.id in lacking,  # type: ignore[misc]
                )
                order = [target.database.id for target in targets[:-1]]
                self.assertEqual(order[: len(expected)], expected)
                self.assertEqual({target.proof for target in targets[:-1]}, {Proof.FLOOR})
                self.assertEqual(
                    (targets[-1].database.id, targets[-1].proof), ("p", Proof.PRIMARY_TRANSACTION)
                )


if __name__ == "__main__":
    unittest.main()
