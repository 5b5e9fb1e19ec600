"""What the parts of one gateway share: settings, timers, ids, random source and effects."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from dewledge.core.proxy.effects import Effect, LogEvent
from dewledge.core.proxy.gateway.settings import GatewaySettings
from dewledge.core.proxy.jobs import JobResult, StatusReading
from dewledge.core.proxy.timer_queue import TimerQueue
from dewledge.errors import ErrorCode


class ConnectionOwner(Protocol):
    """Who ordered a connection to be opened."""

    def opened(self, connection: int, now: float) -> None:
        """Takes the open connection."""

    def failed(self, connection: int, code: ErrorCode, now: float) -> None:
        """Notes that it could not be opened."""


class JobOwner(Protocol):
    """Who ordered a job."""

    def handle_result(self, result: JobResult, now: float) -> None:
        """Takes the job's result."""


class RoundOwner(Protocol):
    """Who started a status round."""

    def handle_reading(self, round_id: int, reading: StatusReading, now: float) -> None:
        """Takes one reading."""


class Timer:
    """One pending callback of a gateway; called with the time at which it fires."""

    __slots__ = ("callback", "timer_id")

    def __init__(self, callback: Callable[[float], None]) -> None:
        self.callback = callback
        self.timer_id = 0

    @property
    def pending(self) -> bool:
        """True until it fires or is cancelled."""
        return self.timer_id != 0


class GatewayContext:
    """Shared by all parts of one gateway; effects are collected here in the order decided.

    connection_owners, job_owners, round_owners: who takes the report under an id; a report whose
    id is not there is late or doubled, and is dropped.
    """

    def __init__(self, me: str, settings: GatewaySettings, random: Random) -> None:
        self.me = me
        self.settings = settings
        self.random = random
        self._timers: TimerQueue[Timer] = TimerQueue()
        self._effects: list[Effect] = []
        self._last_id = 0
        self.connection_owners: dict[int, ConnectionOwner] = {}
        self.job_owners: dict[int, JobOwner] = {}
        self.round_owners: dict[int, RoundOwner] = {}

    def next_id(self) -> int:
        """Returns a new id for a connection, job or round; ids only grow."""
        self._last_id += 1
        return self._last_id

    def emit(self, effect: Effect) -> None:
        """Adds an effect."""
        self._effects.append(effect)

    def log(self, name: str, **fields: str | int | float | None) -> None:
        """Adds a log line."""
        self._effects.append(LogEvent(name, tuple(fields.items())))

    def take_effects(self) -> list[Effect]:
        """Returns the effects since the last call."""
        taken = self._effects
        self._effects = []
        return taken

    def jittered(self, interval: float) -> float:
        """Draws an interval around `interval`, as the `jitter` setting says."""
        jitter = self.settings.jitter
        return interval * self.random.uniform(1.0 - jitter, 1.0 + jitter)

    def call_at(self, when: float, callback: Callable[[float], None]) -> Timer:
        """Calls `callback(now)` at the first `run_timers` at or after `when`."""
        timer = Timer(callback)
        self._timers.set(timer, when)
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Cancels a timer; harmless for one that has fired, and for None."""
        if timer is not None:
            self._timers.clear(timer)

    def run_timers(self, now: float) -> None:
        """Calls every callback that is due."""
        timer = self._timers.take_due(now)
        while timer is not None:
            timer.callback(now)
            timer = self._timers.take_due(now)

    def next_wake(self) -> float | None:
        """Returns when the next timer is due, or None."""
        return self._timers.next_due()
