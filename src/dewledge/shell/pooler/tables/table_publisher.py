"""Answers processes that follow the store's tables through this one.

Owns the questions that have no answer yet, one of each follower's link, and what each was told
last. Relies on `followed_table` for what a follower lacks.
"""

import math
from collections.abc import Mapping

import msgspec

from dewledge.core.pooler.sharing.messages import FollowTables, TableNews, TablesAnswered
from dewledge.shell.pooler.links.channel_server import IncomingLink
from dewledge.shell.pooler.tables.followed_table import FollowedTable
from dewledge.shell.shared.event_loop import EventLoop, Timer

HOLD_SECONDS = 0.9
"""A question is answered after this at the latest, with nothing new; less than a follower waits for
an answer (ANSWER_LIMIT_SECONDS, 1.1 s)."""


class HeldQuestion(msgspec.Struct, frozen=True):
    """A question that has no answer yet, and when it came (steady clock, seconds)."""

    question: FollowTables
    came_at: float


class TablePublisher:
    """Holds questions until there is something to tell."""

    def __init__(self, loop: EventLoop, tables: Mapping[str, FollowedTable]) -> None:
        self._loop = loop
        self._tables = tables
        self._waiting: dict[IncomingLink, HeldQuestion] = {}
        self._timers: dict[IncomingLink, Timer] = {}
        self._told: dict[IncomingLink, dict[str, float]] = {}
        """How new each table was when a follower was last told of it (steady clock, seconds)."""

    def take_question(self, link: IncomingLink, question: FollowTables) -> None:
        """Answers now if there is news or a younger confirmation of a table, else later."""
        held = HeldQuestion(question, self._loop.now())
        if self._has_news(question) or self._has_younger_confirmation(link, question):
            self._answer(link, held)
            return
        self._waiting[link] = held
        timer = self._timers.pop(link, None)
        if timer is not None:
            timer.cancel()
        self._timers[link] = self._loop.call_later(HOLD_SECONDS, lambda: self._time_out(link))

    def tell_followers(self) -> None:
        """A table has changed, or was confirmed as the newest: all followers are told at once.

        A confirmation that waited here would be older at each step, and the last ones would doubt
        the table.
        """
        for link, held in list(self._waiting.items()):
            self._drop(link)
            self._answer(link, held)

    def _time_out(self, link: IncomingLink) -> None:
        held = self._waiting.get(link)
        if held is not None:
            self._drop(link)
            self._answer(link, held)

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

    def _has_younger_confirmation(self, link: IncomingLink, question: FollowTables) -> bool:
        """Tells whether a table was confirmed while the follower's question was under way.

        Told only with the next confirmation, the follower would doubt the table by then.
        """
        told = self._told.get(link)
        if told is None:
            return False
        for position in question.positions:
            table = self._tables.get(position.table)
            if table is not None and table.confirmed_at > told.get(position.table, math.inf):
                return True
        return False

    def _answer(self, link: IncomingLink, held: HeldQuestion) -> None:
        now, question = self._loop.now(), held.question
        news: list[TableNews] = []
        for position in question.positions:
            table = self._tables.get(position.table)
            if table is not None:
                after, compares = position.version, question.compares_keys
                news.append(table.news(after, now, question.takes_large, compares))
        if not link.closed:
            self._note_told(link)
            link.send(TablesAnswered(question.number, tuple(news), now - held.came_at))

    def _note_told(self, link: IncomingLink) -> None:
        for known in [known for known in self._told if known.closed]:
            del self._told[known]
        self._told[link] = {name: table.confirmed_at for name, table in self._tables.items()}
