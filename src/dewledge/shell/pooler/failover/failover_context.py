"""What all parts of failover in one process share."""

from concurrent.futures import Executor

import msgspec

from dewledge.core.pooler.coordination_store import CoordinationStore
from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.failover.primary_lease import PrimaryLeases
from dewledge.shell.pooler.failover.claim_events import ClaimEvents
from dewledge.shell.shared.event_loop import EventLoop


class FailoverContext(msgspec.Struct, frozen=True):
    """groups: all that the configuration names, by name; changed by the directory only.

    executor: runs the store's and the platform's calls, which block.
    """

    loop: EventLoop
    own_name: str
    groups: dict[str, Group]
    leases: PrimaryLeases
    store: CoordinationStore
    executor: Executor
    claim_events: ClaimEvents
