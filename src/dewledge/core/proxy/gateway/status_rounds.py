"""Status rounds of one group: when one starts, whom it asks, which readings belong to it.

Rounds overlap, so that a result which comes while one is on its way need not wait for its end:
up to `rounds_at_once`, evenly spaced over the time that a round usually takes. A round is settled
once a majority answered in the same term, or nobody is left to answer. A database that owes an
answer to a settled round is not asked again, so that one that does not answer has few reads
pending and not one per round.
"""

from collections.abc import Callable, Mapping

from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.proxy.effects import ReadStatuses
from dewledge.core.proxy.gateway.confirmation import highest_term, majority_of, primary_of
from dewledge.core.proxy.gateway.context import GatewayContext, Timer
from dewledge.core.proxy.jobs import StatusReading

ROUND_TIME_GAIN = 0.125
"""Weight of the newest round in the running mean of their durations."""


class StatusRound:
    """One round: who was asked, and what came back so far.

    primary: the primary that a majority stands behind, as far as the answers go; or one of a later
        term than any primary seen when the round began, which a majority must have elected.
    settled: complete, or a majority of the group answered in the highest term seen.
    """

    __slots__ = (
        "answered",
        "asked",
        "group_size",
        "primary",
        "round_id",
        "settled",
        "started_at",
        "statuses",
        "primary_term_before",
        "timer",
    )

    def __init__(
        self,
        round_id: int,
        started_at: float,
        asked: frozenset[str],
        group_size: int,
        primary_term_before: int,
    ) -> None:
        self.round_id = round_id
        self.started_at = started_at
        self.asked = asked
        self.group_size = group_size
        self.primary_term_before = primary_term_before
        self.answered: set[str] = set()
        self.statuses: dict[str, DatabaseStatus] = {}
        self.primary: str | None = None
        self.settled = False
        self.timer: Timer | None = None

    def note(self, database: str, status: DatabaseStatus | None) -> None:
        """Takes in one answer, None for none."""
        self.answered.add(database)
        if status is not None:
            self.statuses[database] = status
        known = self.statuses.values()
        term = highest_term(known)
        in_term = sum(1 for item in known if item.term == term)
        has_majority = in_term >= majority_of(self.group_size)
        self.primary = primary_of(known, self.group_size) if has_majority else self._elected()
        self.settled = self.complete or has_majority

    def _elected(self) -> str | None:
        newest = max(self.statuses.values(), key=lambda item: item.term, default=None)
        if newest is None or newest.term <= self.primary_term_before:
            return None
        return newest.database if newest.role is DatabaseRole.PRIMARY else None

    @property
    def complete(self) -> bool:
        """Everyone asked has answered or timed out."""
        return len(self.answered) == len(self.asked)

    @property
    def conclusive(self) -> bool:
        """Complete, or it shows a primary."""
        return self.complete or self.primary is not None

    @property
    def tells_primary(self) -> bool:
        """It shows a primary, or that there is none, having asked every database."""
        everyone = len(self.asked) == self.group_size
        return self.primary is not None or (self.complete and everyone)


class StatusRounds:
    """Starts the rounds of one group; `on_reading(round, reading, now)` gets each reading."""

    def __init__(
        self,
        context: GatewayContext,
        group: str,
        on_reading: Callable[[StatusRound, StatusReading, float], None],
        on_abandoned: Callable[[StatusRound, float], None],
    ) -> None:
        self._context = context
        self._group = group
        self._on_reading = on_reading
        self._on_abandoned = on_abandoned
        self._addresses: dict[str, str] = {}
        self._rounds: dict[int, StatusRound] = {}
        self._outstanding: dict[str, set[int]] = {}
        self._unsettled: dict[int, StatusRound] = {}
        self._round_time = 0.0
        self._primary_term = 0
        self._start_timer: Timer | None = None
        self._start_at = 0.0
        self._wanted = False
        self.newest_round = 0
        self.last_started_at = float("-inf")

    @property
    def group_size(self) -> int:
        """The number of databases configured for the group."""
        return len(self._addresses)

    def configure(self, addresses: Mapping[str, str]) -> None:
        """Sets the group's databases, drained ones too."""
        self._addresses = dict(addresses)

    def in_flight_after(self, round_id: int) -> bool:
        """Tells whether a round later than `round_id` still waits for answers."""
        return any(unsettled > round_id for unsettled in self._unsettled)

    def is_configured(self, database: str) -> bool:
        """Tells whether a database belongs to the group."""
        return database in self._addresses

    def want(self, now: float) -> None:
        """Starts a round now, or as soon as those in flight and the spacing allow."""
        self._wanted = True
        self._start_if_allowed(now)

    def want_at(self, when: float, now: float) -> None:
        """Starts a round at `when` at the latest."""
        if self._start_timer is not None:
            if self._start_at <= when:
                return
            self._context.cancel(self._start_timer)
        if when <= now:
            self._start_timer = None
            self.want(now)
            return
        self._start_at = when
        self._start_timer = self._context.call_at(when, self._start_timer_due)

    def handle_reading(self, round_id: int, reading: StatusReading, now: float) -> None:
        """Takes a reading; doubled, late, foreign and mislabelled ones are dropped."""
        status_round = self._rounds.get(round_id)
        if status_round is None or reading.database not in status_round.asked:
            return
        if reading.database in status_round.answered:
            return
        if now - status_round.started_at > self._context.settings.round_age_bound:
            self._abandon(status_round, now)
            return
        reading = self._checked(reading)
        status = reading.status if self.is_configured(reading.database) else None
        status_round.note(reading.database, status)
        if status is not None and status.role is DatabaseRole.PRIMARY:
            self._primary_term = max(self._primary_term, status.term)
        self._note_answered(reading.database, round_id)
        if status_round.complete:
            self._forget(status_round)
        self._on_reading(status_round, reading, now)
        if status_round.settled and self._unsettled.pop(round_id, None) is not None:
            self._learn_round_time(now - status_round.started_at)
        if self._wanted:
            self._start_if_allowed(now)

    def _checked(self, reading: StatusReading) -> StatusReading:
        """Turns a status that another database gave of itself into no answer."""
        if reading.status is None or reading.status.database == reading.database:
            return reading
        self._context.log(
            "status_of_other_database", expected=reading.database, found=reading.status.database
        )
        return StatusReading(reading.database, None)

    def _start_timer_due(self, now: float) -> None:
        self._start_timer = None
        self.want(now)

    def _start_if_allowed(self, now: float) -> None:
        if len(self._unsettled) >= self._context.settings.rounds_at_once:
            return
        asked = [name for name in self._addresses if self._may_ask(name)]
        if not asked:
            return
        allowed_at = self.last_started_at + self._spacing()
        if now < allowed_at:
            self.want_at(allowed_at, now)
            return
        self._start(asked, now)

    def _may_ask(self, database: str) -> bool:
        pending = self._outstanding.get(database, ())
        return all(round_id in self._unsettled for round_id in pending)

    def _spacing(self) -> float:
        """Spreads the rounds evenly: of a burst, the last should not wait for a whole round."""
        settings = self._context.settings
        if not self._unsettled:
            return settings.round_spacing
        return max(settings.round_spacing, self._round_time / settings.rounds_at_once)

    def _learn_round_time(self, duration: float) -> None:
        if self._round_time == 0.0:
            self._round_time = duration
        self._round_time += ROUND_TIME_GAIN * (duration - self._round_time)

    def _note_answered(self, database: str, round_id: int) -> None:
        self._outstanding.get(database, set()).discard(round_id)

    def _start(self, asked: list[str], now: float) -> None:
        self._wanted = False
        self._context.cancel(self._start_timer)
        self._start_timer = None
        settings = self._context.settings
        round_id = self._context.next_id()
        status_round = StatusRound(
            round_id, now, frozenset(asked), self.group_size, self._primary_term
        )
        status_round.timer = self._context.call_at(
            now + settings.round_age_bound, lambda at: self._abandon(status_round, at)
        )
        self._rounds[round_id] = status_round
        for name in asked:
            self._outstanding.setdefault(name, set()).add(round_id)
        self._unsettled[round_id] = status_round
        self.newest_round = round_id
        self.last_started_at = now
        addresses = tuple(self._addresses[name] for name in asked)
        self._context.round_owners[round_id] = self
        self._context.emit(
            ReadStatuses(round_id, self._group, tuple(asked), addresses, settings.status_timeout)
        )

    def _abandon(self, status_round: StatusRound, now: float) -> None:
        self._forget(status_round)
        self._unsettled.pop(status_round.round_id, None)
        self._on_abandoned(status_round, now)
        if self._wanted:
            self._start_if_allowed(now)

    def _forget(self, status_round: StatusRound) -> None:
        self._context.cancel(status_round.timer)
        self._rounds.pop(status_round.round_id, None)
        self._context.round_owners.pop(status_round.round_id, None)
        for database in status_round.asked:
            self._note_answered(database, status_round.round_id)
