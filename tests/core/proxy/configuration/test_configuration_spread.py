"""Contract of the configuration's spread: everywhere, never backwards, whatever goes wrong."""

import unittest
from random import Random

from dewledge.core.proxy.configuration.codec import encode_change, encode_snapshot
from dewledge.core.proxy.configuration.configuration import ChangeSet, Configuration, ResourceKey
from dewledge.core.proxy.configuration.resources import Kind, ProxySpec, Resource
from dewledge.core.proxy.configuration.spread import (
    ConfigurationChanged,
    ConfigurationSpread,
    SpreadEffect,
    SpreadMessage,
    SpreadSettings,
    with_changes,
)
from dewledge.core.proxy.effects import LogEvent, SendToPeer
from dewledge.core.proxy.membership.member import Member
from dewledge.core.proxy.messages import (
    ConfigurationDelta,
    ConfigurationDigest,
    ConfigurationRequest,
    ConfigurationSnapshotMessage,
)

PEERS = tuple(Member(f"peer-{number}", "p", "g", "north-0") for number in range(6))


def change(revision: int) -> ChangeSet:
    item = Resource(Kind.PROXY, f"r-{revision % 5}", (("revision", str(revision)),), ProxySpec())
    return ChangeSet(revision, f"change-{revision}", "operator", (item,))


def at_revision(revision: int, history: int = 256) -> ConfigurationSpread:
    spread = ConfigurationSpread("me", Random(1), SpreadSettings(history_length=history))
    spread.set_members(PEERS, 0.0)
    for number in range(1, revision + 1):
        spread.adopt_change(change(number), 0.0)
    return spread


def delta(*revisions: int) -> ConfigurationDelta:
    return ConfigurationDelta(0, tuple(encode_change(change(number)) for number in revisions))


def snapshot(revision: int) -> ConfigurationSnapshotMessage:
    configuration = at_revision(revision).configuration
    return ConfigurationSnapshotMessage(0, revision, encode_snapshot(configuration))


def sent(effects: list[SpreadEffect]) -> list[SendToPeer]:
    return [item for item in effects if isinstance(item, SendToPeer)]


ARRIVALS: list[tuple[str, list[SpreadMessage], int]] = [
    # what arrives at revision 3, and the revision that is then in force
    ("the next change", [delta(4)], 4),
    ("doubled", [delta(4), delta(4)], 4),
    ("reordered", [delta(5), delta(4)], 4),
    ("reordered, then again", [delta(5), delta(4), delta(5)], 5),
    ("overlapping runs", [delta(2, 3, 4), delta(3, 4, 5)], 5),
    ("an old change", [delta(2)], 3),
    ("a gap", [delta(6)], 3),
    ("a newer snapshot", [snapshot(8)], 8),
    ("an older snapshot", [snapshot(2)], 3),
    ("a snapshot, then an old change", [snapshot(8), delta(4)], 8),
    ("not a change", [ConfigurationDelta(0, (b"\xff", b""))], 3),
    ("not a snapshot", [ConfigurationSnapshotMessage(0, 9, b"\x00")], 3),
]


class SpreadTest(unittest.TestCase):
    def test_arrivals_table(self) -> None:
        for name, messages, expected in ARRIVALS:
            with self.subTest(name):
                spread = at_revision(3)
                seen = [3]
                for message in messages:
                    for effect in spread.handle_peer_message("peer-1", message, 1.0):
                        if isinstance(effect, ConfigurationChanged):
                            seen.append(effect.configuration.revision)
                self.assertEqual(spread.configuration.revision, expected)
                self.assertEqual(seen, sorted(set(seen)))

    def test_a_new_change_is_pushed_on_once_and_not_back(self) -> None:
        spread = at_revision(3)
        pushed = sent(spread.handle_peer_message("peer-1", delta(4), 1.0))
        self.assertEqual(len(pushed), 4)
        self.assertNotIn("peer-1", {item.peer for item in pushed})
        self.assertEqual(sent(spread.handle_peer_message("peer-2", delta(4), 1.0)), [])

    def test_a_gap_is_asked_for(self) -> None:
        asked = sent(at_revision(3).handle_peer_message("peer-1", delta(6), 1.0))
        self.assertEqual(asked, [SendToPeer("peer-1", ConfigurationRequest(1, 3))])

    def test_a_silent_peer_is_given_up_for_another(self) -> None:
        spread = at_revision(3)
        first = sent(spread.handle_peer_revision("peer-1", 5, 1.0))
        self.assertEqual([item.peer for item in first], ["peer-1"])
        self.assertEqual(sent(spread.handle_peer_revision("peer-2", 5, 1.1)), [])
        self.assertEqual(sent(spread.tick(1.9)), [])
        second = sent(spread.tick(spread.next_wake() or 0.0))
        self.assertEqual([item.peer for item in second], ["peer-2"])

    def test_answers_to_requests(self) -> None:
        cases = [
            (20, 256, 15, ConfigurationDelta),
            (20, 5, 15, ConfigurationDelta),
            (20, 5, 14, ConfigurationSnapshotMessage),
            (20, 256, 20, None),
            (20, 256, 30, None),
        ]
        for revision, history, asked, kind in cases:
            with self.subTest(history=history, asked=asked):
                spread = at_revision(revision, history)
                request = ConfigurationRequest(7, asked)
                answers = sent(spread.handle_peer_message("peer-1", request, 1.0))
                self.assertEqual([type(item.message) for item in answers], [kind] if kind else [])
                self.assertTrue(all(item.message.correlation == 7 for item in answers))

    def test_a_digest_is_answered_with_what_is_newer(self) -> None:
        answers = sent(at_revision(5).handle_peer_message("peer-1", ConfigurationDigest(3), 1.0))
        self.assertEqual([item.message for item in answers], [delta(4, 5)])
        asked = sent(at_revision(5).handle_peer_message("peer-1", ConfigurationDigest(9), 1.0))
        self.assertEqual([item.message for item in asked], [ConfigurationRequest(1, 5)])

    def test_a_newcomer_gets_all_from_a_peer(self) -> None:
        newcomer = ConfigurationSpread("new", Random(2))
        newcomer.set_members(PEERS, 0.0)
        (request,) = sent(newcomer.handle_peer_revision("peer-1", 20, 0.0))
        old = at_revision(20, history=5)
        (answer,) = sent(old.handle_peer_message("new", request.message, 0.1))
        newcomer.handle_peer_message("peer-1", answer.message, 0.2)
        self.assertEqual(newcomer.configuration.resources, old.configuration.resources)
        self.assertEqual(newcomer.configuration.revision, 20)

    def test_a_rejected_message_is_logged(self) -> None:
        effects = at_revision(3).handle_peer_message("peer-1", ConfigurationDelta(0, (b"x",)), 1.0)
        names = [item.name for item in effects if isinstance(item, LogEvent)]
        self.assertEqual(names, ["configuration_message_dropped"])

    def test_changes_taken_together_equal_changes_taken_singly(self) -> None:
        changes = [
            change(1),
            change(2),
            ChangeSet(3, "c", "o", (), (ResourceKey(Kind.PROXY, "r-1"),)),
        ]
        singly = Configuration(0, ())
        for item in changes:
            singly = singly.with_change(item)
        together = with_changes(Configuration(0, ()), changes)
        self.assertEqual(singly.resources, together.resources)
        self.assertEqual(singly.revision, together.revision)
