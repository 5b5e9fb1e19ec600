"""Typed list of callbacks for one kind of event."""

from collections.abc import Callable
from typing import Generic, ParamSpec

P = ParamSpec("P")


class Listeners(Generic[P]):
    """Callbacks for one kind of event, called synchronously in the order of subscription."""

    def __init__(self) -> None:
        self._calls: list[Callable[P, None]] = []

    def add(self, call: Callable[P, None]) -> None:
        """Adds a callback; it cannot be removed."""
        self._calls.append(call)

    def notify(self, *args: P.args, **kwargs: P.kwargs) -> None:
        """Calls each callback with the event's arguments."""
        for call in self._calls:
            call(*args, **kwargs)
