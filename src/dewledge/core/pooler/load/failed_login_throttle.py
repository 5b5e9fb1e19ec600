"""When a client is told that no caller has its API key, so that coming back at once costs little.

Inputs: the refusals of sessions of this process, the steady clock in seconds.
Decision: `ANSWERS_PER_SECOND` are told at once; of more each is told after `PAUSE_SECONDS`; beyond
`MOST_HELD` that wait, connections are closed untold. Reason: a client whose key was taken may come
back as soon as it is told, so the cost is to be bounded by the clients there are and not by how
fast they try. Clients with a valid key never wait, and the pause tells nothing that the answer
doesn't.
"""

ANSWERS_PER_SECOND = 20.0
"""Refusals a second, and as many saved up, that are told at once: more than operators' own mistakes
need."""
PAUSE_SECONDS = 1.0
"""Seconds; clients wait for two at least until their session stands."""
MOST_HELD = 200
"""Connections that wait to be told: few of the thousands that a process may have open."""


class FailedLoginThrottle:
    """Decides for each refusal of a session; `now` is the steady clock in seconds."""

    def __init__(self) -> None:
        self._available = ANSWERS_PER_SECOND
        self._filled_at = 0.0
        self.held = 0
        """The refusals that wait to be told."""

    def pause(self, now: float) -> float | None:
        """Returns the seconds to wait before telling, None to close at once without an answer.

        A refusal that waits is to be reported by `told` in the end.
        """
        gained = max(now - self._filled_at, 0.0) * ANSWERS_PER_SECOND
        self._available = min(self._available + gained, ANSWERS_PER_SECOND)
        self._filled_at = now
        if self._available >= 1.0:
            self._available -= 1.0
            return 0.0
        if self.held >= MOST_HELD:
            return None
        self.held += 1
        return PAUSE_SECONDS

    def told(self) -> None:
        """A refusal that waited has been told, or its client is gone."""
        self.held -= 1
