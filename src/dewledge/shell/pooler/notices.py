"""Events that components of a process publish without depending on their subscribers.

The lists of listeners are built before the components. A publisher gets the `tell` method of a
list as its callback; `composition.subscribe_listeners` adds the subscribers. Use only on the event
loop's thread: listeners are called synchronously, in the order in which they were added.
"""

from dewledge.core.pooler.rate_limits.messages import QuotaQuestion
from dewledge.core.pooler.sessions.routes import RouteTable
from dewledge.shell.pooler.listeners import Listeners


class ProcessNotices:
    """One list of listeners for each kind of event in a process."""

    def __init__(self) -> None:
        self.configuration_changed: Listeners[[RouteTable]] = Listeners()
        """A new configuration was applied. Argument: its route table."""
        self.group_changed: Listeners[[str]] = Listeners()
        """A database's row was applied to its group. Argument: the group's name."""
        self.members_changed: Listeners[[]] = Listeners()
        """The members, their addresses or zones changed, or the member table was first read."""
        self.database_suspected: Listeners[[str, str]] = Listeners()
        """A database is unreachable or did not reply. Arguments: group name, database id."""
        self.quota_asked: Listeners[[str, QuotaQuestion]] = Listeners()
        """The gate sends a request for tokens or a vote. Arguments: receiving process, request."""
