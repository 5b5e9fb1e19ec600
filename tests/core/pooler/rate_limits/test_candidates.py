"""Guards against member changes that hash all members instead of the changed ones."""

import random
import unittest
from collections.abc import Callable
from unittest import mock

import xxhash

from dewledge.core.pooler.rate_limits import slots
from dewledge.core.pooler.rate_limits.limits import RateLimit
from dewledge.core.pooler.rate_limits.messages import QuotaQuestion
from dewledge.core.pooler.rate_limits.slots import (
    Slot,
    candidates_of,
    slot_count,
    update_candidates,
    update_voters,
    voters_of,
)
from tests.core.pooler.rate_limits.counted_bytes import TrafficCountingNetwork

CALLERS = [f"caller{number}" for number in range(72)]
LIMITS = {caller: RateLimit(200, 200) for caller in CALLERS}


def count_hashes(action: Callable[[], None]) -> int:
    """Returns the number of hashes that an action computes."""
    counted = mock.Mock(wraps=xxhash.xxh3_64_intdigest)
    with mock.patch.object(slots.xxhash, "xxh3_64_intdigest", counted):
        action()
    return counted.call_count


class MemberChangeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.hashes: dict[tuple[int, str], int] = {}
        for processes in (300, 850):
            self._count_at(processes)

    def _count_at(self, processes: int) -> None:
        network = TrafficCountingNetwork(processes, LIMITS)
        name = network.names[0]
        process = network.processes[name]
        for caller in CALLERS:
            process.operate(caller)
        members = frozenset(network.names)
        # The grantor caches the voters of each slot once it is asked there.
        count = slot_count(processes)
        for index in range(count):
            process.grantor.answer_question(
                QuotaQuestion("x", 1, Slot(count, index), False, None), 1.0
            )
        for change_name, changed in (
            ("the same", members),
            ("one more", members | {"new"}),
            ("that one less", members),
        ):

            def change(names: frozenset[str] = changed) -> None:
                process.gate.set_members(names)
                process.grantor.set_members(names)
                for index in range(count):
                    process.grantor.answer_question(
                        QuotaQuestion("x", 1, Slot(count, index), False, None), 1.0
                    )

            self.hashes[processes, change_name] = count_hashes(change)

    def test_unchanged_members_need_no_hashes(self) -> None:
        for processes in (300, 850):
            self.assertEqual(self.hashes[processes, "the same"], 0)

    def test_member_change_needs_few_hashes_per_slot(self) -> None:
        for processes in (300, 850):
            for change_name in ("one more", "that one less"):
                with self.subTest(processes=processes, change_name=change_name):
                    # Per slot: the five candidates, the added member, and whether it votes.
                    max_hashes = slot_count(processes) * 8
                    self.assertLessEqual(self.hashes[processes, change_name], max_hashes)


class IncrementalUpdateTest(unittest.TestCase):
    def test_incremental_update_equals_full_computation(self) -> None:
        rng = random.Random(7)
        names = [f"n{number}" for number in range(40)]
        for count in (1, 2, 4, 16):
            slot = Slot(count, rng.randrange(count))
            members = frozenset(rng.sample(names, 12))
            candidates, voters = candidates_of(slot, members), voters_of(slot, members)
            for _ in range(200):
                before = members
                members = before ^ frozenset(rng.sample(names, rng.randrange(4)))
                candidates = update_candidates(slot, candidates, before, members)
                voters = update_voters(slot, voters, before, members)
                self.assertEqual(list(candidates), list(candidates_of(slot, members)))
                self.assertEqual(voters, voters_of(slot, members))


if __name__ == "__main__":
    unittest.main()
