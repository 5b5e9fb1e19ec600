"""Detects from the traffic on a link whether the connection holder at its other end is alive.

A connection holder is a process that holds database connections for others.

Any byte received is a sign of life. While a reply is outstanding and nothing has arrived for
`ping_after`, a ping is sent. If no sign of life follows in time, the holder is first suspected and
then silent; after `LOST_AFTER_SECONDS` of silence the link is closed. A health check that runs
late, because this process itself was stalled, draws no conclusion.

No new statement is sent to a holder that is suspected or silent. Only a probe (the pending ping, or
a dial after the link was lost) can find that it is usable again, never a client's statement. A slow
database is not a silent holder, because its holder still answers pings; databases are judged by
`databases/database_silence` and `databases/answer_watch`.
"""

import math
from collections.abc import Callable
from enum import StrEnum

import msgspec

from dewledge.core.shared.service_rate import TypicalMaxTime

MIN_LONG_STALL_SECONDS = 0.4
"""If a check is late by more than this, this process was stalled, and the measurement of silence
restarts."""
MAX_CHECK_DELAY_SECONDS = 0.03
"""A check that is late by more than this draws no conclusion, since received bytes may still be
unread; the delay does not count as silence."""
RECHECK_DELAY_SECONDS = 0.05
"""Delay until the check after a late one: time to read what has arrived."""
LOST_AFTER_SECONDS = 1.2
"""A link that is silent for this time is closed, and the results of its statements are unknown.
Longer than the time to silence under any `HolderRules`."""
MIN_CHECK_INTERVAL_SECONDS = 0.001
"""Minimum delay between two checks: the resolution of timers."""
MIN_PAUSE_RATIO = 0.75
"""Lower end of the range from which the pause between two dials is drawn, relative to the nominal
pause."""
PAUSE_JITTER_RATIO = 0.5
"""Width of that range, relative to the nominal pause. Random pauses prevent that many processes
dial a holder at the same time."""
ROUND_TRIP_SMOOTHING_RATIO = 0.2
"""Weight of each round-trip sample in the moving average."""


class HolderRules(msgspec.Struct, frozen=True):
    """When a holder is judged silent and how it is probed; times in seconds.

    Attributes:
        ping_after: Silence with a reply outstanding after which a ping is sent; longer than most
            statements.
        round_trips: Timeout of a ping or dial, in multiples of the usual round trip.
        least_timeout: Lower bound of that timeout, for scheduling delays of slow machines.
        longest_timeout: Upper bound of that timeout, so that a statement with a timeout of 0.8 s
            has most of it left for another holder.
        silent_timeouts: Timeouts without a sign of life after which a suspected holder is silent.
        is_probed: Whether a lost holder must answer a dial before a statement is sent to it.
        first_pause: Pause after the first failed dial.
        longest_pause: Upper bound of the pause: short compared with the timeout of most operations,
            and long enough to bound the dial rate of hundreds of processes.
        pause_growth: Factor by which the pause grows with each failure; 0 adds `first_pause` each
            time.
    """

    ping_after: float = 0.1
    round_trips: float = 3.0
    least_timeout: float = 0.1
    longest_timeout: float = 0.2
    silent_timeouts: float = 2.0
    is_probed: bool = True
    first_pause: float = 0.25
    longest_pause: float = 2.0
    pause_growth: float = 2.0


WITHOUT_PROBES = HolderRules(0.25, 0.0, 0.25, 0.25, 1.0, False, 0.5, 4.0, 0.0)
"""Rules for `[load] silent_holders = false`: a holder is silent after half a second, and a lost one
is tried again by the next statement after a pause."""


class HolderState(StrEnum):
    """Whether statements may be sent to a connection holder.

    Attributes:
        USABLE: New statements may be sent.
        SUSPECTED: A ping or dial has been unanswered for longer than its timeout.
        SILENT: It has been unanswered for `HolderRules.silent_timeouts` timeouts, or the link is
            lost.
    """

    USABLE = "usable"
    SUSPECTED = "doubted"
    SILENT = "silent"


class CheckResult(msgspec.Struct, frozen=True):
    """The result of a health check.

    Attributes:
        sends_ping: Whether to send a ping now.
        is_lost: Whether to close the link.
        again: Seconds until the next check, None if no reply is outstanding.
    """

    sends_ping: bool = False
    is_lost: bool = False
    again: float | None = None


class HolderHealth:
    """The health of a connection holder, judged by its link; times of the steady clock in
    seconds."""

    def __init__(self, rules: HolderRules, jitter: Callable[[], float]) -> None:
        """Starts as usable. `jitter` returns numbers in [0, 1] that spread the dials of many
        processes."""
        self._rules = rules
        self._jitter = jitter
        self._round_trip = TypicalMaxTime(ROUND_TRIP_SMOOTHING_RATIO)
        self.state = HolderState.USABLE
        self.state_since = 0.0
        """When the current state began."""
        self.outstanding_replies = 0
        """The number of replies that are outstanding."""
        self._outstanding_since = 0.0
        self._last_received_at = -math.inf
        self._probe_sent_at: float | None = None
        """When the ping or dial that is still unanswered was sent."""
        self._next_check_at: float | None = None
        self._failures = 0
        self._next_dial_at = -math.inf

    @property
    def last_received_at(self) -> float:
        """When the last sign of life was received."""
        return self._last_received_at

    @property
    def usual_round_trip(self) -> float:
        """The usual time until a sign of life, 0 before the first sample."""
        return self._round_trip.seconds

    @property
    def probe_timeout(self) -> float:
        """The time that the answer to a ping or dial may take."""
        rules = self._rules
        usual = self._round_trip.seconds
        if usual == 0.0:
            return rules.longest_timeout
        return min(max(rules.round_trips * usual, rules.least_timeout), rules.longest_timeout)

    def silence_seconds(self, now: float) -> float:
        """Returns for how many seconds a reply has been awaited without any sign of life; 0 if none
        is awaited."""
        if not self._awaits_reply:
            return 0.0
        probe_sent = math.inf if self._probe_sent_at is None else self._probe_sent_at
        outstanding = self._outstanding_since if self.outstanding_replies else math.inf
        return max(now - max(self._last_received_at, min(probe_sent, outstanding)), 0.0)

    def is_usable(self, now: float) -> bool:
        """Tells whether new statements may be sent."""
        if self._rules.is_probed:
            return self.state is HolderState.USABLE
        return self.state is HolderState.USABLE and now >= self._next_dial_at

    def may_probe(self, now: float) -> bool:
        """Tells whether to dial the holder only to find out whether it answers."""
        is_silent = self.state is not HolderState.USABLE
        return self._rules.is_probed and is_silent and now >= self._next_dial_at

    def on_dial(self, now: float) -> float | None:
        """Records that a dial began.

        Returns the delay until the first check, None if the rules do not use probes.
        """
        if not self._rules.is_probed:
            return None
        self._probe_sent_at = now
        return self._schedule_check(now, self.probe_timeout)

    def on_opened(self, now: float) -> None:
        """Records that the link was opened, which is a sign of life."""
        if self._probe_sent_at is not None:
            self._round_trip.record(max(now - self._probe_sent_at, 0.0))
        self._probe_sent_at = None
        self._next_check_at = None
        self.outstanding_replies = 0
        self._failures = 0
        self._next_dial_at = -math.inf
        self.on_received(now)

    def on_ended(self, now: float, is_dial: bool) -> None:
        """Records that the link was lost or a dial failed.

        With probes, a lost link may be dialled again at once, and a failed dial is repeated after a
        pause. Without probes, the holder is dialled again after a pause in both cases.
        """
        self.outstanding_replies = 0
        self._probe_sent_at = None
        self._next_check_at = None
        if is_dial or not self._rules.is_probed:
            self._next_dial_at = now + self._dial_pause()
            self._failures += 1
        self._set_state(HolderState.SILENT if self._rules.is_probed else HolderState.USABLE, now)

    def on_sent(self, now: float) -> float | None:
        """Records a request; returns the delay until the first check, None if one is scheduled."""
        if self.outstanding_replies == 0:
            self._outstanding_since = now
        self.outstanding_replies += 1
        if self._next_check_at is not None:
            return None
        return self._schedule_check(now, self._rules.ping_after)

    def on_ping(self, now: float) -> float | None:
        """Records a ping sent without an outstanding reply.

        Returns the delay until its check, None if a ping or dial is unanswered already.
        """
        if self._probe_sent_at is not None:
            return None
        self._probe_sent_at = now
        return self._schedule_check(now, self.probe_timeout)

    def on_replies(self, count: int = 1) -> None:
        """Records replies that arrived or are no longer awaited."""
        self.outstanding_replies = max(self.outstanding_replies - count, 0)

    def on_received(self, now: float) -> None:
        """Records that bytes arrived."""
        self._last_received_at = now
        self._set_state(HolderState.USABLE, now)

    def on_pong(self, now: float) -> None:
        """Records the answer to a ping."""
        if self._probe_sent_at is not None:
            self._round_trip.record(max(now - self._probe_sent_at, 0.0))
            self._probe_sent_at = None

    def check(self, now: float) -> CheckResult:
        """Updates the state and returns what to do next."""
        delay = 0.0 if self._next_check_at is None else now - self._next_check_at
        self._next_check_at = None
        if not self._awaits_reply:
            return CheckResult()
        if delay > MAX_CHECK_DELAY_SECONDS:
            self._discount_stall(now, delay)
            return CheckResult(again=self._schedule_check(now, RECHECK_DELAY_SECONDS))
        silence = self.silence_seconds(now)
        if silence >= LOST_AFTER_SECONDS:
            return CheckResult(is_lost=True)
        if self._probe_sent_at is None:
            remaining = self._rules.ping_after - silence
            if remaining > 0:
                return CheckResult(again=self._schedule_check(now, remaining))
            self._probe_sent_at = now
            return CheckResult(sends_ping=True, again=self._schedule_check(now, self.probe_timeout))
        return CheckResult(
            again=self._schedule_check(now, self._judge_by_probe(now, self._probe_sent_at))
        )

    def _judge_by_probe(self, now: float, probe_sent_at: float) -> float:
        """Updates the state while a ping or dial is unanswered; returns the delay until the next
        check."""
        waited = now - max(probe_sent_at, self._last_received_at)
        until_suspected = self.probe_timeout - waited
        until_silent = self.probe_timeout * self._rules.silent_timeouts - waited
        if until_silent <= 0:
            self._set_state(HolderState.SILENT, now)
            return LOST_AFTER_SECONDS - self.silence_seconds(now)
        if until_suspected <= 0:
            if self.state is HolderState.USABLE:
                self._set_state(HolderState.SUSPECTED, now)
            return until_silent
        return until_suspected

    @property
    def _awaits_reply(self) -> bool:
        return self.outstanding_replies > 0 or self._probe_sent_at is not None

    def _schedule_check(self, now: float, seconds: float) -> float:
        delay = max(seconds, MIN_CHECK_INTERVAL_SECONDS)
        self._next_check_at = now + delay
        return delay

    def _discount_stall(self, now: float, delay: float) -> None:
        """Deducts a stall of this process from the silence of the holder."""
        if delay > MIN_LONG_STALL_SECONDS:
            self._outstanding_since = self._last_received_at = now
            self._probe_sent_at = None if self._probe_sent_at is None else now
            return
        self._outstanding_since = min(self._outstanding_since + delay, now)
        self._last_received_at = min(self._last_received_at + delay, now)
        if self._probe_sent_at is not None:
            self._probe_sent_at = min(self._probe_sent_at + delay, now)

    def _set_state(self, state: HolderState, now: float) -> None:
        if state is not self.state:
            self.state = state
            self.state_since = now

    def _dial_pause(self) -> float:
        rules = self._rules
        if rules.pause_growth == 0.0:
            return min(rules.first_pause * (self._failures + 1), rules.longest_pause)
        longest = math.log(rules.longest_pause / rules.first_pause, rules.pause_growth)
        pause: float = rules.first_pause * rules.pause_growth ** min(self._failures, longest)
        return pause * (MIN_PAUSE_RATIO + PAUSE_JITTER_RATIO * self._jitter())
