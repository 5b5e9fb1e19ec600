"""How soon clients are told that no caller has their key, so that coming back at once costs little.

A client whose key was taken may come back as soon as it is told. The first ones in a while are told
at once; of more each is told after a pause, so that what it costs is bounded by the clients there
are and not by how fast they try; of very many the rest are closed untold. Who has a key never
waits, and who has none learns nothing by the pause that the answer doesn't say.
"""

ANSWERS_PER_SECOND = 20.0
"""Told at once, and as many saved up: more than operators' own mistakes need."""
PAUSE_SECONDS = 1.0
"""Clients wait for two seconds at least until their session stands."""
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
        """Returns the seconds to wait before telling, None to close at once without a word.

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
