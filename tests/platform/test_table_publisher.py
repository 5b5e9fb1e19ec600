"""Followers switch sources and read the store in time; new confirmations are sent at once."""

import unittest
from typing import Any

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.sharing.messages import FollowTables, TablePosition, TablesAnswered
from dewledge.core.pooler.sharing.table_cache import TableDelta
from dewledge.shell.pooler.tables.followed_table import FollowedTable
from dewledge.shell.pooler.tables.table_follower import (
    ANSWER_TIMEOUT_SECONDS,
    MAX_ANSWER_GAP_SECONDS,
    MAX_ANSWER_SECONDS,
    TableFollower,
)
from dewledge.shell.pooler.tables.table_publisher import MAX_HOLD_SECONDS, TablePublisher
from tests.core.pooler.harness import ModelScheduler


class Link:
    """A link that keeps what is sent on it."""

    closed = False
    is_usable = True
    heard_at = -1e9
    """When bytes came last."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.verifications = 0

    def verify(self) -> None:
        self.verifications += 1

    def send(self, message: Any) -> None:
        self.sent.append(message)

    def when_open(self, opened: Any, _failed: Any) -> None:
        opened()


class Links:
    """The only link of a follower."""

    def __init__(self, link: Link) -> None:
        self.link = link

    def add_user(self, user: Any) -> None:
        pass

    def to(self, _address: str) -> Link:
        return self.link


def new_table() -> FollowedTable:
    return FollowedTable("op", 1.0, lambda *_: None, lambda *_: None)


class DoubtTest(unittest.TestCase):
    def reads(self, members: int, seconds: float, is_known: bool = True) -> list[float]:
        """Returns the times of store reads by a follower whose source never confirms the table.

        is_known: whether the table was read once, at the start.
        """
        scheduler = ModelScheduler()
        loop: Any = scheduler
        links: Any = Links(Link())
        read_at: list[float] = []
        table = new_table()
        if is_known:
            table.apply(TableDelta((), 1, True), scheduler.now())
        follower = TableFollower(
            loop,
            links,
            {"op": table},
            lambda _: read_at.append(scheduler.now()),
            lambda: None,
            lambda: members,
        )
        follower.follow(["source"])
        scheduler.advance(seconds)
        return read_at

    def test_while_no_source_has_sure_word_the_store_is_read_often(self) -> None:
        read_at = self.reads(9, 20.0)
        gaps = [later - at for at, later in zip(read_at, read_at[1:], strict=False)]
        self.assertLess(max(gaps), 1.0)

    def test_many_processes_read_less_often_each(self) -> None:
        self.assertLess(len(self.reads(850, 60.0)), 12)

    def test_a_table_whose_first_read_is_under_way_is_not_read_beside_it(self) -> None:
        """The watcher retries a failed first read, so the follower need not read the table."""
        self.assertEqual(self.reads(9, 5.0, is_known=False), [])


class LongAnswerTest(unittest.TestCase):
    """A large answer takes seconds on a slow link that several followers share."""

    def setUp(self) -> None:
        self.scheduler = ModelScheduler()
        loop: Any = self.scheduler
        self.link = Link()
        links: Any = Links(self.link)
        self.follower = TableFollower(
            loop, links, {"op": new_table()}, lambda _: None, lambda: None, lambda: 9
        )
        self.follower.follow(["first", "second"])
        self.scheduler.advance(0.0)

    def wait(self, seconds: float, hears: bool) -> None:
        for _ in range(round(seconds / 0.1)):
            if hears:
                self.link.heard_at = self.scheduler.now()
            self.scheduler.advance(0.1)

    def test_a_source_whose_answer_goes_on_coming_is_not_asked_elsewhere(self) -> None:
        self.wait(MAX_ANSWER_SECONDS - 0.5, hears=True)
        self.assertEqual(self.follower.source, "first")
        self.assertEqual(len(self.link.sent), 1)

    def test_one_that_never_comes_to_an_end_is_left(self) -> None:
        self.wait(MAX_ANSWER_SECONDS + 0.5, hears=True)
        self.assertEqual(self.follower.source, "second")
        self.assertEqual(self.link.verifications, 0)

    def test_one_of_which_nothing_more_comes_is_left_soon(self) -> None:
        self.wait(2.0, hears=True)
        self.wait(MAX_ANSWER_GAP_SECONDS + 0.5, hears=False)
        self.assertEqual(self.follower.source, "second")
        self.assertEqual(self.link.verifications, 1)

    def test_one_that_says_nothing_is_left_as_before(self) -> None:
        self.wait(ANSWER_TIMEOUT_SECONDS + 0.1, hears=False)
        self.assertEqual(self.follower.source, "second")
        self.assertEqual(self.link.verifications, 1)


class PublisherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = ModelScheduler()
        loop: Any = self.scheduler
        self.table = new_table()
        self.table.apply(TableDelta((StoreRow("k", b"v", 5),), 5, True), self.scheduler.now())
        self.publisher = TablePublisher(loop, {"op": self.table})
        self.link: Any = Link()
        self.publisher.handle_request(self.link, FollowTables(1, (TablePosition("op", 5),)))

    def confirm(self) -> None:
        self.table.apply(TableDelta((), 5, False), self.scheduler.now())
        self.publisher.answer_held_requests()

    def test_younger_word_is_told_at_once_with_the_time_that_the_question_stood(self) -> None:
        self.scheduler.advance(0.5)
        self.assertEqual(self.link.sent, [])
        self.confirm()
        (answer,) = self.link.sent
        self.assertAlmostEqual(answer.held_seconds, 0.5)
        self.assertAlmostEqual(answer.news[0].age_seconds, 0.0)

    def test_word_that_came_while_no_question_stood_is_told_with_the_next_one(self) -> None:
        self.confirm()
        self.scheduler.advance(0.2)
        self.confirm()
        self.assertEqual(len(self.link.sent), 1)
        question = FollowTables(2, (TablePosition("op", 5),))
        self.publisher.handle_request(self.link, question)
        self.assertAlmostEqual(self.link.sent[-1].news[0].age_seconds, 0.0)
        self.publisher.handle_request(self.link, question)
        self.assertEqual(len(self.link.sent), 2, "the same word is not told again at once")

    def test_without_any_the_question_is_answered_in_the_end(self) -> None:
        self.scheduler.advance(MAX_HOLD_SECONDS + 0.1)
        (answer,) = self.link.sent
        self.assertAlmostEqual(answer.held_seconds, MAX_HOLD_SECONDS)
        self.assertAlmostEqual(answer.news[0].age_seconds, MAX_HOLD_SECONDS)

    def test_what_a_follower_knows_is_as_old_as_at_its_source(self) -> None:
        loop: Any = self.scheduler
        link = Link()
        links: Any = Links(link)
        known = new_table()
        told: list[float] = []
        follower = TableFollower(
            loop,
            links,
            {"op": known},
            lambda _: None,
            lambda: told.append(self.scheduler.now()),
            lambda: 9,
        )
        follower.follow(["source"])
        self.scheduler.advance(0.0)
        asked_at = self.scheduler.now()
        question = link.sent[-1]
        publisher = TablePublisher(loop, {"op": self.table})
        publisher.handle_request(
            self.link, FollowTables(question.number, (TablePosition("op", 5),))
        )
        self.scheduler.advance(0.5)
        self.table.apply(TableDelta((), 5, False), self.scheduler.now())
        publisher.answer_held_requests()
        answer = self.link.sent[-1]
        assert isinstance(answer, TablesAnswered)
        self.scheduler.advance(0.2)
        follower.link_received(links.link, answer)
        self.assertAlmostEqual(known.confirmed_at, asked_at + 0.5)
        self.assertEqual(len(told), 1)


if __name__ == "__main__":
    unittest.main()
