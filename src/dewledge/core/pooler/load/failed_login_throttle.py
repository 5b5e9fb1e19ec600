"""Delays the answers to failed logins, so that clients that retry at once cost little.

A token bucket lets `ANSWERS_PER_SECOND` refusals be answered immediately; further ones are answered
after a delay. Beyond `MAX_DELAYED_REFUSALS` pending answers, connections are closed without an
answer. The load of clients with a revoked key is therefore bounded by their number, and not by how
fast they retry. Clients with a valid key are never delayed, and the delay reveals nothing that the
answer does not.
"""

ANSWERS_PER_SECOND = 20.0
"""Refusals per second that are answered immediately, and the size of the bucket."""
ANSWER_DELAY_SECONDS = 1.0
"""Delay of an answer. Shorter than the two seconds that clients allow for opening a session."""
MAX_DELAYED_REFUSALS = 200
"""Connections that may wait for a delayed answer; few of the thousands that a process can have
open."""


class FailedLoginThrottle:
    """Decides when each refused session is answered; `now` is the steady clock in seconds."""

    def __init__(self) -> None:
        self._available_answers = ANSWERS_PER_SECOND
        self._refilled_at = 0.0
        self.delayed_refusals = 0
        """The refusals whose answer is being delayed."""

    def answer_delay(self, now: float) -> float | None:
        """Returns the delay before the answer in seconds, None to close without an answer.

        A delayed refusal takes a place that the caller must release once it is answered.
        """
        gained = max(now - self._refilled_at, 0.0) * ANSWERS_PER_SECOND
        self._available_answers = min(self._available_answers + gained, ANSWERS_PER_SECOND)
        self._refilled_at = now
        if self._available_answers >= 1.0:
            self._available_answers -= 1.0
            return 0.0
        if self.delayed_refusals >= MAX_DELAYED_REFUSALS:
            return None
        self.delayed_refusals += 1
        return ANSWER_DELAY_SECONDS

    def on_delay_ended(self) -> None:
        """Releases the place of a delayed refusal that was answered or whose client
        disconnected."""
        self.delayed_refusals -= 1
