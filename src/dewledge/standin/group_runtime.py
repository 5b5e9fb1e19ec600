"""Runs a group model on the real clock, for many threads at once."""

import threading
import time
from collections.abc import Callable
from random import Random
from typing import TypeVar

from dewledge.standin.group_model import GroupModel
from dewledge.standin.group_settings import GroupSettings
from dewledge.standin.group_types import DatabaseNotAnswering

Result = TypeVar("Result")

IDLE_WAIT_SECONDS = 1.0
STOP_WAIT_SECONDS = 5.0


class GroupStopped(Exception):
    """The stand-in stops; whoever waits gives up."""


class GroupRuntime:
    """Guards the model with one lock and lets its timed events happen."""

    def __init__(self, settings: GroupSettings) -> None:
        databases = tuple(item.to_model() for item in settings.databases)
        self.model = GroupModel(
            settings.name, databases, settings.timing(), Random(settings.seed), time.monotonic()
        )
        self._lock = threading.Lock()
        self._due = threading.Condition(self._lock)
        self._answering = threading.Condition(self._lock)
        self._wake_time = 0.0
        self._stopped = False
        self._thread = threading.Thread(target=self._run_events, daemon=True)

    def start(self) -> None:
        """Starts the thread that runs timed events."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread, and every wait with GroupStopped."""
        with self._lock:
            self._stopped = True
            self._due.notify_all()
            self._answering.notify_all()
        self._thread.join(STOP_WAIT_SECONDS)

    def call(self, operation: Callable[[float], Result]) -> Result:
        """Calls the model with the present time, waiting while the database does not answer.

        Raises what the model raises, and GroupStopped.
        """
        with self._lock:
            while True:
                if self._stopped:
                    raise GroupStopped
                try:
                    return operation(time.monotonic())
                except DatabaseNotAnswering:
                    self._answering.wait()
                finally:
                    self._wake_for_new_events()

    def change(self, operation: Callable[[float], None]) -> None:
        """Switches a fault, and lets those who wait look again."""
        with self._lock:
            operation(time.monotonic())
            self._wake_for_new_events()
            self._answering.notify_all()

    def _wake_for_new_events(self) -> None:
        next_event = self.model.next_event()
        if next_event is not None and next_event < self._wake_time:
            self._due.notify()

    def _run_events(self) -> None:
        with self._lock:
            while not self._stopped:
                now = time.monotonic()
                self.model.advance(now)
                next_event = self.model.next_event()
                self._wake_time = now + IDLE_WAIT_SECONDS if next_event is None else next_event
                self._due.wait(max(self._wake_time - time.monotonic(), 0.0))
