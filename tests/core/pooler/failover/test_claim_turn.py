"""Order and timing of the writes of a claim to replace a primary."""

import unittest

from dewledge.core.pooler.failover.claim_turn import (
    CLAIM_HOLDER_TIMEOUT_SECONDS,
    CLAIM_RANK_DELAY_SECONDS,
    CLAIM_RETRY_SECONDS,
    CLAIM_WRITE_TIMEOUT_SECONDS,
    LAST_HOLDER_HEAD_START_SECONDS,
    ClaimTurn,
)
from dewledge.core.pooler.failover.messages import Claim
from dewledge.core.pooler.failover.primary_lease import Fencing, PrimaryLease

JUDGES = ("a", "b", "c")
NOW = 50.0


class ClaimTurnTest(unittest.TestCase):
    def make_turn(
        self, local_name: str, claim: Claim | None = None, fencing: Fencing = Fencing.PLATFORM
    ) -> ClaimTurn:
        lease = PrimaryLease(fencing)
        if claim is not None:
            lease.apply_claim(claim)
        turn = ClaimTurn(local_name, lease)
        turn.on_newer_claim(NOW)
        return turn

    def first_write_delay(self, local_name: str, claim: Claim | None = None) -> float:
        """Returns the seconds until the first write is allowed."""
        turn = self.make_turn(local_name, claim)
        turn.schedule_first_write(JUDGES, NOW)
        steps = (step for step in range(2000) if turn.may_write(NOW + step * 0.01))
        return next(steps) * 0.01

    def test_judges_write_in_order_of_rank_without_earlier_claim(self) -> None:
        for rank, name in enumerate((*JUDGES, "outsider")):
            self.assertAlmostEqual(
                self.first_write_delay(name), rank * CLAIM_RANK_DELAY_SECONDS, msg=name
            )

    def test_last_holder_writes_first(self) -> None:
        claim = Claim("c", "", 5)
        self.assertAlmostEqual(self.first_write_delay("c", claim), 0.0)
        self.assertAlmostEqual(self.first_write_delay("a", claim), LAST_HOLDER_HEAD_START_SECONDS)
        self.assertAlmostEqual(
            self.first_write_delay("b", claim),
            LAST_HOLDER_HEAD_START_SECONDS + CLAIM_RANK_DELAY_SECONDS,
        )

    def test_last_holder_outside_judges_has_no_head_start(self) -> None:
        self.assertAlmostEqual(self.first_write_delay("a", Claim("stopped", "", 5)), 0.0)

    def test_write_is_retried_after_timeout_or_refusal(self) -> None:
        turn = self.make_turn("a")
        turn.schedule_first_write(JUDGES, NOW)
        turn.record_write(NOW)
        self.assertFalse(turn.may_write(NOW + CLAIM_WRITE_TIMEOUT_SECONDS - 0.01))
        self.assertTrue(turn.may_write(NOW + CLAIM_WRITE_TIMEOUT_SECONDS))
        turn.record_refusal(NOW)
        self.assertFalse(turn.may_write(NOW + CLAIM_RETRY_SECONDS - 0.01))
        self.assertTrue(turn.may_write(NOW + CLAIM_RETRY_SECONDS))

    def test_earlier_claim_of_this_process_is_reused_only_with_platform_fencing(self) -> None:
        claim = Claim("a", "", 5)
        self.assertEqual(self.make_turn("a", claim).usable_fencing_token, 5)
        self.assertEqual(self.make_turn("b", claim).usable_fencing_token, 0)
        self.assertEqual(self.make_turn("a", claim, Fencing.PROCESSES).usable_fencing_token, 0)

    def test_refused_token_is_not_reused(self) -> None:
        turn = self.make_turn("a", Claim("a", "", 5))
        turn.on_token_refused(5)
        self.assertEqual(turn.usable_fencing_token, 0)

    def test_active_holder_is_reported_until_timeout_without_fencing(self) -> None:
        claim = Claim("b", "p", 5, "")
        turn = self.make_turn("a", claim, Fencing.PROCESSES)
        self.assertEqual(turn.active_holder("p", NOW), "b")
        self.assertIsNone(turn.active_holder("other", NOW))
        self.assertIsNone(turn.active_holder("p", NOW + CLAIM_HOLDER_TIMEOUT_SECONDS))
        self.assertIsNone(self.make_turn("b", claim, Fencing.PROCESSES).active_holder("p", NOW))
        self.assertIsNone(self.make_turn("a", claim).active_holder("p", NOW))


if __name__ == "__main__":
    unittest.main()
