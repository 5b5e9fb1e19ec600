"""Long-polls another process (the source) for changes of the store's tables.

At most one request is in flight. An answer states, for each table, the time since the source last
confirmed that its copy matches the store; the follower adds the network round trip to that age. If
the source does not answer, or its confirmation is too old, the follower switches to the next one.
While a table's confirmation is too old, this process also reads the store itself.
"""

import itertools
import math
import random
from collections.abc import Callable, Mapping, Sequence

from loguru import logger

from dewledge.core.pooler.sharing.messages import (
    FollowTables,
    PeerLinkMessage,
    TableNews,
    TablePosition,
    TablesAnswered,
)
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND
from dewledge.errors import ProtocolError
from dewledge.shell.pooler.links.outgoing_link import OutgoingLink
from dewledge.shell.pooler.links.outgoing_links import OutgoingLinks
from dewledge.shell.pooler.tables.followed_table import FollowedTable
from dewledge.shell.shared.event_loop import EventLoop, Timer

ANSWER_TIMEOUT_SECONDS = 1.1
"""Maximum wait for an answer before the next source is asked. Must be longer than a source holds a
request (HOLD_SECONDS in `table_publisher`)."""
MAX_ANSWER_GAP_SECONDS = 0.5
"""Maximum pause in the data received on the link while an overdue answer is still awaited."""
MAX_ANSWER_SECONDS = 4.0
"""Maximum wait for an answer while the link still receives data. Large enough for a slow link that
several followers share: asking another source during the transfer would send the same large change
twice."""
MAX_SWITCH_PAUSE_SECONDS = 0.3
"""Maximum pause before the next source is asked; randomised."""
MAX_WITHHELD_DELAY_SECONDS = 0.2
"""Maximum random delay before a large change is read from the store, to spread the reads."""
WITHHELD_PAUSE_SECONDS = 0.5
"""Pause before the source is asked again after it withheld a large change."""
LARGE_CHANGE_TIMEOUT_SECONDS = 1.5
"""Time after the source first withheld a large change until the follower requests that change from
the source, if it could not be read from the store before."""
CONFIRMATION_CHECK_INTERVAL_SECONDS = 0.2
"""Interval between two checks of the age of the confirmations."""
MIN_STORE_READ_INTERVAL_SECONDS = 0.5
"""Minimum mean interval between two rounds of reads from the store by this process. A round reads
every table whose confirmation is too old."""
MAX_STORE_READS_PER_SECOND = 100.0
"""Maximum mean rate at which all processes together read a table whose confirmation is too old."""


class TableFollower:
    """Keeps the process's tables current by following one of several sources.

    All methods run on the loop's thread.
    """

    def __init__(
        self,
        loop: EventLoop,
        links: OutgoingLinks,
        tables: Mapping[str, FollowedTable],
        read_store: Callable[[str], None],
        changed: Callable[[], None],
        count_members: Callable[[], int],
    ) -> None:
        """Registers with `links` for messages of the sources.

        read_store: schedules one read of a table from the store. changed: called after an answer
        that changed rows or brought a more recent confirmation. count_members: returns the number
        of processes, which limits the rate of reads from the store.
        """
        self._loop = loop
        self._links = links
        self._tables = tables
        self._read_store = read_store
        self._changed = changed
        self._count_members = count_members
        self._sources: Sequence[str] = ()
        self._request_numbers = itertools.count(1)
        self._pending_number = 0
        self._sent_at = 0.0
        self._requested_at = 0.0
        """When the request was handed to the link, which may first have to connect."""
        self._pending_link: OutgoingLink | None = None
        self._request_timer: Timer | None = None
        self._next_store_read_at = 0.0
        self._confirmation_timer: Timer | None = None
        self._withheld_since = math.inf
        links.add_user(self)

    @property
    def source(self) -> str:
        """The address of the process that is followed, empty if there is none."""
        return self._sources[0] if self._sources else ""

    def follow(self, sources: Sequence[str]) -> None:
        """Follows the processes at these addresses, one at a time, starting with the first.

        The same addresses in another order change nothing. An empty sequence stops following.
        """
        if set(sources) == set(self._sources):
            return
        self._sources = tuple(sources)
        self._pending_number = 0
        logger.bind(source=self.source, sources=len(self._sources)).info("tables_followed")
        self._schedule_request(0.0)
        self._watch_confirmations()

    def link_received(self, link: OutgoingLink, message: PeerLinkMessage) -> None:
        """Applies the answer to the request in flight; ignores all other messages."""
        if isinstance(message, TablesAnswered) and message.number == self._pending_number:
            self._pending_number = 0
            self._apply_answer(message)

    def link_lost(self, link: OutgoingLink) -> None:
        """Switches to the next source if the request in flight was sent on `link`."""
        if self._pending_number and link is self._pending_link:
            self._abandon_request("link_lost")

    def link_retiring(self, link: OutgoingLink) -> None:
        """Does nothing: the request in flight ends with its answer or its timeout."""

    def _watch_confirmations(self) -> None:
        """Checks confirmations periodically: they may expire while a source holds the request."""
        if self._confirmation_timer is not None:
            self._confirmation_timer.cancel()
            self._confirmation_timer = None
        if self._sources:
            self._read_stale_tables()
            self._confirmation_timer = self._loop.call_later(
                CONFIRMATION_CHECK_INTERVAL_SECONDS, self._watch_confirmations
            )

    def _schedule_request(self, delay: float) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None
        if self._sources:
            self._request_timer = self._loop.call_later(delay, self._send_request)

    def _send_request(self) -> None:
        self._request_timer = None
        self._read_stale_tables()
        link = self._links.to(self.source)
        if not link.is_usable:
            # If no statement uses this link, nothing else detects that the peer is reachable again.
            link.probe()
            self._switch_source("not_usable")
            return
        number = next(self._request_numbers)
        self._pending_number = number
        self._pending_link = link
        self._requested_at = self._loop.now()
        self._request_timer = self._loop.call_later(ANSWER_TIMEOUT_SECONDS, self._on_answer_timeout)

        def send() -> None:
            if self._pending_number == number:
                self._sent_at = self._loop.now()
                takes_large = self._loop.now() > self._withheld_since + LARGE_CHANGE_TIMEOUT_SECONDS
                link.send(FollowTables(number, self._positions(), takes_large, True))

        def fail() -> None:
            if self._pending_number == number:
                self._abandon_request("unreachable")

        link.when_open(send, fail)

    def _positions(self) -> tuple[TablePosition, ...]:
        return tuple(
            TablePosition(name, table.request_after_version) for name, table in self._tables.items()
        )

    def _apply_answer(self, answer: TablesAnswered) -> None:
        before = self._confirmation_times()
        # A lower bound: the source received the request after it was sent and held it this long.
        answered_at = self._sent_at + answer.held_seconds
        has_changed = False
        withheld: list[str] = []
        for news in answer.news:
            table = self._tables.get(news.table)
            if table is None or news.age_seconds < 0:
                continue
            if news.is_withheld:
                withheld.append(news.table)
            else:
                has_changed |= self._apply_news(table, news, answered_at)
        if has_changed or self._confirmation_times() != before:
            self._changed()
        if withheld:
            self._read_withheld(withheld)
        elif self._has_stale_table():
            self._switch_source("word_too_old")
        else:
            self._withheld_since = math.inf
            self._schedule_request(0.0)

    def _confirmation_times(self) -> tuple[float, ...]:
        return tuple(table.confirmed_at for table in self._tables.values())

    def _apply_news(self, table: FollowedTable, news: TableNews, answered_at: float) -> bool:
        try:
            has_changed = table.apply_news(news, answered_at)
        except ProtocolError as error:
            logger.bind(source=self.source, table=table.name, error=error.message).warning(
                "table_news_refused"
            )
            return False
        if has_changed:
            self._log_news(news)
        return has_changed

    def _log_news(self, news: TableNews) -> None:
        logger.bind(
            table=news.table,
            source=self.source,
            version=news.delta.version,
            rows=len(news.delta.rows),
            bytes=sum(len(row.value) for row in news.delta.rows),
            took_ms=round((self._loop.now() - self._sent_at) * MILLISECONDS_PER_SECOND),
            age_ms=round(news.age_seconds * MILLISECONDS_PER_SECOND),
        ).info("source_read")

    def _read_withheld(self, tables: Sequence[str]) -> None:
        """Schedules reads of withheld tables from the store, and asks the source again later."""
        if self._withheld_since == math.inf:
            self._withheld_since = self._loop.now()
        for name in tables:
            delay = random.uniform(0.0, MAX_WITHHELD_DELAY_SECONDS)
            self._loop.call_later(delay, lambda name=name: self._read_store(name))  # type: ignore[misc]
        self._schedule_request(WITHHELD_PAUSE_SECONDS)

    def _has_stale_table(self) -> bool:
        now = self._loop.now()
        return any(table.is_stale(now) for table in self._tables.values())

    def _on_answer_timeout(self) -> None:
        now = self._loop.now()
        link = self._pending_link
        is_receiving = link is not None and now < link.heard_at + MAX_ANSWER_GAP_SECONDS
        if is_receiving and now < self._requested_at + MAX_ANSWER_SECONDS:
            self._request_timer = self._loop.call_later(
                MAX_ANSWER_GAP_SECONDS / 2, self._on_answer_timeout
            )
            return
        if link is not None and not is_receiving:
            link.verify()
        self._abandon_request("silent")

    def _abandon_request(self, reason: str) -> None:
        self._pending_number = 0
        self._switch_source(reason)

    def _switch_source(self, reason: str) -> None:
        before = self.source
        self._sources = (*self._sources[1:], *self._sources[:1])
        logger.bind(source=before, next=self.source, reason=reason).info("source_left")
        self._schedule_request(MAX_SWITCH_PAUSE_SECONDS * random.uniform(0.5, 1.0))
        self._read_stale_tables()

    def _read_stale_tables(self) -> None:
        """Schedules reads of the tables whose confirmation is too old, within the rate limit.

        A table that was never read is left out: its watcher is reading it and retries failures.
        """
        now = self._loop.now()
        loaded = {name: table for name, table in self._tables.items() if table.is_known}
        stale = [name for name, table in loaded.items() if table.is_stale(now)]
        if not stale or now < self._next_store_read_at:
            return
        wait = max(
            MIN_STORE_READ_INTERVAL_SECONDS, self._count_members() / MAX_STORE_READS_PER_SECOND
        )
        self._next_store_read_at = now + wait * random.uniform(0.7, 1.3)
        for name in stale:
            self._read_store(name)
