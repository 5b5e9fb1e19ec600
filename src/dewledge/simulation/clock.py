"""The virtual clock: a queue of events, run in order of time."""

import heapq
from collections.abc import Callable

MAX_EVENTS_AT_ONCE = 50_000
"""Events at one instant after which the run is taken to be stuck."""

Action = Callable[[], None]


class ClockStuck(Exception):
    """Events keep coming at one instant, so that virtual time no longer moves."""


class ScheduledEvent:
    """An action that is due at a virtual time; it can be cancelled until it has run."""

    __slots__ = ("action", "at", "cancelled")

    def __init__(self, at: float, action: Action) -> None:
        self.at = at
        self.action = action
        self.cancelled = False

    def cancel(self) -> None:
        """Keeps the action from running; harmless once it has run."""
        self.cancelled = True


class EventQueue:
    """Runs actions at their virtual times, in seconds; equal times run in order of scheduling."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, ScheduledEvent]] = []
        self._scheduled = 0
        self.executed = 0

    def call_at(self, at: float, action: Action) -> ScheduledEvent:
        """Schedules `action`; a time that has passed means now."""
        event = ScheduledEvent(max(at, self.now), action)
        self._scheduled += 1
        heapq.heappush(self._heap, (event.at, self._scheduled, event))
        return event

    def call_after(self, delay: float, action: Action) -> ScheduledEvent:
        """Schedules `action` after `delay` seconds."""
        return self.call_at(self.now + delay, action)

    def run_until(self, end: float) -> None:
        """Runs every event due up to `end` and leaves the clock there. Raises ClockStuck."""
        at_once = 0
        while self._heap and self._heap[0][0] <= end:
            at, _, event = heapq.heappop(self._heap)
            at_once = at_once + 1 if at <= self.now else 0
            if at_once > MAX_EVENTS_AT_ONCE:
                raise ClockStuck(f"{at_once} events at {at:.6f} s, the latest {event.action}")
            self.now = at
            if event.cancelled:
                continue
            self.executed += 1
            event.action()
        self.now = max(self.now, end)
