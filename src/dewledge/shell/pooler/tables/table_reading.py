"""Keeps this process's copies of the store's tables current.

A process either reads the store itself (a reader) or follows a reader over a link;
`core/pooler/sharing/readers` decides which. `TableReading` owns the cached tables, a store watcher
for each, the publisher that answers followers, and the follower of other processes.
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

MAX_WAIT_SECONDS = 2.0
"""Default for how long a reader's call to the store waits for a change."""
WAIT_TO_BOUND_RATIO = 0.4
"""Ratio of a store call's wait to the configuration's propagation bound; the rest leaves time to
detect a call that the store never answers."""
CONFIGURATION_WAIT_SECONDS = 1.0
"""Wait for a change of a table that must be confirmed more often than by default; a follower's copy
is older than the reader's by one request."""
STARTUP_PERIOD_SECONDS = 1.0
"""Time in which processes that start together are expected to register. Until then a process in a
small cluster watches only the members table and reads the other tables once, since it may turn out
to be a follower."""
DATABASES_RESTORE_WAIT_SECONDS = 3.0
"""Time after a restore of the store in which the databases write their rows again. Until then the
known rows stay: the copy may hold databases that have left, and former primaries."""
LEASE_WAIT_SECONDS = 0.9
"""Wait for a change of the table whose confirmations primary leases depend on."""


class StoreCalls(msgspec.Struct, frozen=True):
    """The store, whose calls block, and the executor that runs them."""

    store: CoordinationStore
    executor: Executor


class TableReading:
    """Reads or follows the store's tables. All methods run on the loop's thread."""

    def __init__(
        self,
        loop: EventLoop,
        settings: PoolerSettings,
        calls: StoreCalls,
        links: OutgoingLinks,
        members: MemberTable,
        members_table: str,
    ) -> None:
        """Starts without tables; see `add`. members_table: the table with a row per process."""
        self._loop = loop
        self._members_table = members_table
        self._local_name = settings.name
        self._regions = settings.zones
        self._wait_when_all_read = _compute_wait_when_all_read(settings)
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
            self._publisher.answer_held_requests,
            lambda: members.count,
        )
        self._plan = ReadingPlan(True)
        self._startup_ends_at = math.inf

    def add(
        self,
        name: str,
        snapshot: RowsCallback,
        changed: RowsCallback,
        wait: float = MAX_WAIT_SECONDS,
        confirmed: Callable[[float], None] = lambda confirmed_at: None,
        is_confirmed_by_feed: bool = False,
        restore_wait: float = 0.0,
    ) -> None:
        """Adds a table: `snapshot` receives the whole table, `changed` the rows of later changes.

        wait: seconds for which a reader's call waits for a change. restore_wait: see TableWatcher.
        The others: see FollowedTable.
        """
        table = FollowedTable(name, wait, snapshot, changed, confirmed, is_confirmed_by_feed)

        def on_delta(delta: TableDelta, confirmed_at: float) -> None:
            before = table.confirmed_at
            if table.apply(delta, confirmed_at) or table.confirmed_at > before:
                self._publisher.answer_held_requests()

        self._tables[name] = table
        self._watchers[name] = TableWatcher(
            self._calls.store,
            name,
            lambda: table.version,
            on_delta,
            self._loop.post,
            confirms_whole=is_confirmed_by_feed,
            restore_wait=restore_wait,
        )

    def start(self) -> None:
        """Starts to read the store: until the members are known there is no source to follow."""
        self._startup_ends_at = self._loop.now() + STARTUP_PERIOD_SECONDS
        self._loop.call_later(STARTUP_PERIOD_SECONDS, self._on_startup_ended)
        for watcher in self._watchers.values():
            self._calls.executor.submit(watcher.run)

    def stop(self) -> None:
        """Stops reading and following."""
        self._follower.follow(())
        for watcher in self._watchers.values():
            watcher.stop()

    def handle_request(self, link: IncomingLink, question: FollowTables) -> None:
        """Answers a process that follows this one."""
        self._publisher.handle_request(link, question)

    def on_members_changed(self) -> None:
        """Recomputes whether this process reads the store or which sources it follows."""
        members = self._members.members
        plan = reading_plan(self._local_name, members, self._region_of)
        if plan != self._plan:
            self._plan = plan
            logger.bind(reads=plan.is_reader, sources=",".join(plan.sources)).info(
                "reading_planned"
            )
        addresses = [members[name].peer_address for name in plan.sources if name in members]
        is_read_by_all = len(members) <= MAX_PROCESSES_ALL_READING
        reads_store = plan.is_reader or not addresses
        for name, watcher in self._watchers.items():
            shared_wait = self._tables[name].wait_seconds
            wait_seconds = self._wait_when_all_read if is_read_by_all else shared_wait
            is_confirmed = self._tables[name].is_confirmed_by_feed
            watcher.set_wait(min(wait_seconds, shared_wait) if is_confirmed else wait_seconds)
            is_deferred = is_read_by_all and name != self._members_table and self._is_starting_up
            watcher.set_reader(reads_store and not is_deferred)
        self._follower.follow([] if reads_store else addresses)

    @property
    def _is_starting_up(self) -> bool:
        return self._loop.now() < self._startup_ends_at

    def _on_startup_ended(self) -> None:
        self._startup_ends_at = self._loop.now()
        if self._members.is_known:
            self.on_members_changed()

    def read_now(self, table: str) -> None:
        """Schedules an immediate read of a table whose cached copy may be older than the store."""
        self._read_store(table)

    def _region_of(self, zone: str) -> str:
        return self._regions.get(zone, zone)

    def _read_store(self, table: str) -> None:
        self._watchers[table].read_once()


def _compute_wait_when_all_read(settings: PoolerSettings) -> float:
    """Returns the wait in seconds of a store call when every process reads all tables."""
    bound = settings.timings.configuration_bound
    return min(MAX_WAIT_SECONDS, bound * WAIT_TO_BOUND_RATIO)
