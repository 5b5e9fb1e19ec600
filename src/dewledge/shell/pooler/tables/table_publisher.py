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

MAX_HOLD_SECONDS = 0.9
"""Maximum time before a request is answered without changes; must be below the time a follower
waits for an answer (ANSWER_TIMEOUT_SECONDS in `table_follower`)."""


class HeldRequest(msgspec.Struct, frozen=True):
    """A follower's unanswered request and when it arrived (monotonic clock, seconds)."""

    question: FollowTables
    came_at: float


class TablePublisher:
    """Holds followers' requests until a table changes or is confirmed, or the hold times out."""

    def __init__(self, loop: EventLoop, tables: Mapping[str, FollowedTable]) -> None:
        self._loop = loop
        self._tables = tables
        self._held_requests: dict[IncomingLink, HeldRequest] = {}
        self._timers: dict[IncomingLink, Timer] = {}
        self._answered_confirmations: dict[IncomingLink, dict[str, float]] = {}
        """When each table was confirmed, as of the last answer on a link (monotonic, seconds)."""

    def handle_request(self, link: IncomingLink, request: FollowTables) -> None:
        """Answers the request if the follower lacks rows or a newer confirmation, else holds it."""
        held = HeldRequest(request, self._loop.now())
        if self._has_news(request) or self._has_newer_confirmation(link, request):
            self._answer(link, held)
            return
        self._held_requests[link] = held
        timer = self._timers.pop(link, None)
        if timer is not None:
            timer.cancel()
        self._timers[link] = self._loop.call_later(
            MAX_HOLD_SECONDS, lambda: self._on_hold_timeout(link)
        )

    def answer_held_requests(self) -> None:
        """Answers all held requests, after a change or a confirmation of a table.

        A delay here would add to the age of the confirmation at each hop, until the last followers
        consider it too old.
        """
        for link, held in list(self._held_requests.items()):
            self._drop(link)
            self._answer(link, held)

    def _on_hold_timeout(self, link: IncomingLink) -> None:
        held = self._held_requests.get(link)
        if held is not None:
            self._drop(link)
            self._answer(link, held)

    def _drop(self, link: IncomingLink) -> None:
        self._held_requests.pop(link, None)
        timer = self._timers.pop(link, None)
        if timer is not None:
            timer.cancel()

    def _has_news(self, request: FollowTables) -> bool:
        for position in request.positions:
            table = self._tables.get(position.table)
            if table is not None and table.has_changed_after(position.version):
                return True
        return False

    def _has_newer_confirmation(self, link: IncomingLink, request: FollowTables) -> bool:
        """Returns whether a table was confirmed after the last answer on this link.

        Such a confirmation is sent at once: the previous one, which the follower has, could become
        too old before the next.
        """
        answered = self._answered_confirmations.get(link)
        if answered is None:
            return False
        for position in request.positions:
            table = self._tables.get(position.table)
            if table is not None and table.confirmed_at > answered.get(position.table, math.inf):
                return True
        return False

    def _answer(self, link: IncomingLink, held: HeldRequest) -> None:
        now, request = self._loop.now(), held.question
        news: list[TableNews] = []
        for position in request.positions:
            table = self._tables.get(position.table)
            if table is not None:
                after, compares = position.version, request.compares_keys
                news.append(table.news(after, now, request.takes_large, compares))
        if not link.closed:
            self._record_answered_confirmations(link)
            link.send(TablesAnswered(request.number, tuple(news), now - held.came_at))

    def _record_answered_confirmations(self, link: IncomingLink) -> None:
        for closed_link in [
            closed_link for closed_link in self._answered_confirmations if closed_link.closed
        ]:
            del self._answered_confirmations[closed_link]
        self._answered_confirmations[link] = {
            name: table.confirmed_at for name, table in self._tables.items()
        }
