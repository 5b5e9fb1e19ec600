"""How this process learns the store's tables: by reading, or by following a reader.

Owns the tables that are known here, a watcher of the store for each, the publisher that tells
followers and the follower of others. `core/pooler/sharing/readers` decides which processes read.
"""

import math
from collections.abc import Callable
from concurrent.futures import Executor

import msgspec
from loguru import logger

from dewledge.core.pooler.coordination_store import CoordinationStore
from dewledge.core.pooler.sharing.messages import FollowTables
from dewledge.core.pooler.sharing.readers import (
    MAX_PROCESSES_ALL_READING,
    ReadingPlan,
    reading_plan,
)
from dewledge.core.pooler.sharing.table_cache import TableDelta
from dewledge.pooler_settings import PoolerSettings
from dewledge.shell.pooler.links.channel_server import IncomingLink
from dewledge.shell.pooler.links.outgoing_links import OutgoingLinks
from dewledge.shell.pooler.tables.followed_table import FollowedTable, RowsCallback
from dewledge.shell.pooler.tables.member_table import MemberTable
from dewledge.shell.pooler.tables.table_follower import TableFollower
from dewledge.shell.pooler.tables.table_publisher import TablePublisher
from dewledge.shell.pooler.tables.table_watcher import TableWatcher
from dewledge.shell.shared.event_loop import EventLoop

LONGEST_WAIT_SECONDS = 2.0
"""For a reader's call that waits for a change."""
WAIT_SHARE_OF_BOUND = 0.4
"""Of the configuration's bound: a call that the store swallows is noticed a second later."""
URGENT_WAIT_SECONDS = 1.0
"""A reader that others follow looks more often: what they know is older by their question."""
START_SECONDS = 1.0
"""Processes that start together register within this. Until then a process that knows few others
reads on only for more members, and the other tables once: following is cheaper than reading beside
others."""
LEASE_WAIT_SECONDS = 0.9
"""For a change, where primary leases rest on how new the table surely is."""


class StoreCalls(msgspec.Struct, frozen=True):
    """The store, whose calls block, and the threads that make them."""

    store: CoordinationStore
    executor: Executor


class TableReading:
    """The tables of one process. All methods belong to the loop's thread."""

    def __init__(
        self,
        loop: EventLoop,
        settings: PoolerSettings,
        calls: StoreCalls,
        links: OutgoingLinks,
        members: MemberTable,
        members_table: str,
    ) -> None:
        """`members_table`: the table with the rows of all processes."""
        self._loop = loop
        self._members_table = members_table
        self._own_name = settings.name
        self._regions = settings.zones
        self._read_by_all_wait = _wait_where_all_read(settings)
        self._calls = calls
        self._members = members
        self._tables: dict[str, FollowedTable] = {}
        self._watchers: dict[str, TableWatcher] = {}
        self._publisher = TablePublisher(loop, self._tables)
        self._follower = TableFollower(
            loop,
            links,
            self._tables,
            self._read_store,
            self._publisher.tell_followers,
            lambda: members.count,
        )
        self._plan = ReadingPlan(True)
        self._starts_until = math.inf

    def add(
        self,
        name: str,
        snapshot: RowsCallback,
        changed: RowsCallback,
        wait: float = LONGEST_WAIT_SECONDS,
        confirmed: Callable[[float], None] | None = None,
    ) -> None:
        """Adds a table; `snapshot` gets it whole, `changed` later rows.

        wait: seconds for which a reader's call waits for a change. confirmed: see FollowedTable.
        """
        table = FollowedTable(name, wait, snapshot, changed, confirmed)

        def taken(delta: TableDelta, true_at: float) -> None:
            before = table.confirmed_at
            if table.take(delta, true_at) or table.confirmed_at > before:
                self._publisher.tell_followers()

        self._tables[name] = table
        self._watchers[name] = TableWatcher(
            self._calls.store,
            name,
            lambda: table.version,
            taken,
            self._loop.post,
            confirms_whole=confirmed is not None,
        )

    def start(self) -> None:
        """Starts to read: a process that does not know the members yet cannot follow one."""
        self._starts_until = self._loop.now() + START_SECONDS
        self._loop.call_later(START_SECONDS, self._end_of_start)
        for watcher in self._watchers.values():
            self._calls.executor.submit(watcher.run)

    def stop(self) -> None:
        """Ends reading and following."""
        self._follower.follow(())
        for watcher in self._watchers.values():
            watcher.stop()

    def take_question(self, link: IncomingLink, question: FollowTables) -> None:
        """Answers a process that follows this one."""
        self._publisher.take_question(link, question)

    def members_changed(self) -> None:
        """Works out anew whether this process reads, and whom it follows."""
        members = self._members.members
        plan = reading_plan(self._own_name, members, self._region_of)
        if plan != self._plan:
            self._plan = plan
            logger.bind(reads=plan.is_reader, sources=",".join(plan.sources)).info(
                "reading_planned"
            )
        addresses = [members[name].peer_address for name in plan.sources if name in members]
        is_read_by_all = len(members) <= MAX_PROCESSES_ALL_READING
        is_alone = plan.is_reader or not addresses
        for name, watcher in self._watchers.items():
            shared_wait = self._tables[name].wait_seconds
            longest = self._read_by_all_wait if is_read_by_all else shared_wait
            is_confirmed = self._tables[name].is_confirmed_by_feed
            watcher.set_wait(min(longest, shared_wait) if is_confirmed else longest)
            waits = is_read_by_all and name != self._members_table and self._is_starting
            watcher.set_reader(is_alone and not waits)
        self._follower.follow([] if is_alone else addresses)

    @property
    def _is_starting(self) -> bool:
        return self._loop.now() < self._starts_until

    def _end_of_start(self) -> None:
        self._starts_until = self._loop.now()
        if self._members.is_known:
            self.members_changed()

    def read_soon(self, table: str) -> None:
        """Has a table read from the store at once: what others tell of it may come later."""
        self._read_store(table)

    def _region_of(self, zone: str) -> str:
        return self._regions.get(zone, zone)

    def _read_store(self, table: str) -> None:
        self._watchers[table].read_once()


def _wait_where_all_read(settings: PoolerSettings) -> float:
    """Returns for how many seconds a reader's call waits where each process reads all tables."""
    bound = settings.timings.configuration_bound
    return min(LONGEST_WAIT_SECONDS, bound * WAIT_SHARE_OF_BOUND)
