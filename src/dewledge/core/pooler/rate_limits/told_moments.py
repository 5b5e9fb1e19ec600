"""When operations that a standing line refused may come back: each at a moment of its own.

One that comes back at its moment has the next token before all that wait, so the moments are so far
apart that others have their part of the tokens too.
"""

import itertools

from dewledge.core.pooler.rate_limits.place_key import PlaceKey

TOLD_SHARE = 0.5
"""Of the rate, for those that come back. With all of it whoever asks for the first time would be
refused, and each operation would be served late."""
TOLD_SECONDS = 5.0
"""So far ahead moments are remembered; bounds their number at `rate` x TOLD_SHARE x this. Clients
have some seconds for an operation."""


class ToldMoments:
    """Of one caller. Soft state: without it who comes back stands last."""

    def __init__(self) -> None:
        self._due_at: dict[PlaceKey, float] = {}
        """Of who may come back, in the order of the moments."""
        self._token_at: dict[PlaceKey, float] = {}
        """Of who came back and found no token yet, in the order in which they came."""
        self._last = 0.0

    def __len__(self) -> int:
        return len(self._due_at) + len(self._token_at)

    @property
    def waiting(self) -> int:
        """How many came back and have no token yet: the next ones are theirs."""
        return len(self._token_at)

    def due_at(self, key: PlaceKey | None) -> float | None:
        """Returns the moment that an operation was told or promised, None without one."""
        if key is None:
            return None
        return self._token_at.get(key, self._due_at.get(key))

    def tell(self, key: PlaceKey, now: float, earliest: float, rate: float) -> tuple[float, bool]:
        """Returns a moment after all that were told, and whether it is the operation's own.

        Where so many were told that it would be too far ahead, it stands last when it comes.
        rate: tokens a second that come in now.
        """
        moment = max(earliest, self._last + 1.0 / (rate * TOLD_SHARE))
        if moment > now + TOLD_SECONDS:
            return now + TOLD_SECONDS, False
        self._last = moment
        self._due_at[key] = moment
        return moment, True

    def come(self, key: PlaceKey, now: float) -> int:
        """One is back; returns how many that were back before it have no token yet."""
        self._due_at.pop(key, None)
        self._token_at.setdefault(key, now)
        return next(ahead for ahead, other in enumerate(self._token_at) if other == key)

    def wait(self, key: PlaceKey, moment: float) -> None:
        """One that is back has its token at a later moment."""
        self._token_at[key] = moment

    def leave(self, key: PlaceKey) -> None:
        """One that is back has its token."""
        del self._token_at[key]

    def drop_before(self, earliest: float) -> None:
        """Who did not come is left; its token is for the next."""
        _drop_before(self._due_at, earliest)
        _drop_before(self._token_at, earliest)


def _drop_before(moments: dict[PlaceKey, float], earliest: float) -> None:
    old = list(itertools.takewhile(lambda key: moments[key] < earliest, moments))
    for key in old:
        del moments[key]
