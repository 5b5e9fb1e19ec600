"""Events about claims (the lock rows of groups) between the failover classes of one process.

ClaimEvents is created first; the other classes subscribe in their constructors and so need no
references to each other. Listeners run on the loop's thread, in the order of subscription, before
the call that sends the event returns.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.messages import Claim, ClaimAcknowledged
from dewledge.shell.pooler.listeners import Listeners


class ClaimEvents:
    """Holds the listeners of each kind of event."""

    def __init__(self) -> None:
        self.received: Listeners[[str, Claim]] = Listeners()
        """Another process sent a claim newer than the one known here. Arguments: group, claim."""
        self.acknowledged: Listeners[[str, ClaimAcknowledged]] = Listeners()
        """Another process acknowledged a claim. Arguments: group, process and fencing token."""
        self.learned: Listeners[[str, Claim]] = Listeners()
        """A newer claim is about to take effect in this process. Arguments: group, claim."""
        self.to_send: Listeners[[str, Sequence[str]]] = Listeners()
        """The newest claim on a group must be sent. Arguments: group, names of the processes."""
        self.written: Listeners[[]] = Listeners()
        """The store accepted a claim that this process wrote."""
