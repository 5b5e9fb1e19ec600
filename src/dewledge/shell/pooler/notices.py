"""What the parts of a process tell each other without knowing each other.

Built before the parts: who tells is given a notice as the function to call, and `composition` says
in one place who is told. A notice that nobody is told of yet is dropped. Belongs to the loop's
thread; takers are called at once, in the order in which they were added.
"""

from collections.abc import Callable
from typing import Generic, ParamSpec

from dewledge.core.pooler.rate_limits.messages import QuotaQuestion
from dewledge.core.pooler.sessions.routes import RouteTable

What = ParamSpec("What")


class Notice(Generic[What]):
    """One kind of notice: a function that calls all takers."""

    __slots__ = ("_takers",)

    def __init__(self) -> None:
        self._takers: list[Callable[What, None]] = []

    def add_taker(self, taker: Callable[What, None]) -> None:
        """Has `taker` called with each notice from now on."""
        self._takers.append(taker)

    def __call__(self, *args: What.args, **kwargs: What.kwargs) -> None:
        """Tells all takers."""
        for taker in self._takers:
            taker(*args, **kwargs)


class ProcessNotices:
    """The notices of one process."""

    def __init__(self) -> None:
        self.configuration_changed: Notice[[RouteTable]] = Notice()
        """Another configuration is in force: its routes."""
        self.group_changed: Notice[[str]] = Notice()
        """The view of the group of this name has changed."""
        self.members_changed: Notice[[]] = Notice()
        """Other processes are known now, or at other addresses."""
        self.database_suspected: Notice[[str, str]] = Notice()
        """A database of a group left a statement without an answer: group, database."""
        self.quota_asked: Notice[[str, QuotaQuestion]] = Notice()
        """The gate asks the process of this name for a share of callers' limits."""
