"""One group as a gateway sees it: heartbeat, status requests, and results waiting for proof."""

from collections.abc import Callable, Mapping

from dewledge.core.proxy.configuration.resources import Confirmation
from dewledge.core.proxy.gateway.confirmation import Claim, RoundEvidence, Verdict, judge
from dewledge.core.proxy.gateway.context import GatewayContext, Timer
from dewledge.core.proxy.gateway.group_heartbeat import GroupHeartbeat
from dewledge.core.proxy.gateway.status_answers import StatusAnswers
from dewledge.core.proxy.gateway.status_cache import StatusCache
from dewledge.core.proxy.gateway.status_rounds import StatusRound, StatusRounds
from dewledge.core.proxy.jobs import StatusReading
from dewledge.core.proxy.messages import GroupStatusRequest
from dewledge.core.shared.service_rate import TypicalMaxTime
from dewledge.errors import ErrorCode

RETRY_GROWTH = 1.5
"""Factor from one pause between confirmation rounds to the next."""
SEARCH_GROWTH = 1.03
"""Factor from one pause between searches for a primary to the next: nearly even, since whoever
waits is served by the first search that finds one."""


class _Waiter:
    """A claim that waits, since `began_at`, for a round later than `after_round`."""

    __slots__ = ("after_round", "began_at", "claim", "on_verdict", "timer")

    def __init__(
        self,
        claim: Claim,
        after_round: int,
        on_verdict: Callable[[Verdict, float], None],
        began_at: float,
    ) -> None:
        self.began_at = began_at
        self.claim = claim
        self.after_round = after_round
        self.on_verdict = on_verdict
        self.timer: Timer | None = None


class GroupMonitor:
    """Watches one group. One round at a time serves everyone who waits for one."""

    def __init__(self, context: GatewayContext, group: str) -> None:
        self._context = context
        self._settings = context.settings
        self._group = group
        self._policy = Confirmation.MAJORITY_POSITION
        self._rounds = StatusRounds(context, group, self._on_reading, self._on_abandoned)
        self._waiters: dict[int, _Waiter] = {}
        self._latest: StatusRound | None = None
        self._seen: StatusRound | None = None
        self._on_answer: dict[str, Callable[[float], None]] = {}
        self._on_primary: dict[str, Callable[[str, int, float], None]] = {}
        self._last_waiter = 0
        self._retry_pause = 0.0
        self._search_pause = context.settings.no_primary_interval
        self._known_primary: str | None = None
        self._confirmation_time = TypicalMaxTime(context.settings.service_time_smoothing)
        self.statuses = StatusCache()
        self._status_answers = StatusAnswers(context, self.statuses)
        self._heartbeat = GroupHeartbeat(context, self._rounds, lambda: self.primary)

    @property
    def newest_round(self) -> int:
        """The id of the newest round; whoever must see a later one notes it."""
        return self._rounds.newest_round

    @property
    def waiting(self) -> int:
        """Results that wait for confirmation."""
        return len(self._waiters)

    @property
    def confirmation_time(self) -> float:
        """Seconds that the confirmation of a result usually takes at most, as measured here."""
        return self._confirmation_time.seconds

    @property
    def primary(self) -> str | None:
        """The primary that the latest statuses show, or None."""
        return self.statuses.primary(self._rounds.group_size)

    def configure(
        self,
        addresses: Mapping[str, str],
        policy: Confirmation,
        active: frozenset[str],
        now: float,
    ) -> None:
        """Sets the group's databases, and those of them whose active gateway this is."""
        self._rounds.configure(addresses)
        self.statuses.keep_only(addresses)
        self._policy = policy
        self._heartbeat.configure(active, now)

    def note_use(self, now: float) -> None:
        """Notes a request for this group, which makes its heartbeat the quicker one."""
        self._heartbeat.note_use(now)

    def request_round(self, now: float) -> None:
        """Asks for a round at once, which a result is going to need."""
        self._rounds.want(now)

    def look_again(self, now: float) -> None:
        """Asks for a round because something failed, or a peer wants to know."""
        self._rounds.want_at(self._rounds.last_started_at + self._settings.look_spacing, now)

    def handle_reading(self, round_id: int, reading: StatusReading, now: float) -> None:
        """Takes one reading of a round."""
        self._rounds.handle_reading(round_id, reading, now)

    def confirm(
        self,
        claim: Claim,
        after_round: int,
        deadline: float,
        on_verdict: Callable[[Verdict, float], None],
        now: float,
    ) -> None:
        """Calls `on_verdict(verdict, now)` once a round later than `after_round` proves the claim.

        The verdict is SUPERSEDED as soon as a later term is seen, EXPIRED at the deadline.
        """
        waiter = _Waiter(claim, after_round, on_verdict, now)
        if self._latest is not None and self._counts(waiter, self._latest, now):
            verdict = judge(claim, self._evidence(self._latest))
            if verdict is not Verdict.UNDECIDED:
                on_verdict(verdict, now)
                return
        self._last_waiter += 1
        number = self._last_waiter
        self._waiters[number] = waiter
        waiter.timer = self._context.call_at(deadline, lambda at: self._expire(number, at))
        if self._retry_pause == 0.0 and not self._rounds.in_flight_after(after_round):
            self._rounds.want(now)

    def write_refusal(self, database: str, now: float) -> ErrorCode | None:
        """Tells why a write on `database` could not be confirmed, from a recent round, or None.

        NOT_PRIMARY: another database is primary. NO_PRIMARY: no majority stands behind any.
        DATABASE_UNREACHABLE: none of the group answered, so it may be this proxy that is cut off.
        Sparing the database such a write spares the caller an unknown outcome.
        """
        if self._seen is None or now - self._seen.started_at > self._settings.status_cache_age:
            return None
        primary = self._seen.primary
        if primary == database:
            return None
        self.look_again(now)
        if not self._seen.statuses:
            return ErrorCode.DATABASE_UNREACHABLE
        return ErrorCode.NO_PRIMARY if primary is None else ErrorCode.NOT_PRIMARY

    def on_answer(self, database: str, callback: Callable[[float], None]) -> None:
        """Calls `callback(now)` whenever `database` answered a status round."""
        self._on_answer[database] = callback

    def on_primary(self, database: str, callback: Callable[[str, int, float], None]) -> None:
        """Calls `callback(primary, term, now)` whenever a round shows a primary; for `database`."""
        self._on_primary[database] = callback

    def answer_status(self, peer: str, message: GroupStatusRequest, now: float) -> None:
        """Answers from the cache if it will do, else after a round that starts from now on."""
        if not message.fresh and self._cache_is_recent(now):
            self._status_answers.send(peer, message, now)
            return
        self._status_answers.wait(peer, message, self.newest_round)
        self.look_again(now)

    def forget_peer(self, peer: str) -> None:
        """Drops the status requests of a peer that is gone."""
        self._status_answers.forget_peer(peer)

    def _on_reading(self, status_round: StatusRound, reading: StatusReading, now: float) -> None:
        self.statuses.note(reading.database, reading.status, status_round.started_at)
        if self._latest is None or status_round.round_id > self._latest.round_id:
            self._latest = status_round
        self._judge_waiters(status_round, now)
        if status_round.conclusive:
            self._note_conclusive(status_round, now)
        if reading.status is not None and reading.database in self._on_answer:
            self._on_answer[reading.database](now)
        self._plan_confirming_round(status_round, now)

    def _note_conclusive(self, status_round: StatusRound, now: float) -> None:
        is_newest = self._seen is None or status_round.round_id >= self._seen.round_id
        if is_newest and status_round.tells_primary:
            self._seen = status_round
        self._status_answers.round_ended(status_round.round_id, now)
        if (
            status_round.primary is None
            and self._heartbeat.is_active
            and self._heartbeat.in_use(now)
        ):
            self._rounds.want_at(now + self._next_search_pause(), now)
        self._note_primary(status_round.primary)
        if status_round.primary is not None:
            term = status_round.statuses[status_round.primary].term
            for callback in self._on_primary.values():
                callback(status_round.primary, term, now)

    def _on_abandoned(self, status_round: StatusRound, now: float) -> None:
        self._status_answers.round_ended(status_round.round_id, now)
        if self._waiters or self._status_answers:
            self._rounds.want(now)

    def _judge_waiters(self, status_round: StatusRound, now: float) -> None:
        if not self._waiters or self._is_too_old(status_round, now):
            return
        evidence = self._evidence(status_round)
        for number, waiter in list(self._waiters.items()):
            if number not in self._waiters or status_round.round_id <= waiter.after_round:
                continue
            verdict = judge(waiter.claim, evidence)
            if verdict is not Verdict.UNDECIDED:
                self._settle(number, verdict, now)

    def _settle(self, number: int, verdict: Verdict, now: float) -> None:
        waiter = self._waiters.pop(number)
        self._context.cancel(waiter.timer)
        self._retry_pause = 0.0
        if waiter.claim.write and verdict is Verdict.CONFIRMED:
            self._confirmation_time.record(now - waiter.began_at)
        waiter.on_verdict(verdict, now)

    def _counts(self, waiter: _Waiter, status_round: StatusRound, now: float) -> bool:
        """Tells whether a round began late enough, and lately enough, to prove anything."""
        if status_round.round_id <= waiter.after_round:
            return False
        return not self._is_too_old(status_round, now)

    def _is_too_old(self, status_round: StatusRound, now: float) -> bool:
        return now - status_round.started_at > self._settings.round_age_bound

    def _evidence(self, status_round: StatusRound) -> RoundEvidence:
        statuses = [
            status
            for name, status in status_round.statuses.items()
            if self._rounds.is_configured(name)
        ]
        return RoundEvidence(statuses, self._rounds.group_size, self._policy)

    def _expire(self, number: int, now: float) -> None:
        waiter = self._waiters.pop(number, None)
        if waiter is not None:
            waiter.on_verdict(Verdict.EXPIRED, now)

    def _plan_confirming_round(self, status_round: StatusRound, now: float) -> None:
        """Those the round came too early for get one at once, those it left open after a pause."""
        if not status_round.settled or status_round.round_id < self.newest_round:
            return
        if not self._waiters:
            self._retry_pause = 0.0
            if self._status_answers:
                self.look_again(now)
            return
        newest = next(reversed(self._waiters.values()))
        oldest = next(iter(self._waiters.values()))
        if oldest.after_round < status_round.round_id:
            self._plan_repeat(now)
        elif newest.after_round >= status_round.round_id:
            self._rounds.want(now)

    def _plan_repeat(self, now: float) -> None:
        grown = max(self._settings.confirmation_retry_min, self._retry_pause * RETRY_GROWTH)
        self._retry_pause = min(grown, self._settings.confirmation_retry_max)
        self._rounds.want_at(now + self._context.jittered(self._retry_pause), now)

    def _cache_is_recent(self, now: float) -> bool:
        if self._seen is None:
            return False
        return now - self._seen.started_at <= self._settings.status_cache_age

    def _note_primary(self, primary: str | None) -> None:
        if primary is not None:
            self._search_pause = self._settings.no_primary_interval
        if primary is None or primary == self._known_primary:
            return
        self._context.log(
            "primary_seen",
            group=self._group,
            primary=primary,
            term=self.statuses.term(primary),
            previous=self._known_primary,
        )
        self._known_primary = primary

    def _next_search_pause(self) -> float:
        """Draws the pause before the next look for a primary; it grows while there is none."""
        pause = self._search_pause
        grown = pause * SEARCH_GROWTH
        self._search_pause = min(grown, self._settings.heartbeat_interval)
        return self._context.jittered(pause)
