"""Learns the store's tables from another process, and doubts it in time.

One question at a time goes to a source; its answer says how long ago the tables were surely the
newest. What this process knows is at most as old as that, counted from the sending of its question.
A source that is silent, or whose own confirmation is too old, is left for the next; when none has a
young one, the store is read by this process itself. Owns the order of the sources and the question
under way; relies on `followed_table` for what is known and when it is doubtful.
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
from dewledge.errors import ProtocolError
from dewledge.shell.pooler.links.outgoing_link import OutgoingLink
from dewledge.shell.pooler.links.outgoing_links import OutgoingLinks
from dewledge.shell.pooler.tables.followed_table import FollowedTable
from dewledge.shell.shared.event_loop import EventLoop, Timer

ANSWER_LIMIT_SECONDS = 1.1
"""A source holds a question for less; a silent one is given up after this."""
ANSWER_GAP_SECONDS = 0.5
"""Between two pieces of an answer that goes on coming."""
LONGEST_ANSWER_SECONDS = 4.0
"""For an answer that goes on coming, without a gap: eight followers that lack a configuration of
128 KB, packed, fill a link of 5 Mbit/s for 1.6 s, with other tables and traffic beside it for some
times that. Asked elsewhere meanwhile, all sources would send it to all."""
PAUSE_SECONDS = 0.3
"""At most, before the next source is asked; drawn anew each time."""
WITHHELD_SPREAD_SECONDS = 0.2
"""Over which followers spread their reads of a large change."""
WITHHELD_PAUSE_SECONDS = 0.5
"""Before the source is asked again after a large change."""
TAKE_LARGE_SECONDS = 1.5
"""A large change that the store does not give within this is taken from the source."""
DOUBT_TICK_SECONDS = 0.2
"""Between two looks at how old the confirmations are."""
OWN_READ_SECONDS = 0.5
"""Between two own reads of the store, where no source has a young confirmation. Many processes read
less often each:"""
OWN_READS_PER_SECOND = 100.0
"""All together no more than this for a table."""


class TableFollower:
    """All methods belong to the loop's thread."""

    def __init__(
        self,
        loop: EventLoop,
        links: OutgoingLinks,
        tables: Mapping[str, FollowedTable],
        read_store: Callable[[str], None],
        changed: Callable[[], None],
        count_members: Callable[[], int],
    ) -> None:
        """`read_store`: has a table read from the store once.

        changed: called after news, and after a younger confirmation of how new a table is."""
        self._loop = loop
        self._links = links
        self._tables = tables
        self._read_store = read_store
        self._changed = changed
        self._count_members = count_members
        self._sources: Sequence[str] = ()
        self._numbers = itertools.count(1)
        self._number = 0
        self._asked_at = 0.0
        self._sent_at = 0.0
        """When the question was given to the link, be it open or dialled first."""
        self._asked: OutgoingLink | None = None
        self._timer: Timer | None = None
        self._not_before = 0.0
        self._doubt_timer: Timer | None = None
        self._withheld_since = math.inf
        links.add_user(self)

    @property
    def source(self) -> str:
        """The address of the process that is followed, empty for none."""
        return self._sources[0] if self._sources else ""

    def follow(self, sources: Sequence[str]) -> None:
        """Follows the processes at these addresses, the first that has a young confirmation.

        None ends it.
        """
        if set(sources) == set(self._sources):
            return
        self._sources = tuple(sources)
        self._number = 0
        logger.bind(source=self.source, sources=len(self._sources)).info("tables_followed")
        self._schedule(0.0)
        self._watch_doubt()

    def link_received(self, link: OutgoingLink, message: PeerLinkMessage) -> None:
        """Takes a message of a link."""
        if isinstance(message, TablesAnswered) and message.number == self._number:
            self._number = 0
            self._take(message)

    def link_lost(self, link: OutgoingLink) -> None:
        """A link ended."""
        if self._number and link is self._asked:
            self._leave_source("link_lost")

    def link_retiring(self, link: OutgoingLink) -> None:
        """Nothing new should begin on a link; the question there ends by its own time limit."""

    def _watch_doubt(self) -> None:
        """Looks again and again: a source may hold a question while its confirmation grows old."""
        if self._doubt_timer is not None:
            self._doubt_timer.cancel()
            self._doubt_timer = None
        if self._sources:
            self._read_if_doubtful()
            self._doubt_timer = self._loop.call_later(DOUBT_TICK_SECONDS, self._watch_doubt)

    def _schedule(self, delay: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._sources:
            self._timer = self._loop.call_later(delay, self._ask)

    def _ask(self) -> None:
        self._timer = None
        self._read_if_doubtful()
        link = self._links.to(self.source)
        if not link.is_usable:
            # Where no statement goes there either, nothing else would find out that it is back.
            link.probe()
            self._next_source("not_usable")
            return
        number = next(self._numbers)
        self._number = number
        self._asked = link
        self._sent_at = self._loop.now()
        self._timer = self._loop.call_later(ANSWER_LIMIT_SECONDS, self._unanswered)

        def send() -> None:
            if self._number == number:
                self._asked_at = self._loop.now()
                takes_large = self._loop.now() > self._withheld_since + TAKE_LARGE_SECONDS
                link.send(FollowTables(number, self._positions(), takes_large, True))

        def fail() -> None:
            if self._number == number:
                self._leave_source("unreachable")

        link.when_open(send, fail)

    def _positions(self) -> tuple[TablePosition, ...]:
        return tuple(TablePosition(name, table.asked_after) for name, table in self._tables.items())

    def _take(self, answer: TablesAnswered) -> None:
        before = self._newest_confirmations()
        # The question came to the source after it was sent, and was held there for a known time.
        answered_at = self._asked_at + answer.held_seconds
        is_news = False
        withheld: list[str] = []
        for news in answer.news:
            table = self._tables.get(news.table)
            if table is None or news.age_seconds < 0:
                continue
            if news.is_withheld:
                withheld.append(news.table)
            else:
                is_news |= self._take_table(table, news, answered_at)
        if is_news or self._newest_confirmations() != before:
            self._changed()
        if withheld:
            self._read_withheld(withheld)
        elif self._is_doubtful():
            self._next_source("word_too_old")
        else:
            self._withheld_since = math.inf
            self._schedule(0.0)

    def _newest_confirmations(self) -> tuple[float, ...]:
        return tuple(table.confirmed_at for table in self._tables.values())

    def _take_table(self, table: FollowedTable, news: TableNews, answered_at: float) -> bool:
        try:
            return table.take_news(news, answered_at)
        except ProtocolError as error:
            logger.bind(source=self.source, table=table.name, error=error.message).warning(
                "table_news_refused"
            )
            return False

    def _read_withheld(self, tables: Sequence[str]) -> None:
        """Reads large changes from the store; takes them from the source if that does not help."""
        if self._withheld_since == math.inf:
            self._withheld_since = self._loop.now()
        for name in tables:
            delay = random.uniform(0.0, WITHHELD_SPREAD_SECONDS)
            self._loop.call_later(delay, lambda name=name: self._read_store(name))  # type: ignore[misc]
        self._schedule(WITHHELD_PAUSE_SECONDS)

    def _is_doubtful(self) -> bool:
        now = self._loop.now()
        return any(table.is_doubtful(now) for table in self._tables.values())

    def _unanswered(self) -> None:
        now = self._loop.now()
        link = self._asked
        is_coming = link is not None and now < link.heard_at + ANSWER_GAP_SECONDS
        if is_coming and now < self._sent_at + LONGEST_ANSWER_SECONDS:
            self._timer = self._loop.call_later(ANSWER_GAP_SECONDS / 2, self._unanswered)
            return
        self._leave_source("silent")

    def _leave_source(self, reason: str) -> None:
        self._number = 0
        self._next_source(reason)

    def _next_source(self, reason: str) -> None:
        before = self.source
        self._sources = (*self._sources[1:], *self._sources[:1])
        logger.bind(source=before, next=self.source, reason=reason).info("source_left")
        self._schedule(PAUSE_SECONDS * random.uniform(0.5, 1.0))
        self._read_if_doubtful()

    def _read_if_doubtful(self) -> None:
        """Reads the store, so that a change is known in time though no source tells it.

        A table that is not known yet is being read by its watcher, which repeats what fails.
        """
        now = self._loop.now()
        known = {name: table for name, table in self._tables.items() if table.is_known}
        doubtful = [name for name, table in known.items() if table.is_doubtful(now)]
        if not doubtful or now < self._not_before:
            return
        wait = max(OWN_READ_SECONDS, self._count_members() / OWN_READS_PER_SECOND)
        self._not_before = now + wait * random.uniform(0.7, 1.3)
        for name in doubtful:
            self._read_store(name)
