"""Whether a process that holds connections to databases answers, judged by its link alone.

Inputs: the moments at which bytes came from it, at which an answer, a ping or a dial became due
(steady clock, seconds), and its usual round trip, measured by pings and dials of this process.
Decision: any byte is a sign of life. While an answer is due and nothing came for `ping_after`, a
ping goes out; without an answer in time the holder is doubted, later silent, after
`LOST_AFTER_SECONDS` the link is given up. A look that comes late, because this process itself stood
still, judges nothing.
What follows: while it is doubted or silent nothing new goes there but a probe (the ping that is
due, or a dial after the link was lost), and only a probe, never a client's statement, finds out
that it is there again. The event is `HolderJudged`. One verdict serves all statements on the link.

A late answer of a database says nothing here, since the holder answers a ping meanwhile: databases
are judged by `databases/database_silence` in the process that holds the connections, and by
`databases/answer_watch`. Switched off by `[load] silent_holders` (`WITHOUT_PROBES`).
"""

import math
from collections.abc import Callable
from enum import StrEnum

import msgspec

from dewledge.core.shared.service_rate import UsualTime

HELD_UP_SECONDS = 0.4
"""Seconds; a look that comes so late shows that this process itself stood still: silence counts
anew."""
LATE_SECONDS = 0.03
"""Seconds; a look that comes later than this judges nothing, since what came meanwhile may not be
read yet; the time by which it is late does not count as silence."""
LATE_LOOK_SECONDS = 0.05
"""Seconds until the look after a late one: time to read what has come."""
LOST_AFTER_SECONDS = 1.2
"""Seconds; a link that is silent for so long is given up, and what is on it is in doubt. Longer
than the doubt and silence of any rules."""
LEAST_LOOK_SECONDS = 0.001
"""Seconds between two looks at least: a timer is no more exact."""
LEAST_PAUSE_SHARE = 0.75
"""Ratio; share of a pause between two dials that is kept at least, so that processes spread their
dials."""
PAUSE_SPREAD = 0.5
"""Ratio; share of a pause by which it varies at random: a quarter either way."""
SMOOTHING = 0.2
"""Ratio; share of each measured round trip in the usual one: half of the mean is of the last
three."""


class HolderRules(msgspec.Struct, frozen=True):
    """When a holder is doubted, and how it is tried again; times in seconds.

    ping_after: quiet while an answer is due, then a ping goes out: longer than most statements.
    round_trips: usual ones that a sign of life may take. least_timeout, longest_timeout: bounds
    of that: the least for the scheduling of slow machines, the longest so that a statement with a
    timeout of 0.8 s, or a target of 0.6 s, has most of its time left for another holder.
    silent_timeouts: so many of them without a sign of life make a doubted holder a silent one.
    is_probed: whether a lost holder must answer a dial before a statement goes there.
    first_pause, longest_pause: between dials that fail; the longest is half of what most callers
    have for an operation, and 850 processes that miss one then dial it 400 times a second in all.
    pause_growth: the factor by which pauses grow; 0 has them grow by `first_pause` each time.
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
"""Times in seconds, as they were before holders were judged by probes: silent after half a second,
and lost ones are tried again by the next statement after a pause."""


class HolderState(StrEnum):
    """USABLE: takes what is new. DOUBTED: its sign of life is late. SILENT: far too late."""

    USABLE = "usable"
    DOUBTED = "doubted"
    SILENT = "silent"


class Look(msgspec.Struct, frozen=True):
    """What follows from a look. again: seconds until the next one, None if nothing is due."""

    sends_ping: bool = False
    is_lost: bool = False
    again: float | None = None


class HolderHealth:
    """What all statements on one link know of its other end; times of the steady clock, seconds."""

    def __init__(self, rules: HolderRules, jitter: Callable[[], float]) -> None:
        """`jitter`: numbers from 0 to 1 that spread the probes of many processes."""
        self._rules = rules
        self._jitter = jitter
        self._round_trip = UsualTime(SMOOTHING)
        self.state = HolderState.USABLE
        self.since = 0.0
        """When the state began."""
        self.due = 0
        """The answers that are awaited."""
        self._due_since = 0.0
        self._heard_at = -math.inf
        self._asked_at: float | None = None
        """When the ping or dial went out that has no answer."""
        self._next_look: float | None = None
        self._failures = 0
        self._not_before = -math.inf

    @property
    def heard_at(self) -> float:
        """When the last sign of life came."""
        return self._heard_at

    @property
    def usual_round_trip(self) -> float:
        """The usual time of a sign of life, 0 while none was measured."""
        return self._round_trip.seconds

    @property
    def sign_timeout(self) -> float:
        """How long a sign of life may take that was asked for."""
        rules = self._rules
        usual = self._round_trip.seconds
        if usual == 0.0:
            return rules.longest_timeout
        return min(max(rules.round_trips * usual, rules.least_timeout), rules.longest_timeout)

    def silence(self, now: float) -> float:
        """Returns the seconds without a sign of life while one is due, 0 if none is."""
        if not self._is_awaiting:
            return 0.0
        asked = math.inf if self._asked_at is None else self._asked_at
        due = self._due_since if self.due else math.inf
        return max(now - max(self._heard_at, min(asked, due)), 0.0)

    def is_usable(self, now: float) -> bool:
        """Whether something new may begin."""
        if self._rules.is_probed:
            return self.state is HolderState.USABLE
        return self.state is HolderState.USABLE and now >= self._not_before

    def may_probe(self, now: float) -> bool:
        """Whether a dial may be made only to see whether the holder is there."""
        is_silent = self.state is not HolderState.USABLE
        return self._rules.is_probed and is_silent and now >= self._not_before

    def dialled(self, now: float) -> float | None:
        """A dial goes out; returns the seconds until the next look, None if its limit is enough."""
        if not self._rules.is_probed:
            return None
        self._asked_at = now
        return self._plan(now, self.sign_timeout)

    def opened(self, now: float) -> None:
        """The link stands: a sign of life."""
        if self._asked_at is not None:
            self._round_trip.note(max(now - self._asked_at, 0.0))
        self._asked_at = None
        self._next_look = None
        self.due = 0
        self._failures = 0
        self._not_before = -math.inf
        self.heard(now)

    def ended(self, now: float, is_dial: bool) -> None:
        """The link was lost, or a dial failed; after a loss the first probe need not wait."""
        self.due = 0
        self._asked_at = None
        self._next_look = None
        if is_dial or not self._rules.is_probed:
            self._not_before = now + self._pause()
            self._failures += 1
        self._enter(HolderState.SILENT if self._rules.is_probed else HolderState.USABLE, now)

    def sent(self, now: float) -> float | None:
        """An answer is due from now on; returns the seconds to the first look, None if planned."""
        if self.due == 0:
            self._due_since = now
        self.due += 1
        if self._next_look is not None:
            return None
        return self._plan(now, self._rules.ping_after)

    def answered(self, count: int = 1) -> None:
        """So many answers have come, or are not awaited any more."""
        self.due = max(self.due - count, 0)

    def heard(self, now: float) -> None:
        """Bytes came: the holder is there."""
        self._heard_at = now
        self._enter(HolderState.USABLE, now)

    def ponged(self, now: float) -> None:
        """The answer to the ping came."""
        if self._asked_at is not None:
            self._round_trip.note(max(now - self._asked_at, 0.0))
            self._asked_at = None

    def look(self, now: float) -> Look:
        """Judges the holder now."""
        late = 0.0 if self._next_look is None else now - self._next_look
        self._next_look = None
        if not self._is_awaiting:
            return Look()
        if late > LATE_SECONDS:
            self._forgive(now, late)
            return Look(again=self._plan(now, LATE_LOOK_SECONDS))
        silence = self.silence(now)
        if silence >= LOST_AFTER_SECONDS:
            return Look(is_lost=True)
        if self._asked_at is None:
            remaining = self._rules.ping_after - silence
            if remaining > 0:
                return Look(again=self._plan(now, remaining))
            self._asked_at = now
            return Look(sends_ping=True, again=self._plan(now, self.sign_timeout))
        return Look(again=self._plan(now, self._judge(now, self._asked_at)))

    def _judge(self, now: float, asked_at: float) -> float:
        """Judges by a ping or dial without an answer; returns the seconds until the next look."""
        waited = now - max(asked_at, self._heard_at)
        until_doubt = self.sign_timeout - waited
        until_silence = self.sign_timeout * self._rules.silent_timeouts - waited
        if until_silence <= 0:
            self._enter(HolderState.SILENT, now)
            return LOST_AFTER_SECONDS - self.silence(now)
        if until_doubt <= 0:
            if self.state is HolderState.USABLE:
                self._enter(HolderState.DOUBTED, now)
            return until_silence
        return until_doubt

    @property
    def _is_awaiting(self) -> bool:
        return self.due > 0 or self._asked_at is not None

    def _plan(self, now: float, seconds: float) -> float:
        delay = max(seconds, LEAST_LOOK_SECONDS)
        self._next_look = now + delay
        return delay

    def _forgive(self, now: float, late: float) -> None:
        """This process stood still for a while, which is no silence of the other."""
        if late > HELD_UP_SECONDS:
            self._due_since = self._heard_at = now
            self._asked_at = None if self._asked_at is None else now
            return
        self._due_since = min(self._due_since + late, now)
        self._heard_at = min(self._heard_at + late, now)
        if self._asked_at is not None:
            self._asked_at = min(self._asked_at + late, now)

    def _enter(self, state: HolderState, now: float) -> None:
        if state is not self.state:
            self.state = state
            self.since = now

    def _pause(self) -> float:
        rules = self._rules
        if rules.pause_growth == 0.0:
            return min(rules.first_pause * (self._failures + 1), rules.longest_pause)
        longest = math.log(rules.longest_pause / rules.first_pause, rules.pause_growth)
        pause: float = rules.first_pause * rules.pause_growth ** min(self._failures, longest)
        return pause * (LEAST_PAUSE_SHARE + PAUSE_SPREAD * self._jitter())
