"""When to read the platform's machine list: more rarely, the more members there are.

The list only helps a proxy that knows nobody, so all proxies together need few reads.
"""

from random import Random

from dewledge.core.proxy.assembly.effects import ReadMachineList

MEMBERS_PER_READER = 10
"""Members that read together about as often as a proxy without others does."""

LONE_RETRY_SECONDS = 2.0
"""Between two reads of a proxy that knows no other: it cannot join without."""
ANSWER_BOUND_SECONDS = 10.0
"""Seconds after which a read that was never answered no longer holds up the next."""


class MachineListReader:
    """Asks for the list at start, soon again while alone, and then at a stretched interval."""

    def __init__(self, interval: float, random: Random) -> None:
        self._interval = interval
        self._random = random
        self._next_read: float | None = None

    def start(self, now: float) -> list[ReadMachineList]:
        """Asks for the list at once."""
        self._next_read = now
        return self.tick(now)

    def handle_answer(self, members: int, now: float) -> None:
        """Notes an answer, or the lack of one, and how many members are known by now."""
        wait = LONE_RETRY_SECONDS
        if members > 1:
            wait = self._interval * max(1.0, members / MEMBERS_PER_READER)
        self._next_read = now + wait * self._random.uniform(0.75, 1.25)

    def tick(self, now: float) -> list[ReadMachineList]:
        """Asks for the list when it is time."""
        if self._next_read is None or now < self._next_read:
            return []
        self._next_read = now + ANSWER_BOUND_SECONDS
        return [ReadMachineList()]

    def next_wake(self) -> float | None:
        """Returns when `tick` is next due, or None."""
        return self._next_read
