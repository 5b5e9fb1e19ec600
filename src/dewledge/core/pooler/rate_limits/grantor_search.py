"""Since when operations look for a grantor in one slot, and for how long they may go on.

Inputs: when operations waited for a grantor and whether one was found (own steady clock, seconds).
Decision: whether the slot's candidates are asked though no operation asks just now, and until when
an operation may wait for the first grantor. Reason: who is refused comes back, so the search goes
on for a moment; but operations that come while there is no grantor at all must not each wait anew.
"""

import math

SEARCH_SECONDS = 1.0
"""Seconds for which a grantor is looked for after an operation waited for one, since who is refused
comes back."""


class GrantorSearch:
    """Of one slot at one process."""

    def __init__(self, began_at: float, has_vote: bool) -> None:
        self._began_at = began_at
        self._has_vote = has_vote
        self._has_found_grantor = False
        self._searching_since = math.inf
        """Since when operations look for a grantor."""
        self._last_waiting_at = -math.inf
        """When an operation waited for a grantor last."""

    def record_waiting_operation(self, now: float) -> None:
        """An operation waits for a grantor."""
        if not self.needs_polling(now) or self._searching_since == math.inf:
            self._searching_since = now
        self._last_waiting_at = now

    def record_found(self) -> None:
        """A grantor was found."""
        self._has_found_grantor = True
        self._searching_since = math.inf

    def needs_polling(self, now: float) -> bool:
        """Tells whether the candidate is to be asked although no operation asks for a token."""
        return self._has_vote or now < self._last_waiting_at + SEARCH_SECONDS

    def wait_deadline(self, now: float, seconds: float) -> float:
        """Returns until when an operation may wait that finds no grantor known.

        seconds: for the search, once: not for each operation while there is none.
        """
        if self._has_vote:
            return -math.inf if self._has_found_grantor else self._began_at + seconds
        goes_on = self.needs_polling(now) and self._searching_since < math.inf
        return (self._searching_since if goes_on else now) + seconds
