"""Order of timers and posted callbacks, exceptions in callbacks, and the format of log lines."""

import io
import threading
import unittest

from loguru import logger

from dewledge.shell.shared.event_loop import EventLoop
from dewledge.shell.shared.log import configure_log

PATIENCE_SECONDS = 10.0


class EventLoopTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = EventLoop()
        self.addCleanup(self.loop.close)
        self.thread = threading.Thread(target=self.loop.run, daemon=True)

    def end(self) -> None:
        self.loop.stop()
        self.thread.join(PATIENCE_SECONDS)
        self.assertFalse(self.thread.is_alive())

    def test_posts_from_many_threads_all_run_in_order_of_each(self) -> None:
        seen: list[tuple[int, int]] = []
        self.thread.start()

        def post_values(number: int) -> None:
            for index in range(500):
                self.loop.post(lambda value=(number, index): seen.append(value))

        posters = [threading.Thread(target=post_values, args=(it,)) for it in range(4)]
        for poster in posters:
            poster.start()
        for poster in posters:
            poster.join()
        self.end()
        for number in range(4):
            own = [index for poster, index in seen if poster == number]
            self.assertEqual(own, list(range(500)))

    def test_timers_run_in_order_and_cancelled_ones_do_not(self) -> None:
        seen: list[str] = []
        self.loop.call_later(0.02, lambda: seen.append("second"))
        self.loop.call_later(0.01, lambda: seen.append("first"))
        self.loop.call_later(0.0, lambda: seen.append("cancelled")).cancel()
        self.loop.call_later(0.03, self.loop.stop)
        self.thread.start()
        self.thread.join(PATIENCE_SECONDS)
        self.assertEqual(seen, ["first", "second"])

    def test_fault_of_one_callback_ends_nothing(self) -> None:
        done = threading.Event()
        self.thread.start()
        self.loop.post(lambda: 1 // 0)  # type: ignore[arg-type, return-value]
        self.loop.post(done.set)
        self.assertTrue(done.wait(PATIENCE_SECONDS))
        self.end()


class LogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = io.StringIO()
        configure_log("INFO", self.stream)
        self.addCleanup(logger.remove)

    def lines(self) -> list[str]:
        return [line.partition(" ")[2] for line in self.stream.getvalue().splitlines()]

    def test_one_line_of_pairs_with_quoted_values(self) -> None:
        logger.bind(peer="a-1", reason='said "no"\nand left', none=None, empty="").info("lost")
        logger.debug("not_shown")
        expected = r'level=info event=lost peer=a-1 reason="said \"no\"\nand left" empty=""'
        self.assertEqual(self.lines(), [expected])

    def test_exception_is_one_line_too(self) -> None:
        try:
            raise ValueError("two\nlines")
        except ValueError:
            logger.exception("request_fault")
        (line,) = self.lines()
        self.assertTrue(line.startswith("level=error event=request_fault error="), line)
        self.assertIn("at=test_event_loop_and_log.py:", line)

    def test_braces_are_no_format(self) -> None:
        logger.bind(value="{x}").info("{event}")
        self.assertEqual(self.lines(), ['level=info event="{event}" value="{x}"'])


if __name__ == "__main__":
    unittest.main()
