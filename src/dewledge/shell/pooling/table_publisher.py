"""Answers processes that follow the store's tables through this one."""

from collections.abc import Mapping

from dewledge.core.sharing.messages import FollowTables, TableNews, TablesAnswered
from dewledge.shell.event_loop import EventLoop, Timer
from dewledge.shell.pooling.channel_server import IncomingLink
from dewledge.shell.pooling.followed_table import FollowedTable

HOLD_SECONDS = 0.4
"""A question is answered after this at the latest, with nothing new."""


class TablePublisher:
    """Holds questions until there is something to tell."""

    def __init__(self, loop: EventLoop, tables: Mapping[str, FollowedTable]) -> None:
        self._loop = loop
        self._tables = tables
        self._waiting: dict[IncomingLink, FollowTables] = {}
        self._timers: dict[IncomingLink, Timer] = {}

    @property
    def follower_count(self) -> int:
        """The processes that wait for news now."""
        return len(self._waiting)

    def take_question(self, link: IncomingLink, question: FollowTables) -> None:
        """Answers now if there is news, else later."""
        if self._has_news(question):
            self._answer(link, question)
            return
        self._waiting[link] = question
        timer = self._timers.pop(link, None)
        if timer is not None:
            timer.cancel()
        self._timers[link] = self._loop.call_later(HOLD_SECONDS, lambda: self._time_out(link))

    def tell_followers(self) -> None:
        """A table has changed."""
        for link, question in list(self._waiting.items()):
            if self._has_news(question):
                self._drop(link)
                self._answer(link, question)

    def _time_out(self, link: IncomingLink) -> None:
        question = self._waiting.get(link)
        if question is not None:
            self._drop(link)
            self._answer(link, question)

    def _drop(self, link: IncomingLink) -> None:
        self._waiting.pop(link, None)
        timer = self._timers.pop(link, None)
        if timer is not None:
            timer.cancel()

    def _has_news(self, question: FollowTables) -> bool:
        for position in question.positions:
            table = self._tables.get(position.table)
            if table is not None and table.has_changed_after(position.version):
                return True
        return False

    def _answer(self, link: IncomingLink, question: FollowTables) -> None:
        now = self._loop.now()
        news: list[TableNews] = []
        for position in question.positions:
            table = self._tables.get(position.table)
            if table is not None:
                news.append(table.news(position.version, now, question.takes_large))
        if not link.closed:
            link.send(TablesAnswered(question.number, tuple(news)))
