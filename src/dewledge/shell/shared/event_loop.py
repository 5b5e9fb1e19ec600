"""A single-threaded event loop for sockets, timers and callbacks posted by other threads.

All code that uses the decision core runs on the loop's thread, so the core needs no lock. Executor
threads pass their results with `post`, which wakes the loop only while it waits for events.
"""

import contextlib
import heapq
import selectors
import socket
import time
from collections import deque
from collections.abc import Callable

from loguru import logger

READABLE = selectors.EVENT_READ
WRITABLE = selectors.EVENT_WRITE

MAX_SLEEP_SECONDS = 3600.0
"""Longest single wait for events."""

SocketCallback = Callable[[int], None]
Callback = Callable[[], None]


class Timer:
    """A callback scheduled for a time of the loop's clock; it can be cancelled."""

    __slots__ = ("callback", "due")

    def __init__(self, due: float, callback: Callback) -> None:
        self.due = due
        self.callback: Callback | None = callback

    def __lt__(self, other: "Timer") -> bool:
        return self.due < other.due

    def cancel(self) -> None:
        """Prevents the callback from being called."""
        self.callback = None


class EventLoop:
    """A selector loop with timers. All methods but `post` and `stop` run on its thread."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.now = clock
        self._event_time: float | None = None
        self._selector = selectors.DefaultSelector()
        self._timers: list[Timer] = []
        self._posted: deque[Callback] = deque()
        self._before_sleep: list[Callback] = []
        self._asleep = False
        self._stopping = False
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._selector.register(self._wake_reader, READABLE, self._drain_wakes)

    def watch(self, sock: socket.socket, events: int, callback: SocketCallback) -> None:
        """Calls `callback(ready events)` whenever `sock` is ready; replaces a previous watch."""
        try:
            self._selector.modify(sock, events, callback)
        except KeyError:
            self._selector.register(sock, events, callback)

    def unwatch(self, sock: socket.socket) -> None:
        """Stops watching `sock`; harmless if it is not watched."""
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(sock)

    def call_later(self, delay: float, callback: Callback) -> Timer:
        """Calls `callback` after `delay` seconds."""
        timer = Timer(self.now() + delay, callback)
        heapq.heappush(self._timers, timer)
        return timer

    def call_before_sleep(self, callback: Callback) -> None:
        """Calls `callback` once before the loop next waits, for instance to flush buffers."""
        self._before_sleep.append(callback)

    def post(self, callback: Callback) -> None:
        """Schedules `callback` on the loop's thread. May be called from any thread."""
        self._posted.append(callback)
        if self._asleep:
            self._wake()

    def run(self) -> None:
        """Runs until `stop` is called, then closes the loop."""
        while not self._stopping:
            self.run_once()
        self.close()

    def stop(self) -> None:
        """Ends `run` after the current iteration. May be called from any thread."""
        self.post(self._mark_stopping)

    def close(self) -> None:
        """Closes the selector and the wake-up sockets; `run` does so at its end."""
        self._selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def run_once(self) -> None:
        """Waits for events once and runs all callbacks that are ready or due."""
        for key, events in self._wait():
            self._call(key.data, events)
        self._run_due_timers()
        self._run_posted()
        self._run_before_sleep()

    def _wait(self) -> list[tuple[selectors.SelectorKey, int]]:
        # `post` appends before it checks `_asleep`, so the flag is set before the queue is checked.
        self._asleep = True
        timeout = 0.0 if self._posted or self._before_sleep else self._seconds_until_timer()
        ready = self._selector.select(timeout)
        self._asleep = False
        return ready

    def _seconds_until_timer(self) -> float:
        if self._stopping:
            return 0.0
        while self._timers and self._timers[0].callback is None:
            heapq.heappop(self._timers)
        if not self._timers:
            return MAX_SLEEP_SECONDS
        return min(max(self._timers[0].due - self.now(), 0.0), MAX_SLEEP_SECONDS)

    def _run_due_timers(self) -> None:
        now = self.now()
        while self._timers and self._timers[0].due <= now:
            callback = heapq.heappop(self._timers).callback
            if callback is not None:
                self._call(callback)

    def _run_posted(self) -> None:
        for _ in range(len(self._posted)):
            self._call(self._posted.popleft())

    def _run_before_sleep(self) -> None:
        callbacks, self._before_sleep = self._before_sleep, []
        for callback in callbacks:
            self._call(callback)

    @property
    def event_time(self) -> float:
        """The start time of the running callback; outside of callbacks the current time."""
        return self.now() if self._event_time is None else self._event_time

    def _call(self, callback: Callable[..., None], *arguments: int) -> None:
        # An exception in one connection's callback must not stop the process.
        self._event_time = self.now()
        try:
            callback(*arguments)
        except Exception:
            logger.exception("loop_callback_failed")
        self._event_time = None

    def _wake(self) -> None:
        with contextlib.suppress(BlockingIOError, OSError):
            self._wake_writer.send(b"\0")

    def _drain_wakes(self, _events: int) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wake_reader.recv(4096)

    def _mark_stopping(self) -> None:
        self._stopping = True
