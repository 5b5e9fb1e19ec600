"""One attempt of a statement on the connection that it holds: setup, sending, answer.

It owns the timers and epochs of what was sent, and tells the `AttemptListener` how each step ended.
What follows is not decided here but by retry_rule.py.
"""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from dewledge.core.pooler.databases.answer_watch import SUSPECT_AFTER_SECONDS, AnswerWatch
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.statements.connection_setup import (
    SetupStep,
    send_setup,
    statement_for_database,
)
from dewledge.core.pooler.statements.held_connection import HeldConnection
from dewledge.core.pooler.statements.retry_rule import Trouble
from dewledge.core.pooler.statements.run_timers import RunTimers
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.pooler.statements.statements import Failure, Reply, StatementKind
from dewledge.core.shared.positions import LogPosition


class AttemptListener(Protocol):
    """Called with how the steps of an attempt end; for each step one call at most."""

    def set_up(self, connection: DatabaseConnection) -> None:
        """The connection is prepared."""

    def set_up_refused(
        self, connection: DatabaseConnection, reply: Reply, failure: Failure
    ) -> None:
        """A step of the setup was answered with a failure."""

    def set_up_failed(self, trouble: Trouble) -> None:
        """The connection ended during the setup, or the setup was not answered in its time."""

    def answered(self, reply: Reply | None) -> None:
        """The statement was answered; None if the connection ended without an answer."""

    def silent(self) -> None:
        """The statement was not answered in the time of this attempt."""


class Setup(msgspec.Struct, frozen=True):
    """What prepares a connection: steps, then the begin of a transaction under a floor, if any."""

    steps: Sequence[SetupStep]
    begin: StatementKind | None
    floor: LogPosition | None


class Attempt:
    """Of one statement, one attempt after the other."""

    def __init__(
        self,
        scope: StatementScope,
        held: HeldConnection,
        timers: RunTimers,
        listener: AttemptListener,
    ) -> None:
        self._scheduler = scope.services.scheduler
        self._scope = scope
        self._held = held
        self._timers = timers
        self._listener = listener
        self._watch = AnswerWatch(self._scheduler, scope.group, held)
        self._is_over = False
        self.is_setting_up = False
        """Whether what prepares the connection is not answered yet."""
        self.sent_at = 0.0
        """When the statement itself was sent last (steady clock, seconds)."""

    def end(self) -> None:
        """The statement is answered or given up: what still comes is ignored."""
        self._is_over = True

    def stop_setup(self) -> None:
        """The answer to the setup is awaited no more."""
        self.is_setting_up = False

    def begin_setup(self, connection: DatabaseConnection, setup: Setup, limit: float) -> None:
        """Sends what prepares the connection; its answer is awaited until `limit`."""
        epoch = self._held.next_epoch()
        self._watch.begin()
        self.is_setting_up = True
        self._timers.limit(limit, self._setup_silent)

        def take(verdict: Reply | None | bool) -> None:
            self._take_setup(epoch, verdict)

        send_setup(connection, setup.steps, setup.begin, setup.floor, take)

    def note_sending(self) -> float:
        """The statement is sent now: returns that moment."""
        self.sent_at = self._scheduler.now()
        return self.sent_at

    def send(self, connection: DatabaseConnection, floor: LogPosition | None, limit: float) -> None:
        """Sends the statement itself; its answer is awaited until `limit`."""
        epoch = self._held.next_epoch()
        self._timers.limit(limit, self._silent)
        self._watch.begin()
        self._watch_answer(epoch, SUSPECT_AFTER_SECONDS)
        statement = statement_for_database(self._scope.session, self._scope.statement)
        connection.send(statement, lambda reply: self._answered(epoch, reply), floor)

    def _take_setup(self, epoch: int, verdict: Reply | None | bool) -> None:
        connection = self._held.connection
        if self._is_over or epoch != self._held.epoch or connection is None:
            return
        self.is_setting_up = False
        if verdict is True:
            self._listener.set_up(connection)
            return
        self._timers.clear_limit()
        if isinstance(verdict, Reply) and verdict.failure is not None:
            self._watch.take(verdict, None)
            self._listener.set_up_refused(connection, verdict, verdict.failure)
        else:
            self._listener.set_up_failed(Trouble.LOST)

    def _setup_silent(self) -> None:
        if not self._is_over and self._held.connection is not None:
            self._listener.set_up_failed(Trouble.SILENT)

    def limit_passed(self) -> None:
        """The answer is awaited no more: a database that was silent meanwhile is suspected."""
        self.is_setting_up = False
        self._watch.limit_passed()

    def _watch_answer(self, epoch: int, seconds: float) -> None:
        def look() -> None:
            if not self._is_over and epoch == self._held.epoch:
                self._watch.look(lambda remaining: self._watch_answer(epoch, remaining))

        self._timers.watch_answer(seconds, look)

    def _answered(self, epoch: int, reply: Reply | None) -> None:
        if self._is_over or epoch != self._held.epoch:
            return
        self._timers.clear_limit()
        self._watch.take(reply, self._scope.statement)
        self._listener.answered(reply)

    def _silent(self) -> None:
        if not self._is_over and self._held.connection is not None:
            self._listener.silent()
