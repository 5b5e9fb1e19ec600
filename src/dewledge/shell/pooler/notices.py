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
        """A group's view of its databases changed. Argument: the group's name."""
        self.members_changed: Listeners[[]] = Listeners()
        """The set of member processes or one of their addresses changed."""
        self.database_suspected: Listeners[[str, str]] = Listeners()
        """A database did not answer a statement. Arguments: group name, database id."""
        self.quota_asked: Listeners[[str, QuotaQuestion]] = Listeners()
        """The gate requests tokens. Arguments: the grantor's process name, the request."""
