"""What the parts of one process tell each other of claims (the lock rows of groups).

Owns the lists of listeners; built before the parts, which subscribe in their constructors. So the
driver, the keeper and the reader of the store's tables need no reference to each other. A listener
runs on the loop's thread, within the call that tells it, in the order of subscription.
"""

from collections.abc import Sequence

from dewledge.core.pooler.failover.messages import Claim, ClaimAcknowledged
from dewledge.shell.pooler.listeners import Listeners


class ClaimEvents:
    """One list of listeners for each kind of event."""

    def __init__(self) -> None:
        self.noticed: Listeners[[str, Claim]] = Listeners()
        """A group, and a claim on it that another process sent and that is newer than the own."""
        self.known: Listeners[[str, ClaimAcknowledged]] = Listeners()
        """A group, and which claim on it another process knows."""
        self.learned: Listeners[[str, Claim]] = Listeners()
        """A group, and a claim on it that this process did not know, before it takes effect."""
        self.to_send: Listeners[[str, Sequence[str]]] = Listeners()
        """A group, and the processes that are to be sent its newest claim."""
        self.written: Listeners[[]] = Listeners()
        """A claim of this process stands in the store."""
