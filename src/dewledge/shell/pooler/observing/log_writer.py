"""Buffers log lines for a stream whose reader may be slow, so that logging never blocks the caller.

A separate thread writes to the stream. Plain lines (of frequent events, such as answered
statements) have a rate limit and a smaller part of the buffer; other lines are dropped only when
the whole buffer is full. A log line reports how many lines were dropped.
"""

import threading
import time
from collections import deque
from collections.abc import Callable
from typing import TextIO

MAX_BUFFERED_LINES = 4000
"""Lines: when the buffer holds this many, every new line is dropped."""
MAX_BUFFERED_PLAIN_LINES = 2000
"""Lines: when the buffer holds this many, new plain lines are dropped."""
PLAIN_LINES_PER_SECOND = 400
"""Lines: plain lines accepted in one second; further ones are dropped."""
WRITE_INTERVAL_SECONDS = 0.2
"""Seconds between writes to the stream."""


class LogWriter:
    """Writes lines to a stream through a bounded buffer. `write` may be called by any thread."""

    def __init__(self, stream: TextIO, clock: Callable[[], float] = time.monotonic) -> None:
        self._stream = stream
        self._clock = clock
        self._lines: deque[str] = deque()
        self._lock = threading.Lock()
        self._current_second = 0
        self._plain_in_second = 0
        self._dropped = 0
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="log-writer", daemon=True)

    def start(self) -> None:
        """Starts the thread that writes."""
        self._thread.start()

    def write(self, line: str, is_plain: bool) -> None:
        """Adds a line to the buffer, or counts it as dropped. Never waits for the stream."""
        with self._lock:
            if not self._has_capacity(is_plain):
                self._dropped += 1
                return
            if self._dropped and not is_plain:
                self._append_dropped_count()
            self._lines.append(line)

    def stop(self, seconds: float = 1.0) -> None:
        """Writes the buffered lines and stops the thread; waits at most `seconds`."""
        self._stopped.set()
        self._thread.join(seconds)

    def drain(self) -> list[str]:
        """Empties the buffer and returns its lines, with a last one for dropped lines if any."""
        with self._lock:
            if self._dropped:
                self._append_dropped_count()
            lines = list(self._lines)
            self._lines.clear()
            return lines

    def _has_capacity(self, is_plain: bool) -> bool:
        if not is_plain:
            return len(self._lines) < MAX_BUFFERED_LINES
        second = int(self._clock())
        if second != self._current_second:
            self._current_second = second
            self._plain_in_second = 0
        self._plain_in_second += 1
        if self._plain_in_second > PLAIN_LINES_PER_SECOND:
            return False
        return len(self._lines) < MAX_BUFFERED_PLAIN_LINES

    def _append_dropped_count(self) -> None:
        self._lines.append(f"level=warning event=log_lines_left_out count={self._dropped}")
        self._dropped = 0

    def _run(self) -> None:
        while not self._stopped.wait(WRITE_INTERVAL_SECONDS):
            self._flush()
        self._flush()

    def _flush(self) -> None:
        lines = self.drain()
        if not lines:
            return
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            return
