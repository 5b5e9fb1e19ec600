"""Summaries of the waits for databases, and `explain --waits`, which adds them up."""

import io
import tempfile
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from dewledge.cli.main import run
from dewledge.core.pooler.load.wait_counts import WaitCounts
from dewledge.core.pooler.load.wait_summaries import QueueName, WaitsCounted, WaitSummaries
from dewledge.errors import ErrorCode

QUEUE = QueueName("sales", "i-1")
LOG = """\
node-1 time=09:00:05 level=info event=waits_counted group=sales database=i-1 served=8 \
within_quarter=4 within_double=7 refused=3 refused_with_room=1
node-2 time=09:00:05 level=info event=waits_counted group=sales database=i-1 served=2 \
within_quarter=1 within_double=2 refused=0 refused_with_room=0
node-2 time=09:00:06 level=info event=waits_counted group=archive database=i-7 served=0 \
within_quarter=0 within_double=0 refused=5 refused_with_room=0
"""


class WaitSummariesTest(unittest.TestCase):
    def test_summary_holds_difference_to_the_last(self) -> None:
        summaries = WaitSummaries()
        counts = WaitCounts(5, 3, 4, 2, 1)
        self.assertEqual(
            summaries.collect({QUEUE: counts}), [WaitsCounted("sales", "i-1", 5, 3, 4, 2, 1)]
        )
        counts.served += 1
        counts.within_double += 1
        self.assertEqual(
            summaries.collect({QUEUE: counts}), [WaitsCounted("sales", "i-1", 1, 0, 1, 0, 0)]
        )

    def test_unchanged_queue_has_no_summary(self) -> None:
        summaries = WaitSummaries()
        counts = WaitCounts(5, 3, 4, 2, 1)
        summaries.collect({QUEUE: counts})
        self.assertEqual(summaries.collect({QUEUE: counts}), [])

    def test_replaced_queue_restarts_its_counters(self) -> None:
        summaries = WaitSummaries()
        summaries.collect({QUEUE: WaitCounts(5, 3, 4, 2, 1)})
        (summary,) = summaries.collect({QUEUE: WaitCounts(2, 1, 1, 0, 0)})
        self.assertEqual((summary.served, summary.within_quarter, summary.refused), (2, 1, 0))

    def test_removed_queue_is_forgotten(self) -> None:
        summaries = WaitSummaries()
        summaries.collect({QUEUE: WaitCounts(5, 3, 4, 2, 1)})
        summaries.collect({})
        (summary,) = summaries.collect({QUEUE: WaitCounts(5, 3, 4, 2, 1)})
        self.assertEqual(summary.served, 5)


class ExplainWaitsTest(unittest.TestCase):
    def explain(self, *options: str) -> tuple[int, str]:
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "collected.log"
            log.write_text(LOG)
            output = io.StringIO()
            with redirect_stdout(output):
                code = run(["explain", "--waits", *options, "--log", str(log)])
        return code, output.getvalue()

    def test_sums_by_group_and_in_total(self) -> None:
        code, text = self.explain()
        self.assertEqual(code, 0)
        archive, sales, total = text.splitlines()
        self.assertIn("archive: 0 waits were expected, none within a quarter", archive)
        self.assertIn("sales: 10 waits were expected, 50% within a quarter, 90% within", sales)
        self.assertIn("3 refused, 1 of them though", sales)
        self.assertIn("all: 10 waits were expected", total)
        self.assertIn("8 refused", total)

    def test_json_output(self) -> None:
        code, text = self.explain("--json")
        self.assertEqual(code, 0)
        self.assertIn('"group":"all","served":10,"within_quarter":5', text)

    def test_positional_log_argument_is_an_error(self) -> None:
        errors = io.StringIO()
        with redirect_stderr(errors):
            code, _ = self.explain("other.log")
        self.assertNotEqual(code, 0)
        self.assertIn(ErrorCode.MALFORMED_REQUEST, errors.getvalue())
        self.assertIn("argument 1, 'other.log'", errors.getvalue())
