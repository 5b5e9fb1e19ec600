"""Answers processes that follow the store's tables through this one.

A follower's request is a long poll: it is answered at once if the follower lacks rows or a more
recent confirmation, otherwise at the next change or confirmation, or after HOLD_SECONDS. Each link
has at most one held request. `followed_table` computes the delta that a follower lacks.
"""

import math
from collections.abc import Mapping

import msgspec

from dewledge.core.pooler.sharing.messages import FollowTables, TableNews, TablesAnswered
from dewledge.shell.pooler.links.channel_server import IncomingLink
from dewledge.shell.pooler.tables.followed_table import FollowedTable
from dewledge.shell.shared.event_loop import EventLoop, Timer

HOLD_SECONDS = 0.9
"""Longest hold of a request before an answer without changes; must be below the time a follower
waits for an answer (ANSWER_LIMIT_SECONDS in `table_follower`)."""


class HeldQuestion(msgspec.Struct, frozen=True):
    """A follower's request without an answer and when it arrived (monotonic clock, seconds)."""

    question: FollowTables
    came_at: float


class TablePublisher:
    """Holds followers' requests until a table changes or is confirmed, or the hold times out."""

    def __init__(self, loop: EventLoop, tables: Mapping[str, FollowedTable]) -> None:
        self._loop = loop
        self._tables = tables
        self._waiting: dict[IncomingLink, HeldQuestion] = {}
        self._timers: dict[IncomingLink, Timer] = {}
        self._told: dict[IncomingLink, dict[str, float]] = {}
        """When each table was confirmed, as of the last answer on a link (monotonic, seconds)."""

    def take_question(self, link: IncomingLink, question: FollowTables) -> None:
        """Answers at once if a table changed or was confirmed since the last answer, else later."""
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
        """Answers all held requests, after a change or a confirmation of a table.

        A delay here would add to the age of the confirmation at each hop, until the last followers
        consider it too old.
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
        """Returns whether a table was confirmed after the last answer on this link.

        If the follower had to wait for the next confirmation, the one it has would be too old by
        then.
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
