"""The connections of this proxy to one database: a share of its limit, and a queue before them."""

import itertools
import math
from collections import Counter
from collections.abc import Callable, Sequence

from dewledge.core.pooler.databases.database_silence import DatabaseSilence
from dewledge.core.pooler.load.slot_use import SlotUse
from dewledge.core.pooler.load.verdict import RefusalCause, Refuse, Verdict, WaitUntil
from dewledge.core.pooler.load.wait_counts import WaitCounts
from dewledge.core.pooler.pool.connection_openings import ConnectionOpenings
from dewledge.core.pooler.pool.connection_shares import ConnectionShares
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.idle_connections import IdleConnections
from dewledge.core.pooler.pool.opener import Opener
from dewledge.core.pooler.pool.pool_waits import Capacity, HeldToShare, PoolWaits
from dewledge.core.pooler.pool.slot_window import SlotWindow
from dewledge.core.pooler.pool.waiter import Demand, Denial, Waiter, servable_callers
from dewledge.core.pooler.statements.statements import TAKES_SLOT, Reply, StatementKind
from dewledge.core.shared.service_rate import ServiceRate
from dewledge.errors import ErrorCode


class ConnectionPool:
    """Idle connections are given out last in, first out, the one of the same values first.

    A connection belongs to one caller. Where the limit is reached, `connection_shares` tells which
    is closed to open one for another caller, and whose openings come first.
    """

    def __init__(
        self,
        database_id: str,
        limit: int,
        opener: Opener,
        clock: Callable[[], float],
        window: SlotWindow | None = None,
        silence: DatabaseSilence | None = None,
        is_fair: bool = True,
    ) -> None:
        """`window`: bounds the statements at the database; None where other processes do so.

        silence: judges whether the database has fallen silent; None if that is not judged. is_fair:
        callers get fair shares of slots and connections; else by arrival alone.
        """
        self.database_id = database_id
        self.limit = limit
        self.in_use = 0
        self.retired = False
        self.served_at = -math.inf
        """When the database last ran a statement of this process."""
        self._clock = clock
        self._silence = silence or DatabaseSilence(clock, is_judged=False)
        self._openings = ConnectionOpenings(
            database_id,
            opener,
            clock,
            self._silence,
            self._opened,
            self._failed,
            self._closed,
        )
        self._is_opening_more = False
        self._idle = IdleConnections(clock)
        self._is_fair = is_fair
        self._waits = PoolWaits(clock, self._capacity, is_fair)
        self._waiters = self._waits.queue
        self._window = window
        self.slot_use = SlotUse()
        """Slot time by caller."""
        self._lent: set[DatabaseConnection] = set()
        self._rates = self._waits.rates

    @property
    def size(self) -> int:
        """All connections, those being opened included."""
        return self.in_use + self._openings.total + len(self._idle)

    @property
    def waiting(self) -> int:
        """The statements that wait for a connection."""
        return len(self._waiters)

    @property
    def urgent_waiting(self) -> int:
        """Those of them that are as urgent as the most urgent one."""
        return self._waits.urgent

    @property
    def running(self) -> int:
        """The statements that are at the database, or on their way there."""
        return sum(each.is_single or each.unanswered > 0 for each in self._lent)

    @property
    def openings(self) -> int:
        """The connections that are being opened."""
        return self._openings.total

    @property
    def window_size(self) -> int:
        """How many statements may be at the database at once."""
        return self.limit if self._window is None else min(self._window.size, self.limit)

    @property
    def service_rate(self) -> ServiceRate:
        """How long a statement usually holds a slot, from first being sent to its answer."""
        return self._rates.service

    def has_idle(self, caller: str) -> bool:
        """Tells whether a statement of `caller` needs no connection to be opened."""
        return self._idle.has(caller)

    @property
    def wait_counts(self) -> WaitCounts:
        """How good the expected waits were."""
        return self._waits.record.counts

    @property
    def load(self) -> int:
        """Statements in use or waiting: what a further one stands behind."""
        return self.in_use + len(self._waiters)

    @property
    def is_full(self) -> bool:
        """Whether the database refuses statements for want of slots."""
        return self._window is not None and self._window.is_full

    @property
    def is_unreachable(self) -> bool:
        """Whether the last attempt to open a connection failed a moment ago."""
        return self._openings.is_unreachable

    @property
    def is_silent(self) -> bool:
        """Whether answers are awaited and the database gives none."""
        return self._silent_at() <= self._clock()

    def _silent_at(self) -> float:
        """Returns when the database will be taken for silent if it answers nothing.

        Of a way through other processes these judge, and the processes themselves are judged.
        """
        if self._window is None:
            return math.inf
        return self._silence.begins_at(self._lent, self._rates.slot_seconds)

    def _turns_away(self, waiter: Waiter) -> bool:
        return waiter.demand is not Demand.OWN and self._silence.turns_away(self._silent_at())

    @property
    def _is_cut_off(self) -> bool:
        """Whether nothing that stands or is being opened will serve who waits."""
        standing = itertools.chain(self._lent, self._idle)
        return not self._openings.total and all(each.is_retiring for each in standing)

    def acquire(self, waiter: Waiter, values: dict[str, str]) -> None:
        """Gives a connection now or later, or denies one."""
        if self.retired:
            waiter.deny(Denial.CLOSED)
            return
        if self._turns_away(waiter) and not self._silence.may_probe():
            waiter.deny(Denial.UNREACHABLE)
            return
        self._waits.arrive(waiter)
        may_take = self._waits.is_first(waiter) and self._has_room(waiter)
        connection = self._idle.take(waiter.caller, values) if may_take else None
        if connection is not None:
            self._give(connection, waiter)
            return
        if self._is_cut_off and self.is_unreachable:
            waiter.deny(Denial.UNREACHABLE)
            return
        if isinstance(self._waits.add(waiter), WaitUntil):
            self._serve_waiters()

    def judge(self, waiter: Waiter) -> Verdict:
        """Refuses one that waits and can't be served in its time; else tells when to ask again."""
        if self._turns_away(waiter):
            self._waiters.remove(waiter)
            waiter.deny(Denial.UNREACHABLE)
            return Refuse(RefusalCause.NO_CONNECTION, 0.0)
        verdict = self._waits.judge(waiter)
        if isinstance(verdict, WaitUntil):
            return WaitUntil(min(verdict.at, self._silent_at()))
        return verdict

    def promise_return(self) -> float:
        """Returns the seconds after which one that gave up here may come back."""
        return self._waits.promise_return(None)

    def on_held_to_share(self, told: Callable[[HeldToShare], None]) -> None:
        """`told` is called when a caller is held to its share, once a second at most."""
        self._waits.held_to_share = told

    def _capacity(self) -> Capacity:
        is_opening = not self._idle and self.size < self.limit
        return Capacity(self.running, self.window_size, self.in_use, self.limit, is_opening)

    def note_answer(
        self,
        kind: StatementKind,
        reply: Reply,
        held_seconds: float | None = None,
        connection: DatabaseConnection | None = None,
    ) -> None:
        """Takes the answer to a statement on a connection given here.

        A transaction that rests now leaves its place to who waits.
        held_seconds: for how long the statement held its slot, tries without one included.
        """
        self._silence.note_sign()
        is_served = kind in TAKES_SLOT and reply.failure is None
        if is_served:
            self.served_at = self._clock()
            if held_seconds is not None:
                self._rates.note_slot(held_seconds, self._clock())
                self._settle(connection, held_seconds)
        if self._window is None:
            return
        if is_served:
            self._window.note_served(self.limit)
        elif reply.failure is not None and reply.failure.code is ErrorCode.OVERLOADED:
            self._window.note_refused(self._clock())
        self._serve_waiters()

    def _settle(self, connection: DatabaseConnection | None, held_seconds: float) -> None:
        if connection is not None and connection.charge is not None:
            self._waits.settle(connection.charge, held_seconds)
            self.slot_use.note(connection.caller, held_seconds)

    def release(self, connection: DatabaseConnection) -> None:
        """Takes a connection back; one of unknown state is closed, never given out again."""
        self.in_use -= 1
        self._lent.discard(connection)
        self._rates.note_lent(self._clock() - connection.lent_at)
        connection.is_single = False
        if self.retired or self.size >= self.limit or not self._is_reusable(connection):
            connection.close()
        else:
            self._idle.add(connection)
        self._serve_waiters()

    def trim(self) -> None:
        """Closes connections that have been idle for a while, the longest idle first."""
        self._idle.trim()

    def renew(self, window: SlotWindow | None = None) -> None:
        """The way to the database is another one: connections of the old way are closed."""
        self._openings.generation += 1
        self._window = window
        self._openings.forget_failure()
        self.close_idle()

    def retire(self) -> None:
        """Gives out no more connections; those in use end when they come back."""
        self.retired = True
        self._idle.close_all()
        self._deny_all(Denial.CLOSED)

    def forget_failure(self) -> None:
        """The way to the database has changed: it is tried again at once."""
        self._openings.forget_failure()

    def close_idle(self) -> None:
        """Closes the connections that are not in use: their state is in doubt."""
        self._idle.close_all()

    def _is_reusable(self, connection: DatabaseConnection) -> bool:
        if connection.closed or connection.unanswered or connection.is_retiring:
            return False
        return connection.generation == self._openings.generation

    def _serve_waiters(self) -> None:
        """Gives idle connections to who waits; one whose caller has none holds up no other."""
        self._waiters.refresh(self._clock())
        while self._idle and self._serve_first():
            pass
        if not self._waiters:
            self._waits.note_room()
        self._open_if_useful()

    def _serve_first(self) -> bool:
        """Serves the first that can be, False if none can."""
        without: set[str] = set()
        for waiter in self._waiters:
            if not self._has_room(waiter):
                return False
            if waiter.caller in without:
                continue
            connection = self._idle.take(waiter.caller, {})
            if connection is not None:
                self._give(connection, waiter)
                return True
            without.add(waiter.caller)
            if self._open_ahead(waiter.caller):
                return True
        return False

    def _open_ahead(self, caller: str) -> bool:
        """Opens a connection for a caller that others pass as it has none; True if it did.

        Else it would have none when its turn comes, and be passed for as long as others wait. At
        the limit it has one of a caller above its share, if it is below its own.
        """
        if not self._is_fair or not self._openings.may_open_ahead(caller):
            return False
        was_opening, self._is_opening_more = self._is_opening_more, True
        is_free = self.size < self.limit or self._make_room(caller)
        has_room = is_free or self._end(self._shares().above(caller))
        if has_room:
            self._openings.open(caller)
        self._is_opening_more = was_opening
        return has_room

    def _shares(self) -> ConnectionShares:
        waiting = {waiter.caller for waiter in self._waiters.everyone()}
        opening = self._openings.by_caller
        return ConnectionShares(self.limit, self._idle, self._lent, opening, waiting)

    def _has_room(self, waiter: Waiter) -> bool:
        if self._window is None or waiter.demand is Demand.OWN:
            return True
        return self._window.allows(self.running)

    def _give(self, connection: DatabaseConnection, waiter: Waiter) -> None:
        self.in_use += 1
        self._lent.add(connection)
        connection.charge = self._waits.give(waiter)
        connection.lent_at = self._clock()
        connection.is_single = waiter.demand is Demand.SINGLE
        connection.priority = waiter.priority
        waiter.given(connection)

    def _open_if_useful(self) -> None:
        if self._is_opening_more:
            return
        self._is_opening_more = True
        asked: Counter[str] = Counter()
        for caller in self._wanted():
            asked[caller] += 1
            if self._openings.by_caller[caller] >= asked[caller] or self.is_unreachable:
                continue
            if self.size < self.limit or self._make_room(caller):
                self._openings.open(caller)
        self._is_opening_more = False

    def _wanted(self) -> Sequence[str]:
        """For whom connections are wanted, a caller for each; who comes first is first."""
        room = math.inf if self._window is None else self._window.room(self.running)
        servable = servable_callers(self._waiters, room)
        if self._is_fair and len(set(servable)) > 1:
            return self._shares().in_order(servable)
        return list(Counter(servable).elements())

    def _make_room(self, caller: str) -> bool:
        """Closes an idle connection of another caller that waits for nothing."""
        return self._end(self._shares().unused(caller, self._is_fair))

    def _end(self, connection: DatabaseConnection | None) -> bool:
        if connection is None:
            return False
        self._idle.discard(connection)
        connection.close()
        return True

    def _opened(self, connection: DatabaseConnection, seconds: float) -> None:
        self._rates.note_opening(seconds)
        if self.retired or connection.generation != self._openings.generation:
            connection.close()
            self._open_if_useful()
            return
        self._openings.forget_failure()
        self._idle.add(connection)
        self._serve_waiters()

    def _failed(self) -> None:
        if self._is_cut_off:
            self._deny_all(Denial.UNREACHABLE)

    def _closed(self, connection: DatabaseConnection) -> None:
        self._idle.discard(connection)
        self._open_if_useful()

    def _deny_all(self, denial: Denial) -> None:
        for waiter in self._waiters.drain():
            waiter.deny(denial)
