"""What a change of members costs a process that votes and grants, beside any number of them."""

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
from tests.core.pooler.rate_limits.counted_bytes import CountingNetwork

CALLERS = [f"caller{number}" for number in range(72)]
LIMITS = {caller: RateLimit(200, 200) for caller in CALLERS}


def hashes_of(action: Callable[[], None]) -> int:
    """Returns how many names are weighed."""
    counted = mock.Mock(wraps=xxhash.xxh3_64_intdigest)
    with mock.patch.object(slots.xxhash, "xxh3_64_intdigest", counted):
        action()
    return counted.call_count


class ChangeOfMembersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.hashes: dict[tuple[int, str], int] = {}
        for processes in (300, 850):
            self._count_at(processes)

    def _count_at(self, processes: int) -> None:
        network = CountingNetwork(processes, LIMITS)
        name = network.names[0]
        process = network.processes[name]
        for caller in CALLERS:
            process.operate(caller)
        members = frozenset(network.names)
        # Who votes in all slots here is asked for a vote in each: its voters are known.
        count = slot_count(processes)
        for index in range(count):
            process.grantor.take_question(
                QuotaQuestion("x", 1, Slot(count, index), False, None), 1.0
            )
        for what, changed in (
            ("the same", members),
            ("one more", members | {"new"}),
            ("that one less", members),
        ):

            def change(names: frozenset[str] = changed) -> None:
                process.gate.set_members(names)
                process.grantor.set_members(names)
                for index in range(count):
                    process.grantor.take_question(
                        QuotaQuestion("x", 1, Slot(count, index), False, None), 1.0
                    )

            self.hashes[processes, what] = hashes_of(change)

    def test_the_same_members_cost_nothing(self) -> None:
        for processes in (300, 850):
            self.assertEqual(self.hashes[processes, "the same"], 0)

    def test_one_more_or_less_costs_a_few_for_each_slot(self) -> None:
        for processes in (300, 850):
            for what in ("one more", "that one less"):
                with self.subTest(processes=processes, what=what):
                    # In each slot the five candidates and the new one, and whether that one votes.
                    most = slot_count(processes) * 8
                    self.assertLessEqual(self.hashes[processes, what], most)


class AfterTest(unittest.TestCase):
    def test_what_is_worked_out_from_before_is_what_is_worked_out_anew(self) -> None:
        chance = random.Random(7)
        names = [f"n{number}" for number in range(40)]
        for count in (1, 2, 4, 16):
            slot = Slot(count, chance.randrange(count))
            members = frozenset(chance.sample(names, 12))
            candidates, voters = candidates_of(slot, members), voters_of(slot, members)
            for _ in range(200):
                before = members
                members = before ^ frozenset(chance.sample(names, chance.randrange(4)))
                candidates = update_candidates(slot, candidates, before, members)
                voters = update_voters(slot, voters, before, members)
                self.assertEqual(list(candidates), list(candidates_of(slot, members)))
                self.assertEqual(voters, voters_of(slot, members))


if __name__ == "__main__":
    unittest.main()
