"""Reads the store for newer revisions, at a few proxies only, and keeps its snapshot young.

A rendezvous hash over the live members ranks all proxies; the first few poll. So the store sees
the same few reads a second at any number of proxies, and when one of the few dies its successor
is known without a word. A proxy that sees no other members ranks first, and polls for itself.
"""

import heapq
import itertools
from collections.abc import Iterable
from random import Random
from typing import TypeVar

import msgspec
import xxhash

from dewledge.core.proxy.configuration.acceptance_steps import catch_up, read_head, write_snapshot
from dewledge.core.proxy.configuration.configuration import EMPTY_CONFIGURATION, Configuration
from dewledge.core.proxy.configuration.store import (
    ConfigurationLearned,
    StoreCall,
    StoreCaller,
    StoreReached,
    StoreResult,
)
from dewledge.core.proxy.configuration.store_task import RetrySettings, StoreSteps, StoreTask
from dewledge.core.proxy.effects import LogEvent
from dewledge.errors import DewledgeError

Value = TypeVar("Value")

PollerEffect = StoreCall | ConfigurationLearned | StoreReached | LogEvent

RANKING_SEED = 0x6477_6C70
"""Number that seeds the ranking; every proxy must rank alike."""


MAX_FAILURES = 16
"""Failures in a row that still lengthen the interval."""


class PollerSettings(msgspec.Struct, frozen=True):
    """Times in seconds.

    pollers: how many proxies poll.
    interval: between two polls of one of them; doubled per failure up to max_interval.
    bound: for one poll, retries included.
    peer_start_wait: a newcomer with peers asks the store itself only after this.
    snapshot_every: revisions between two snapshots.
    """

    pollers: int = 3
    interval: float = 2.0
    max_interval: float = 4.0
    bound: float = 6.0
    peer_start_wait: float = 2.0
    snapshot_every: int = 32
    retry: RetrySettings = RetrySettings()


class Polled(msgspec.Struct, frozen=True):
    """The end of one poll. head_revision is None if the store could not be read."""

    head_revision: int | None
    learned: ConfigurationLearned | None = None
    error: str = ""


class SnapshotChecked(msgspec.Struct, frozen=True):
    """The newest snapshot's revision, or why it is not known."""

    revision: int | None
    error: str = ""


def rank_pollers(members: Iterable[str], count: int) -> tuple[str, ...]:
    """Returns the `count` members that poll, first-ranked first; the same on every proxy."""
    return tuple(heapq.nlargest(count, members, key=_score))


def _score(name: str) -> tuple[int, str]:
    return xxhash.xxh3_64_intdigest(name.encode(), seed=RANKING_SEED), name


class ConfigurationPoller:
    """One proxy's part in polling. `is_started` once its first configuration has been learned."""

    def __init__(self, me: str, settings: PollerSettings, random: Random) -> None:
        self.is_started = False
        self._me = me
        self._settings = settings
        self._random = random
        self._call_ids = itertools.count(1)
        self._configuration = EMPTY_CONFIGURATION
        self._pollers: tuple[str, ...] = (me,)
        self._next_poll: float | None = None
        self._failures = 0
        self._snapshot_revision = 0
        self._poll: StoreTask[Polled] | None = None
        self._snapshot: StoreTask[SnapshotChecked] | None = None

    @property
    def is_poller(self) -> bool:
        """Tells whether this proxy is among those that poll."""
        return self._me in self._pollers

    def start(self, expects_peers: bool, now: float) -> list[PollerEffect]:
        """Begins: from the store at once, or after a wait if peers may give the configuration."""
        wait = self._settings.peer_start_wait
        self._next_poll = now + self._random.uniform(wait, 2 * wait) if expects_peers else now
        return self.tick(now)

    def set_members(self, members: Iterable[str], now: float) -> list[PollerEffect]:
        """Takes the names of the live members, this proxy included or not."""
        was_poller = self.is_poller
        self._pollers = rank_pollers({*members, self._me}, self._settings.pollers)
        if self.is_poller and not was_poller:
            self._schedule(now, self._random.uniform(0, self._settings.interval))
        return []

    def note_configuration(self, configuration: Configuration) -> None:
        """Takes the configuration in force here, however it came; an older one is ignored."""
        if configuration.revision > self._configuration.revision:
            self._configuration = configuration
            self.is_started = True

    def handle_store_result(self, result: StoreResult, now: float) -> list[PollerEffect]:
        """Takes the result of a StoreCall of this machine; others and late ones are ignored."""
        if result.caller is not StoreCaller.POLLER:
            return []
        effects: list[PollerEffect] = []
        for task in self._tasks():
            effects += task.handle_result(result, now)
        return effects + self._finish(now)

    def tick(self, now: float) -> list[PollerEffect]:
        """Polls when it is time; repeats failed calls."""
        effects: list[PollerEffect] = []
        for task in self._tasks():
            effects += task.tick(now)
        effects += self._finish(now)
        if self._is_due(now):
            effects += self._start_poll(now)
        return effects

    def next_wake(self) -> float | None:
        """Returns when `tick` has something to do, or None."""
        wakes = [wake for task in self._tasks() if (wake := task.next_wake()) is not None]
        if self._next_poll is not None and self._poll is None and self._must_poll():
            wakes.append(self._next_poll)
        return min(wakes, default=None)

    def _tasks(self) -> list[StoreTask[Polled] | StoreTask[SnapshotChecked]]:
        return [task for task in (self._poll, self._snapshot) if task is not None]

    def _must_poll(self) -> bool:
        return self.is_poller or not self.is_started

    def _is_due(self, now: float) -> bool:
        if self._next_poll is None or self._poll is not None:
            return False
        return self._must_poll() and now >= self._next_poll

    def _schedule(self, now: float, wait: float) -> None:
        self._next_poll = now + wait

    def _start_poll(self, now: float) -> list[PollerEffect]:
        self._poll = self._new_task(_poll_steps(self._configuration), now)
        return [*self._poll.start(now), *self._finish(now)]

    def _new_task(self, steps: StoreSteps[Value], now: float) -> StoreTask[Value]:
        return StoreTask(
            steps,
            now + self._settings.bound,
            StoreCaller.POLLER,
            self._call_ids,
            self._settings.retry,
            self._random,
        )

    def _finish(self, now: float) -> list[PollerEffect]:
        effects: list[PollerEffect] = []
        if self._poll and self._poll.is_finished and self._poll.value:
            polled = self._poll.value
            self._poll = None
            effects += self._finish_poll(polled, now)
        if self._snapshot and self._snapshot.is_finished and self._snapshot.value:
            checked = self._snapshot.value
            self._snapshot = None
            effects += self._finish_snapshot(checked)
        return effects

    def _finish_poll(self, polled: Polled, now: float) -> list[PollerEffect]:
        if polled.head_revision is None:
            self._failures = min(self._failures + 1, MAX_FAILURES)
            self._schedule(now, self._interval())
            return [LogEvent("configuration_poll_failed", (("error", polled.error),))]
        self._failures = 0
        self._schedule(now, self._interval())
        effects: list[PollerEffect] = []
        if polled.head_revision < self._configuration.revision:
            # A poll that began before an acceptance here also ends this way, so this is no alarm.
            fields = (
                ("store_revision", polled.head_revision),
                ("known_revision", self._configuration.revision),
            )
            effects.append(LogEvent("store_is_behind", fields))
        effects += self._finish_catching_up(polled)
        return effects + self._start_snapshot(now)

    def _finish_catching_up(self, polled: Polled) -> list[PollerEffect]:
        if polled.error:
            return [LogEvent("configuration_catch_up_failed", (("error", polled.error),))]
        self.is_started = True
        learned = polled.learned
        if not learned or learned.configuration.revision <= self._configuration.revision:
            return [StoreReached()]
        self._configuration = learned.configuration
        fields = (("revision", learned.configuration.revision), ("changes", len(learned.changes)))
        return [learned, StoreReached(), LogEvent("configuration_learned_from_store", fields)]

    def _interval(self) -> float:
        shortest = self._settings.interval
        if self._failures == 0:
            return shortest
        longest = min(self._settings.max_interval, shortest * 2.0**self._failures)
        return self._random.uniform(shortest, longest)

    def _start_snapshot(self, now: float) -> list[PollerEffect]:
        age = self._configuration.revision - self._snapshot_revision
        is_first = self._pollers[0] == self._me
        if not is_first or self._snapshot or age < self._settings.snapshot_every:
            return []
        steps = _snapshot_steps(self._configuration, self._settings.snapshot_every)
        self._snapshot = self._new_task(steps, now)
        return [*self._snapshot.start(now)]

    def _finish_snapshot(self, checked: SnapshotChecked) -> list[PollerEffect]:
        if checked.revision is None:
            return [LogEvent("snapshot_failed", (("error", checked.error),))]
        self._snapshot_revision = checked.revision
        return [LogEvent("snapshot_checked", (("revision", checked.revision),))]


def _poll_steps(known: Configuration) -> StoreSteps[Polled]:
    try:
        head = yield from read_head()
    except DewledgeError as error:
        return Polled(None, error=str(error))
    revision = head.value.revision
    if revision <= known.revision:
        return Polled(revision)
    try:
        learned = yield from catch_up(known, head.value)
    except DewledgeError as error:
        return Polled(revision, error=str(error))
    return Polled(revision, learned)


def _snapshot_steps(configuration: Configuration, at_least: int) -> StoreSteps[SnapshotChecked]:
    try:
        revision = yield from write_snapshot(configuration, at_least)
    except DewledgeError as error:
        return SnapshotChecked(None, str(error))
    return SnapshotChecked(revision)
