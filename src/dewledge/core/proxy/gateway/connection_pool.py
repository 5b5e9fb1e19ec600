"""The back-end connections of one gateway to one database.

The pool opens connections ahead of need up to its target, and lends idle ones. A connection of
unknown state is discarded, never lent again. Being refused for the database's connection limit is
expected, since another gateway may hold connections for a moment: the pool tries again later.
"""

from collections.abc import Callable

from dewledge.core.proxy.effects import CloseConnection, OpenConnection
from dewledge.core.proxy.gateway.context import GatewayContext, Timer
from dewledge.errors import ErrorCode


class ConnectionPool:
    """Connections that are opening, idle and lent.

    `on_opened(now)` is called when one opened, `on_failed(code, now)` when that failed.
    """

    def __init__(
        self,
        context: GatewayContext,
        database: str,
        on_opened: Callable[[float], None],
        on_failed: Callable[[ErrorCode, float], None],
    ) -> None:
        self._context = context
        self._database = database
        self._on_opened = on_opened
        self._on_failed = on_failed
        self._address = ""
        self._target = 0
        self._opening: dict[int, Timer] = {}
        self._idle: list[int] = []
        self._lent: set[int] = set()
        self._obsolete: set[int] = set()
        self._given_up: set[int] = set()
        self._retry_pause = 0.0
        self._retry_timer: Timer | None = None
        self._failure: ErrorCode | None = None
        self._is_held = False

    @property
    def open_count(self) -> int:
        """Connections that are open, idle or lent."""
        return len(self._idle) + len(self._lent)

    @property
    def has_idle(self) -> bool:
        """Whether a connection can be lent now."""
        return bool(self._idle)

    @property
    def is_empty(self) -> bool:
        """True without any connection, also none opening."""
        return not (self._opening or self._idle or self._lent)

    @property
    def failure(self) -> ErrorCode | None:
        """Why the last open failed; None once one succeeded."""
        return self._failure

    @property
    def retry_pause(self) -> float:
        """Seconds between a failed open and the next try."""
        return self._retry_pause

    def configure(self, address: str, target: int, now: float) -> None:
        """Sets where to connect and how many to hold, and opens or closes towards that."""
        if address != self._address:
            self._address = address
            self._replace_all()
        self._target = target
        while self._idle and self._total() > target:
            self._close(self._idle.pop(0))
        self._fill(now)

    def hold(self) -> None:
        """Opens nothing until `resume`, because this proxy may hold an old configuration."""
        self._is_held = True

    def resume(self, now: float) -> None:
        """Ends `hold`, and opens towards the target."""
        self._is_held = False
        self._fill(now)

    def lend(self) -> int:
        """Takes an idle connection, the one used last. Raises IndexError if there is none."""
        connection = self._idle.pop()
        self._lent.add(connection)
        return connection

    def give_back(self, connection: int, now: float) -> None:
        """Returns a lent connection in a known clean state."""
        if connection not in self._lent:
            return
        self._lent.discard(connection)
        if connection in self._obsolete or self._total() >= self._target:
            self._close(connection)
            self._fill(now)
            return
        self._idle.append(connection)

    def discard(self, connection: int, now: float) -> None:
        """Closes a lent connection of unknown state and opens another."""
        if connection not in self._lent:
            return
        self._lent.discard(connection)
        self._close(connection)
        self._fill(now)

    def close_idle(self) -> None:
        """Closes the idle connections, for instance because the database became unreachable."""
        while self._idle:
            self._close(self._idle.pop())

    def opened(self, connection: int, now: float) -> None:
        """Takes a connection that was opened; one no longer wanted is closed."""
        self._context.connection_owners.pop(connection, None)
        timer = self._opening.pop(connection, None)
        if timer is None:
            self._close_given_up(connection)
            return
        self._context.cancel(timer)
        self._failure = None
        self._retry_pause = 0.0
        if connection in self._obsolete or self._total() >= self._target:
            self._close(connection)
            self._fill(now)
            return
        self._idle.append(connection)
        self._fill(now)
        self._on_opened(now)

    def failed(self, connection: int, code: ErrorCode, now: float) -> None:
        """Notes a failed open; the next try comes after a growing pause."""
        self._context.connection_owners.pop(connection, None)
        self._given_up.discard(connection)
        timer = self._opening.pop(connection, None)
        if timer is None:
            return
        self._context.cancel(timer)
        self._note_failure(connection, code, now)

    def retry_soon(self, now: float) -> None:
        """Tries again now, since the database was seen to answer after it was unreachable."""
        if self._retry_timer is None or self._failure is not ErrorCode.DATABASE_UNREACHABLE:
            return
        self._context.cancel(self._retry_timer)
        self._retry(now)

    def _total(self) -> int:
        return len(self._opening) + len(self._idle) + len(self._lent)

    def _fill(self, now: float) -> None:
        if self._is_held or self._retry_timer is not None:
            return
        while self._total() < self._target:
            self._open(now)

    def _open(self, now: float) -> None:
        connection = self._context.next_id()
        timeout = self._context.settings.open_timeout
        self._opening[connection] = self._context.call_at(
            now + timeout, lambda at: self._give_up_opening(connection, at)
        )
        self._context.connection_owners[connection] = self
        self._context.emit(OpenConnection(connection, self._database, self._address))

    def _give_up_opening(self, connection: int, now: float) -> None:
        """Counts an open that was never reported as failed; should it come late, it is closed."""
        del self._opening[connection]
        self._given_up.add(connection)
        self._context.emit(CloseConnection(connection))
        self._note_failure(connection, ErrorCode.DATABASE_UNREACHABLE, now)

    def _close_given_up(self, connection: int) -> None:
        if connection in self._given_up:
            self._given_up.discard(connection)
            self._context.emit(CloseConnection(connection))

    def _note_failure(self, connection: int, code: ErrorCode, now: float) -> None:
        self._obsolete.discard(connection)
        self._failure = code
        self._plan_retry(now)
        self._on_failed(code, now)

    def _plan_retry(self, now: float) -> None:
        if self._retry_timer is not None:
            return
        settings = self._context.settings
        doubled = max(settings.open_retry_min, 2 * self._retry_pause)
        self._retry_pause = min(doubled, settings.open_retry_max)
        pause = self._context.jittered(self._retry_pause)
        self._retry_timer = self._context.call_at(now + pause, self._retry)

    def _retry(self, now: float) -> None:
        """Tries one; if that opens, the others follow."""
        self._retry_timer = None
        if self._total() < self._target and not self._is_held:
            self._open(now)

    def _replace_all(self) -> None:
        self.close_idle()
        self._obsolete.update(self._opening)
        self._obsolete.update(self._lent)

    def _close(self, connection: int) -> None:
        self._obsolete.discard(connection)
        self._context.emit(CloseConnection(connection))
