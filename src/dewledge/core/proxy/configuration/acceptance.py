"""Has operators' changes accepted: one proposal after the other, within a bound of time each.

The order of the store calls is in `acceptance_steps`.
"""

import itertools
from collections import deque
from random import Random

import msgspec

from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.configuration.acceptance_steps import (
    Acceptance,
    accept_change,
    look_up_change,
)
from dewledge.core.proxy.configuration.configuration import EMPTY_CONFIGURATION, Configuration
from dewledge.core.proxy.configuration.store import (
    ChangeLookedUp,
    ConfigurationLearned,
    ProposalFinished,
    ProposedChange,
    StoreCall,
    StoreCaller,
    StoreResult,
)
from dewledge.core.proxy.configuration.store_task import RetrySettings, StoreTask
from dewledge.core.proxy.effects import LogEvent
from dewledge.errors import ErrorCode

AcceptanceEffect = StoreCall | ProposalFinished | ChangeLookedUp | ConfigurationLearned | LogEvent


class AcceptanceSettings(msgspec.Struct, frozen=True):
    """Bounds in seconds, from the call to its final answer; and how many may wait."""

    proposal_bound: float = 10.0
    look_up_bound: float = 3.0
    max_pending: int = 16
    retry: RetrySettings = RetrySettings()


class _Waiting(msgspec.Struct, frozen=True):
    proposal: ProposedChange
    deadline: float


class ConfigurationAcceptance:
    """The proposals and look-ups made at one proxy.

    A proposal whose change_id is waiting or under way here already is not proposed again: the
    one ProposalFinished answers both. A change id therefore names one change, chosen unique by
    whoever proposes; a later proposal of another change under a used id is refused.
    """

    def __init__(self, settings: AcceptanceSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._call_ids = itertools.count(1)
        self._configuration = EMPTY_CONFIGURATION
        self._waiting: deque[_Waiting] = deque()
        self._current: tuple[ProposedChange, StoreTask[Acceptance]] | None = None
        self._look_ups: dict[str, StoreTask[ChangeLookedUp]] = {}

    def propose(
        self, change: ProposedChange, configuration: Configuration, now: float
    ) -> list[AcceptanceEffect]:
        """Begins to have a change accepted; ends with one ProposalFinished.

        configuration: the newest that this proxy knows; saves reading it from the store.
        """
        self._note_configuration(configuration)
        if self.is_pending(change.change_id):
            return []
        if len(self._waiting) >= self._settings.max_pending:
            return [_not_run(change, ErrorCode.OVERLOADED, "too many changes are waiting here")]
        self._waiting.append(_Waiting(change, now + self._settings.proposal_bound))
        return self._start_next(now)

    def look_up(self, change_id: str, now: float) -> list[AcceptanceEffect]:
        """Asks the store whether a change was accepted; ends with one ChangeLookedUp."""
        if change_id in self._look_ups:
            return []
        if len(self._look_ups) >= self._settings.max_pending:
            return [ChangeLookedUp(change_id, None)]
        task = StoreTask(
            look_up_change(change_id),
            now + self._settings.look_up_bound,
            StoreCaller.ACCEPTANCE,
            self._call_ids,
            self._settings.retry,
            self._random,
        )
        self._look_ups[change_id] = task
        return [*task.start(now), *self._finish_look_ups()]

    def is_pending(self, change_id: str) -> bool:
        """Tells whether a proposal with this id waits or is under way here."""
        if self._current and self._current[0].change_id == change_id:
            return True
        return any(waiting.proposal.change_id == change_id for waiting in self._waiting)

    def handle_store_result(self, result: StoreResult, now: float) -> list[AcceptanceEffect]:
        """Takes the result of a StoreCall of this machine; others and late ones are ignored."""
        if result.caller is not StoreCaller.ACCEPTANCE:
            return []
        effects: list[AcceptanceEffect] = []
        for task in self._tasks():
            effects += task.handle_result(result, now)
        return effects + self._finish(now)

    def tick(self, now: float) -> list[AcceptanceEffect]:
        """Repeats calls whose time has come and gives up what is over its bound."""
        effects: list[AcceptanceEffect] = []
        for task in self._tasks():
            effects += task.tick(now)
        effects += self._finish(now)
        return effects + self._expire_waiting(now)

    def next_wake(self) -> float | None:
        """Returns when `tick` has something to do, or None."""
        wakes = [wake for task in self._tasks() if (wake := task.next_wake()) is not None]
        wakes += [waiting.deadline for waiting in self._waiting]
        return min(wakes, default=None)

    def _tasks(self) -> list[StoreTask[Acceptance] | StoreTask[ChangeLookedUp]]:
        current = [self._current[1]] if self._current else []
        return [*current, *self._look_ups.values()]

    def _note_configuration(self, configuration: Configuration) -> None:
        if configuration.revision > self._configuration.revision:
            self._configuration = configuration

    def _start_next(self, now: float) -> list[AcceptanceEffect]:
        if self._current or not self._waiting:
            return []
        waiting = self._waiting.popleft()
        task = StoreTask(
            accept_change(waiting.proposal, self._configuration),
            waiting.deadline,
            StoreCaller.ACCEPTANCE,
            self._call_ids,
            self._settings.retry,
            self._random,
        )
        self._current = (waiting.proposal, task)
        return [*task.start(now), *self._finish(now)]

    def _finish(self, now: float) -> list[AcceptanceEffect]:
        effects: list[AcceptanceEffect] = list(self._finish_look_ups())
        if not self._current or not self._current[1].is_finished:
            return effects
        acceptance = self._current[1].value
        assert acceptance is not None
        self._current = None
        if acceptance.learned:
            self._note_configuration(acceptance.learned.configuration)
            effects.append(acceptance.learned)
        self._note_accepted(acceptance.finished)
        effects.append(acceptance.finished)
        effects.append(_log_line(acceptance.finished))
        return effects + self._start_next(now)

    def _note_accepted(self, finished: ProposalFinished) -> None:
        change = finished.change
        if change and change.revision == self._configuration.revision + 1:
            self._configuration = self._configuration.with_change(change)

    def _finish_look_ups(self) -> list[ChangeLookedUp]:
        finished = [task for task in self._look_ups.values() if task.is_finished]
        values = [task.value for task in finished if task.value is not None]
        for value in values:
            del self._look_ups[value.change_id]
        return values

    def _expire_waiting(self, now: float) -> list[AcceptanceEffect]:
        effects: list[AcceptanceEffect] = []
        while self._waiting and self._waiting[0].deadline <= now:
            expired = self._waiting.popleft().proposal
            message = "earlier changes took too long"
            effects.append(_not_run(expired, ErrorCode.DEADLINE_EXCEEDED, message))
        return effects


def _not_run(change: ProposedChange, code: ErrorCode, message: str) -> ProposalFinished:
    return ProposalFinished(change.change_id, Outcome.NOT_RUN, code=code, message=message)


def _log_line(finished: ProposalFinished) -> LogEvent:
    return LogEvent(
        "proposal_finished",
        (
            ("change_id", finished.change_id),
            ("outcome", finished.outcome),
            ("revision", finished.revision),
            ("code", finished.code),
            ("winner", finished.winner.change_id if finished.winner else None),
            ("message", finished.message),
        ),
    )
