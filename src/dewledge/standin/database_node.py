"""One database of the group model: its role, term, log, data and faults."""

from random import Random

from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.shared.positions import LogPosition, TermStart
from dewledge.standin.checkpoints import Checkpoint, Checkpoints
from dewledge.standin.group_log import FIRST_TERM, GroupLog
from dewledge.standin.group_messages import GroupMessage
from dewledge.standin.group_types import GroupTiming, ModelDatabase
from dewledge.standin.sqlite_state import SqliteState

REPORTED_TERM_STARTS = 16


class DatabaseFaults:
    """The faults in force on one database. Lags are in seconds."""

    def __init__(self) -> None:
        self.frozen = False
        self.down = False
        self.cut_off = False
        self.cut_off_from_callers = False
        self.receive_lag = 0.0
        self.apply_lag = 0.0
        self.answers_to_lose = 0

    @property
    def halted(self) -> bool:
        """Tells whether the database does nothing at all."""
        return self.frozen or self.down

    @property
    def hidden(self) -> bool:
        """Tells whether callers get no answer from it, although it may be running."""
        return self.frozen or self.cut_off_from_callers


class DatabaseNode:
    """A database's own state; `election` and `replication` work on it."""

    def __init__(self, description: ModelDatabase, timing: GroupTiming, random: Random) -> None:
        self.description = description
        self.timing = timing
        self.faults = DatabaseFaults()
        self.role = DatabaseRole.REPLICA
        self.term = FIRST_TERM
        self.voted_for: str | None = None
        self.votes: set[str] = set()
        self.last_heartbeat = 0.0
        self.election_deadline = 0.0
        self.log = GroupLog()
        self.state = SqliteState()
        self.applied_length = 0
        self.sent_lengths: dict[str, int] = {}
        self.waiting_messages: list[GroupMessage] = []
        self._known_term_starts: tuple[TermStart, ...] = ()
        self._checkpoints = Checkpoints()
        self._random = random

    @property
    def name(self) -> str:
        """Returns the database's name."""
        return self.description.name

    @property
    def is_primary(self) -> bool:
        """Tells whether it believes itself primary."""
        return self.role is DatabaseRole.PRIMARY

    @property
    def applied(self) -> LogPosition:
        """Returns the position that a read shows."""
        return self.log.position_at(self.applied_length)

    def heard_from_primary(self, now: float) -> None:
        """Puts off the next election."""
        self.last_heartbeat = now
        self.delay_election(now)

    def delay_election(self, now: float) -> None:
        """Sets a new random time at which it seeks election."""
        patience = self.timing.election_timeout * (1.0 + self._random.random())
        self.election_deadline = now + patience

    def learn_term_starts(self, term_starts: tuple[TermStart, ...]) -> None:
        """Keeps what a primary says of the terms, even before its log has arrived."""
        self._known_term_starts = term_starts

    def status(self) -> DatabaseStatus:
        """Returns what the database says of itself."""
        known = sorted({*self._known_term_starts, *self.log.term_starts})
        return DatabaseStatus(
            database=self.name,
            role=self.role,
            term=self.term,
            received=self.log.position,
            applied=self.applied,
            term_starts=tuple(known[-REPORTED_TERM_STARTS:]),
        )

    def apply_up_to(self, length: int) -> None:
        """Applies received entries, as far as there are any."""
        for entry in self.log.entries[self.applied_length : length]:
            self.state.apply(entry.statements)
            self.count_applied()

    def count_applied(self) -> None:
        """Notes that the data now shows one more entry of the log."""
        self.applied_length += 1
        if self._checkpoints.is_due(self.applied_length):
            self._checkpoints.add(Checkpoint(self.applied_length, self.state.copy()))

    def undo_down_to(self, length: int) -> None:
        """Rebuilds the data from the log, when entries already applied were dropped."""
        if self.applied_length <= length:
            return
        self.rebuild(length)

    def rebuild(self, length: int) -> None:
        """Builds the data anew from the first `length` entries of the log."""
        checkpoint = self._checkpoints.newest_up_to(length)
        self.state.close()
        self.state = SqliteState()
        self.applied_length = 0
        if checkpoint is not None:
            self.state.restore(checkpoint.data)
            self.applied_length = checkpoint.length
        self.apply_up_to(length)
