"""Whether a database to which this process holds connections has stopped answering: its silence.

Inputs: the statements that wait for an answer and the openings under way, each with the moment at
which it was sent or asked for; the last answer of any kind; the usual time of a statement there
(steady clock, seconds; own measurements of this process).
Decision: silent if something is awaited and no answer came for `SILENT_AFTER_SECONDS` or
`USUAL_FACTOR` usual times, `LONGEST_SECONDS` at most. Any answer ends it, a refusal too, so one
that is full or slow is not taken for silent.
What follows: nobody waits in this pool's queue; who comes is denied as for a database that can't be
reached, but for one in `PROBE_SPACING_SECONDS`; a load report tells a window of 0; the event
`DatabaseSilenceJudged`. Reason: the queue before it does not drain, while another database could
serve the statement or a new primary is being found.

Unlike `answer_watch` it judges for a whole pool and has statements moved on, but has no address
tested. It is not asked where other processes hold the connections; those are judged by
`load/holder_health`. Switched off by `[load] silent_databases`.
"""

import math
from collections.abc import Callable, Iterable

from dewledge.core.pooler.pool.database_connection import DatabaseConnection

SILENT_AFTER_SECONDS = 0.25
"""Seconds; something is awaited and no answer came for so long: some round trips between regions
and the work of the longest statements, as in `answer_watch`. """
USUAL_FACTOR = 3.0
"""Usual times of a statement; a database whose statements take longer than `SILENT_AFTER_SECONDS`
is silent after so many of them."""
LONGEST_SECONDS = 0.6
"""Seconds; the limit grows no further: most of a statement's time would be over, which is 0.8 s and
more."""
PROBE_SPACING_SECONDS = 0.25
"""Seconds; beside what is awaited one statement is let in so often, to show that the database is
back."""

SilenceCallback = Callable[[bool, float], None]
"""Takes whether the database is silent, and for how long it was taken for silent until now."""


def ignore_silence(_is_silent: bool, _seconds: float) -> None:
    """Nothing is told of silence."""


class DatabaseSilence:
    """Of one pool; times of the steady clock, in seconds."""

    def __init__(
        self,
        clock: Callable[[], float],
        is_judged: bool = True,
        changed: SilenceCallback = ignore_silence,
    ) -> None:
        """`is_judged`: else no database is ever taken for silent.

        changed: called when silence is found, and when it ends.
        """
        self._clock = clock
        self._is_judged = is_judged
        self._changed = changed
        self._heard_at = -math.inf
        self._probed_at = -math.inf
        self._found_at: float | None = None
        self._opening_since: list[float] = []
        """When each connection that is being opened was asked for."""

    def note_sign(self) -> None:
        """The database answered something."""
        now = self._clock()
        self._heard_at = now
        if self._found_at is not None:
            self._changed(False, now - self._found_at)
            self._found_at = None

    def opening_begins(self, at: float) -> None:
        """A connection is asked for."""
        self._opening_since.append(at)

    def opening_ends(self, began_at: float) -> None:
        """It was opened, or refused."""
        self._opening_since.remove(began_at)

    def begins_at(self, lent: Iterable[DatabaseConnection], usual_seconds: float) -> float:
        """Returns when it will be silent if no answer comes; infinite while none is awaited.

        lent: the connections in use. usual_seconds: of a statement. Of a transaction it is not
        known here since when its statement is awaited.
        """
        if not self._is_judged:
            return math.inf
        awaited = [each.lent_at for each in lent if each.is_single and each.unanswered]
        since = min([*awaited, *self._opening_since], default=math.inf)
        usual = max(usual_seconds * USUAL_FACTOR, SILENT_AFTER_SECONDS)
        return max(since, self._heard_at) + min(usual, LONGEST_SECONDS)

    def turns_away(self, begins_at: float) -> bool:
        """Tells whether statements are not to wait here. begins_at: as was returned now."""
        now = self._clock()
        if now < begins_at:
            return False
        if self._found_at is None:
            self._found_at = now
            self._changed(True, 0.0)
        return True

    def may_probe(self) -> bool:
        """Tells whether one that comes now is let in, and counts it as let in."""
        now = self._clock()
        if now < self._probed_at + PROBE_SPACING_SECONDS:
            return False
        self._probed_at = now
        return True
