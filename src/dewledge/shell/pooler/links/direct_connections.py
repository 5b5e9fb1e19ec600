"""A process's own way to a database whose holders are silent: tried, and judged like a holder.

Where a region is cut off its databases are out of reach as well as the processes beside them. The
first statements find that out; the next ones are told at once, and only a probe tries again.
"""

from collections.abc import Callable

from dewledge.core.pooler.load.holder_health import HolderHealth, HolderRules, HolderState
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.errors import ErrorCode
from dewledge.shell.shared.event_loop import EventLoop

OWN_WAY_RULES = HolderRules(least_patience=0.2, longest_patience=0.4)
"""A database answers a startup later than a process answers a ping: some round trips and work."""

OpenedCallback = Callable[[DatabaseConnection], None]
FailedCallback = Callable[[ErrorCode], None]
Dial = Callable[[OpenedCallback, FailedCallback], None]
"""Opens a connection and calls one of both once."""


class DirectConnections:
    """What is known of the direct way to one database."""

    def __init__(self, loop: EventLoop, jitter: Callable[[], float]) -> None:
        """`jitter`: see HolderHealth."""
        self._loop = loop
        self._health = HolderHealth(OWN_WAY_RULES, jitter)
        self._attempts: list[_Attempt] = []

    @property
    def is_usable(self) -> bool:
        """Whether a statement may wait for a connection on this way."""
        return self._health.is_usable(self._loop.now())

    @property
    def may_probe(self) -> bool:
        """Whether it is time to see if the way is there again."""
        return not self._attempts and self._health.may_probe(self._loop.now())

    def open(self, dial: Dial, opened: OpenedCallback, failed: FailedCallback) -> None:
        """Dials; `failed` is called as soon as the way is doubted, however long the dial goes on.

        A connection that stands later shows that the way is there, and is closed.
        """
        attempt = _Attempt(opened, failed)
        is_first = not self._attempts
        self._attempts.append(attempt)
        if not self.is_usable:
            attempt.move_on()
        if is_first:
            self._look_later(self._health.dialled(self._loop.now()))

        def stands(connection: DatabaseConnection) -> None:
            self._end(attempt)
            self._health.opened(self._loop.now())
            attempt.take(connection)

        def refused(code: ErrorCode) -> None:
            self._end(attempt)
            if code is ErrorCode.DATABASE_UNREACHABLE:
                self._health.ended(self._loop.now(), is_dial=True)
            else:
                self._health.opened(self._loop.now())
            attempt.fail(code)

        dial(stands, refused)

    def _end(self, attempt: "_Attempt") -> None:
        self._attempts.remove(attempt)

    def _look_later(self, delay: float | None) -> None:
        if delay is not None:
            self._loop.call_later(delay, self._look)

    def _look(self) -> None:
        if not self._attempts:
            return
        look = self._health.look(self._loop.now())
        if self._health.state is HolderState.USABLE:
            self._look_later(look.again)
            return
        for attempt in list(self._attempts):
            attempt.move_on()


class _Attempt:
    """One connection that is being opened, and who waits for it."""

    def __init__(self, opened: OpenedCallback, failed: FailedCallback) -> None:
        self._opened = opened
        self._failed = failed
        self._is_awaited = True

    def move_on(self) -> None:
        """Who waits is told that the database is out of reach."""
        self.fail(ErrorCode.DATABASE_UNREACHABLE)

    def fail(self, code: ErrorCode) -> None:
        if self._is_awaited:
            self._is_awaited = False
            self._failed(code)

    def take(self, connection: DatabaseConnection) -> None:
        """The connection stands; nobody may wait for it any more."""
        if self._is_awaited:
            self._is_awaited = False
            self._opened(connection)
        else:
            connection.close()
