"""A clock that jumps ahead, as it does for a process that was frozen."""

FREEZE_SECONDS = 60.0


class FreezingClock:
    """Stands still but for `freeze`."""

    def __init__(self) -> None:
        self._now = 100.0

    def __call__(self) -> float:
        return self._now

    def freeze(self) -> None:
        """Lets the time of a freeze pass."""
        self._now += FREEZE_SECONDS
