"""Slot time by caller with bounded memory."""

import unittest

from dewledge.core.pooler.load.slot_use import MAX_CALLERS, SlotUse


class SlotUseTest(unittest.TestCase):
    def test_largest_caller_is_found_among_more_callers_than_counted(self) -> None:
        use = SlotUse()
        for number in range(10 * MAX_CALLERS):
            use.record(f"caller {number}", 0.01)
            use.record("hot", 0.05)
        hot = 10 * MAX_CALLERS * 0.05
        self.assertAlmostEqual(use.total_seconds, hot * 1.2)
        self.assertGreaterEqual(use.largest_seconds, hot - 1e-6)
        self.assertLessEqual(use.largest_seconds, hot + use.total_seconds / MAX_CALLERS)

    def test_no_slot_time(self) -> None:
        self.assertEqual((SlotUse().total_seconds, SlotUse().largest_seconds), (0.0, 0.0))


if __name__ == "__main__":
    unittest.main()
