"""An attempt to run a statement on a connection: setup, sending and reply.

Attempt sets the time limit of each step, ignores replies that belong to an earlier epoch of the
BorrowedConnection, and reports each result to the AttemptListener. retry_rule.py decides what
happens next.
"""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from dewledge.core.pooler.databases.answer_watch import SUSPECT_AFTER_SECONDS, AnswerWatch
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.statements.borrowed_connection import BorrowedConnection
from dewledge.core.pooler.statements.connection_setup import (
    SetupStep,
    send_setup,
    statement_for_database,
)
from dewledge.core.pooler.statements.retry_rule import Trouble
from dewledge.core.pooler.statements.run_timers import RunTimers
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.pooler.statements.statements import Failure, Reply, StatementKind
from dewledge.core.shared.positions import LogPosition


class AttemptListener(Protocol):
    """Receives the result of each step of an attempt, at most once per step."""

    def on_setup_done(self, connection: DatabaseConnection) -> None:
        """Called when the connection is prepared."""

    def on_setup_refused(
        self, connection: DatabaseConnection, reply: Reply, failure: Failure
    ) -> None:
        """Called when the database returned a failure to a setup statement."""

    def on_setup_failed(self, trouble: Trouble) -> None:
        """Called when the connection closed during setup, or the setup timed out."""

    def on_reply(self, reply: Reply | None) -> None:
        """Called with the reply to the statement; None if the connection closed without one."""

    def on_timeout(self) -> None:
        """Called when the attempt reached its time limit without a reply."""


class Setup(msgspec.Struct, frozen=True):
    """The statements that prepare a connection.

    steps: session values and prepared statements. begin: the transaction to open after them, None
    for none. floor: the minimum log position for that transaction.
    """

    steps: Sequence[SetupStep]
    begin: StatementKind | None
    floor: LogPosition | None


class Attempt:
    """Performs the attempts of a statement, one at a time."""

    def __init__(
        self,
        scope: StatementScope,
        held: BorrowedConnection,
        timers: RunTimers,
        listener: AttemptListener,
    ) -> None:
        self._scheduler = scope.services.scheduler
        self._scope = scope
        self._held = held
        self._timers = timers
        self._listener = listener
        self._watch = AnswerWatch(self._scheduler, scope.group, held)
        self._has_ended = False
        self.is_setting_up = False
        """Whether the setup has been sent and its replies are pending."""
        self.sent_at = 0.0
        """When the statement was last sent (steady clock, seconds)."""

    def end(self) -> None:
        """Ends the attempt; later replies are ignored."""
        self._has_ended = True

    def stop_setup(self) -> None:
        """Stops waiting for the replies to the setup."""
        self.is_setting_up = False

    def begin_setup(self, connection: DatabaseConnection, setup: Setup, limit: float) -> None:
        """Sends the setup statements and waits for their replies until `limit`."""
        epoch = self._held.next_epoch()
        self._watch.begin()
        self.is_setting_up = True
        self._timers.set_limit(limit, self._on_setup_timeout)

        def on_result(result: Reply | None | bool) -> None:
            self._on_setup_result(epoch, result)

        send_setup(connection, setup.steps, setup.begin, setup.floor, on_result)

    def record_sent_at(self) -> float:
        """Records the current time as the sending time and returns it."""
        self.sent_at = self._scheduler.now()
        return self.sent_at

    def send(self, connection: DatabaseConnection, floor: LogPosition | None, limit: float) -> None:
        """Sends the client's statement and waits for its reply until `limit`."""
        epoch = self._held.next_epoch()
        self._timers.set_limit(limit, self._on_timeout)
        self._watch.begin()
        self._check_silence_after(epoch, SUSPECT_AFTER_SECONDS)
        statement = statement_for_database(self._scope.session, self._scope.statement)
        connection.send(statement, lambda reply: self._on_reply(epoch, reply), floor)

    def _on_setup_result(self, epoch: int, result: Reply | None | bool) -> None:
        connection = self._held.connection
        if self._has_ended or epoch != self._held.epoch or connection is None:
            return
        self.is_setting_up = False
        if result is True:
            self._listener.on_setup_done(connection)
            return
        self._timers.clear_limit()
        if isinstance(result, Reply) and result.failure is not None:
            self._watch.record_reply(result, None)
            self._listener.on_setup_refused(connection, result, result.failure)
        else:
            self._listener.on_setup_failed(Trouble.LOST)

    def _on_setup_timeout(self) -> None:
        if not self._has_ended and self._held.connection is not None:
            self._listener.on_setup_failed(Trouble.SILENT)

    def stop_waiting(self) -> None:
        """Stops waiting; a database that has not replied since this step began becomes suspect."""
        self.is_setting_up = False
        self._watch.on_timeout()

    def _check_silence_after(self, epoch: int, seconds: float) -> None:
        def check() -> None:
            if not self._has_ended and epoch == self._held.epoch:
                self._watch.check(lambda remaining: self._check_silence_after(epoch, remaining))

        self._timers.check_silence_after(seconds, check)

    def _on_reply(self, epoch: int, reply: Reply | None) -> None:
        if self._has_ended or epoch != self._held.epoch:
            return
        self._timers.clear_limit()
        self._watch.record_reply(reply, self._scope.statement)
        self._listener.on_reply(reply)

    def _on_timeout(self) -> None:
        if not self._has_ended and self._held.connection is not None:
            self._listener.on_timeout()
