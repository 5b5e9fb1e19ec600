"""Who reaches whom, who stands still, and the event loop of one process."""

import random
from collections.abc import Callable, Iterable

from tests.core.pooler.harness import ModelScheduler, Timer

STORE = "store"
PLATFORM = "platform"


class ModelNetwork:
    """Cuts between any two names; silent, so that what is under way is lost."""

    def __init__(self, scheduler: ModelScheduler, chance: random.Random) -> None:
        self.scheduler = scheduler
        self.random = chance
        self.cuts: set[frozenset[str]] = set()

    def reaches(self, one: str, other: str) -> bool:
        return one == other or frozenset((one, other)) not in self.cuts

    def cut(self, one: str, others: Iterable[str]) -> None:
        self.cuts |= {frozenset((one, other)) for other in others if other != one}

    def heal(self) -> None:
        self.cuts.clear()

    def delay(self) -> float:
        return self.random.uniform(0.001, 0.02)

    def carry(
        self, one: str, other: str, deliver: Callable[[], None], not_before: float = 0.0
    ) -> float:
        """Carries something from one name to another, unless they are cut then or before.

        Returns when it arrives: on a connection nothing that follows arrives sooner.
        """

        def arrive() -> None:
            if self.reaches(one, other):
                deliver()

        at = max(self.scheduler.time + self.delay(), not_before)
        if self.reaches(one, other):
            self.scheduler.call_later(at - self.scheduler.time, arrive)
        return at


class ProcessLoop:
    """The clock, timers and posts of one process, which may stand still or be killed."""

    def __init__(self, scheduler: ModelScheduler) -> None:
        self.scheduler = scheduler
        self.alive = True
        self.frozen_until = 0.0

    def now(self) -> float:
        return self.scheduler.time

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        timer = self.scheduler.call_later(delay, lambda: None)
        timer.callback = lambda: self.run(callback)
        return timer

    def post(self, callback: Callable[[], None]) -> None:
        self.call_later(0.0, callback)

    def run(self, callback: Callable[[], None]) -> None:
        """Runs now, or when the process stands still no longer; never in a dead process."""
        if not self.alive:
            return
        if self.scheduler.time < self.frozen_until:
            self.scheduler.call_later(
                self.frozen_until - self.scheduler.time, lambda: self.run(callback)
            )
            return
        callback()
