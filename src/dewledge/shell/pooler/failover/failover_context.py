"""Objects that the failover classes of one process share."""

from collections.abc import Callable
from concurrent.futures import Executor

import msgspec

from dewledge.core.pooler.coordination_store import CoordinationStore
from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.failover.primary_lease import PrimaryLeases
from dewledge.shell.pooler.failover.claim_events import ClaimEvents
from dewledge.shell.shared.event_loop import EventLoop


class FailoverContext(msgspec.Struct, frozen=True):
    """Shared objects of the failover classes, passed to their constructors.

    groups: all groups of the configuration, by name; only the directory changes this mapping.
    executor: runs blocking calls to the store and the platform. synchronous_replicas: returns the
    number of a group's synchronous replicas, None while the configuration is unknown.
    """

    loop: EventLoop
    own_name: str
    groups: dict[str, Group]
    leases: PrimaryLeases
    store: CoordinationStore
    executor: Executor
    claim_events: ClaimEvents
    synchronous_replicas: Callable[[str], int | None]
