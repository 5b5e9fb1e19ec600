"""Votes, case by case."""

import unittest
from random import Random
from typing import NamedTuple

from dewledge.core.proxy.calls import Statement
from dewledge.core.shared.positions import LogPosition
from dewledge.standin.database_node import DatabaseNode
from dewledge.standin.election import Election
from dewledge.standin.group_messages import GroupMessage, VoteReply, VoteRequest
from dewledge.standin.group_types import GroupTiming, ModelDatabase

NAMES = ("a", "b", "c")
OWN = LogPosition(1, 2)
OWN_TERM = 3
LONG_AGO = 100.0


class Vote(NamedTuple):
    name: str
    term: int
    position: LogPosition
    voted_for: str | None
    granted: bool
    granted_as_probe: bool


VOTES = (
    Vote("newer term, same log", 4, OWN, None, True, True),
    Vote("newer term, longer log", 4, LogPosition(1, 3), None, True, True),
    Vote("newer term, shorter log of a later term", 4, LogPosition(2, 1), None, True, True),
    Vote("newer term, shorter log", 4, LogPosition(1, 1), None, False, False),
    Vote("older term", 2, OWN, None, False, False),
    Vote("own term, no vote given yet", 3, OWN, None, True, False),
    Vote("own term, asked again", 3, OWN, "b", True, False),
    Vote("own term, vote given to another", 3, OWN, "c", False, False),
    Vote("newer term after a vote for another", 4, OWN, "c", True, True),
)


class ElectionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sent: list[GroupMessage] = []
        self.election = Election(NAMES, self.send, lambda node: None)

    def send(self, source: str, target: str, message: GroupMessage, now: float) -> None:
        self.sent.append(message)

    def node(self, voted_for: str | None = None) -> DatabaseNode:
        node = DatabaseNode(ModelDatabase("a", "zone", ""), GroupTiming(), Random(0))
        node.term = OWN_TERM
        node.voted_for = voted_for
        for _ in range(OWN.offset):
            node.log.append((Statement("SELECT 1"),), 1)
        return node

    def reply_to(self, node: DatabaseNode, request: VoteRequest, now: float) -> VoteReply:
        self.election.handle_request(node, request, now)
        reply = self.sent.pop()
        assert isinstance(reply, VoteReply)
        return reply

    def test_vote(self) -> None:
        for row in VOTES:
            with self.subTest(row.name):
                request = VoteRequest(row.term, "b", row.position, probe=False)
                node = self.node(row.voted_for)
                self.assertEqual(self.reply_to(node, request, LONG_AGO).granted, row.granted)
                self.assertEqual(node.term, max(OWN_TERM, row.term))

    def test_probe_changes_nothing(self) -> None:
        for row in VOTES:
            with self.subTest(row.name):
                request = VoteRequest(row.term, "b", row.position, probe=True)
                node = self.node(row.voted_for)
                reply = self.reply_to(node, request, LONG_AGO)
                self.assertEqual(reply.granted, row.granted_as_probe)
                self.assertEqual((node.term, node.voted_for), (OWN_TERM, row.voted_for))

    def test_probe_is_refused_while_a_primary_is_heard(self) -> None:
        node = self.node()
        node.heard_from_primary(LONG_AGO)
        request = VoteRequest(OWN_TERM + 1, "b", OWN, probe=True)
        self.assertFalse(self.reply_to(node, request, LONG_AGO + 0.1).granted)
        self.assertTrue(self.reply_to(node, request, LONG_AGO + 1.0).granted)

    def test_late_and_foreign_replies_elect_nobody(self) -> None:
        rows = (
            ("of an older term", VoteReply(2, "b", True, False, 3)),
            ("refused", VoteReply(3, "b", False, False, 3)),
            ("for a vote not asked for", VoteReply(3, "b", True, False, 3)),
            ("from a newer term", VoteReply(3, "b", True, False, 9)),
        )
        for name, reply in rows:
            with self.subTest(name):
                node = self.node()
                node.votes = {"a"}
                self.assertFalse(self.election.handle_reply(node, reply, LONG_AGO))
                self.assertFalse(node.is_primary)


if __name__ == "__main__":
    unittest.main()
