"""Who listens to one kind of event of a process: a typed list of calls."""

from collections.abc import Callable
from typing import Generic, ParamSpec

P = ParamSpec("P")


class Listeners(Generic[P]):
    """The calls that take one kind of event."""

    def __init__(self) -> None:
        self._calls: list[Callable[P, None]] = []

    def add(self, call: Callable[P, None]) -> None:
        """Subscribes a call for the life of the process."""
        self._calls.append(call)

    def tell(self, *args: P.args, **kwargs: P.kwargs) -> None:
        """Passes an event to each call."""
        for call in self._calls:
            call(*args, **kwargs)
