"""Log lines to a stream that may stop being read: bounded, so that logging never blocks.

A thread of its own writes. Plain lines (one for each statement) have a budget a second and give way
first; what was left out is counted in a line of its own. Warnings, errors and other events are
left out only when the whole buffer is full. Owns the buffer and the thread.
"""

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import TextIO

MAX_WAITING_LINES = 4000
"""Before the stream; beyond it every line is left out."""
MAX_WAITING_PLAIN = 2000
"""Before the stream; beyond it plain lines are left out."""
PLAIN_LINES_PER_SECOND = 400
"""Budget of plain lines."""
WAKE_SECONDS = 0.2
"""Between two writes to the stream."""


class LogWriter:
    """A bounded buffer before a stream. `write` may be called from any thread."""

    def __init__(self, stream: TextIO, clock: Callable[[], float] = time.monotonic) -> None:
        self._stream = stream
        self._clock = clock
        self._lines: deque[str] = deque()
        self._lock = threading.Lock()
        self._second = 0
        self._plain_in_second = 0
        self._left_out = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)

    def start(self) -> None:
        """Starts the thread that writes."""
        self._thread.start()

    def write(self, line: str, is_plain: bool) -> None:
        """Takes a line, or counts it as left out. Never waits for the stream."""
        with self._lock:
            if not self._has_room(is_plain):
                self._left_out += 1
                return
            if self._left_out and not is_plain:
                self._note_left_out()
            self._lines.append(line)

    def stop(self, seconds: float = 1.0) -> None:
        """Writes what is left, for at most `seconds`."""
        self._stopped.set()
        self._thread.join(seconds)

    def take(self) -> list[str]:
        """Returns the lines to write now, the count of those left out last."""
        with self._lock:
            if self._left_out:
                self._note_left_out()
            lines = list(self._lines)
            self._lines.clear()
            return lines

    def _has_room(self, is_plain: bool) -> bool:
        if not is_plain:
            return len(self._lines) < MAX_WAITING_LINES
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._plain_in_second = 0
        self._plain_in_second += 1
        if self._plain_in_second > PLAIN_LINES_PER_SECOND:
            return False
        return len(self._lines) < MAX_WAITING_PLAIN

    def _note_left_out(self) -> None:
        self._lines.append(f"level=warning event=log_lines_left_out count={self._left_out}")
        self._left_out = 0

    def _run(self) -> None:
        while not self._stopped.wait(WAKE_SECONDS):
            self._flush()
        self._flush()

    def _flush(self) -> None:
        lines = self.take()
        if not lines:
            return
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            return
