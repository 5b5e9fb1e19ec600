"""Decides how long operations wait for a grantor, and how long its slot's candidates are polled.

A refused operation is retried, so the candidates are polled for a while after an operation waited.
Operations that arrive while there is no grantor share one search time, so they do not each wait for
the whole of it.
"""

import math

SEARCH_SECONDS = 1.0
"""Seconds for which candidates are polled after an operation last waited for a grantor."""


class GrantorSearch:
    """The search for a grantor in a slot. Times are in seconds of the process's steady clock."""

    def __init__(self, began_at: float, has_vote: bool) -> None:
        self._began_at = began_at
        self._has_vote = has_vote
        self._has_found_grantor = False
        self._searching_since = math.inf
        """When the present search began; inf if there is none."""
        self._last_waiting_at = -math.inf
        """When an operation last waited for a grantor."""

    def record_waiting_operation(self, now: float) -> None:
        """Records that an operation waits for a grantor now."""
        if not self.needs_polling(now) or self._searching_since == math.inf:
            self._searching_since = now
        self._last_waiting_at = now

    def record_found(self) -> None:
        """Records that a grantor was found."""
        self._has_found_grantor = True
        self._searching_since = math.inf

    def needs_polling(self, now: float) -> bool:
        """Returns whether to ask the candidate even though no operation asks for a token."""
        return self._has_vote or now < self._last_waiting_at + SEARCH_SECONDS

    def wait_deadline(self, now: float, seconds: float) -> float:
        """Returns the latest time for which an operation may wait for a grantor.

        A process with a vote lets operations wait only until it found its first grantor, and
        returns -inf afterwards. seconds: the length of a search, which all operations during it
        share.
        """
        if self._has_vote:
            return -math.inf if self._has_found_grantor else self._began_at + seconds
        is_ongoing = self.needs_polling(now) and self._searching_since < math.inf
        return (self._searching_since if is_ongoing else now) + seconds
