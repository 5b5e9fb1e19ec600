"""What the parts of a process tell each other without knowing each other.

Owns a list of listeners for each kind of event; built before the parts. Who tells is given `tell`
of a list as the function to call, and `composition.connect` says in one place who listens. Belongs
to the loop's thread; listeners are called at once, in the order in which they were added.
"""

from dewledge.core.pooler.rate_limits.messages import QuotaQuestion
from dewledge.core.pooler.sessions.routes import RouteTable
from dewledge.shell.pooler.listeners import Listeners


class ProcessNotices:
    """The notices of one process."""

    def __init__(self) -> None:
        self.configuration_changed: Listeners[[RouteTable]] = Listeners()
        """Another configuration is in force: its routes."""
        self.group_changed: Listeners[[str]] = Listeners()
        """The view of the group of this name has changed."""
        self.members_changed: Listeners[[]] = Listeners()
        """Other processes are known now, or at other addresses."""
        self.database_suspected: Listeners[[str, str]] = Listeners()
        """A database of a group left a statement without an answer: group, database."""
        self.quota_asked: Listeners[[str, QuotaQuestion]] = Listeners()
        """The gate asks the process of this name for a share of callers' limits."""
