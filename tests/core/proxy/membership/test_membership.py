"""Contract of one member: what it answers, refutes, believes and announces."""

import unittest
from random import Random

from dewledge.core.proxy.effects import LogEvent
from dewledge.core.proxy.membership.member import Claim, Location, Member, MemberState
from dewledge.core.proxy.membership.membership import Membership
from dewledge.core.proxy.membership.messages import (
    MEMBERSHIP_VERSION,
    Ack,
    Body,
    Envelope,
    MembersChanged,
    MembershipEffect,
    Nack,
    News,
    PeerRevisionSeen,
    Ping,
    PingRequest,
    PullRequest,
    SendDatagram,
    StoreContactSeen,
    SyncAnswer,
    decode_datagram,
    encode_datagram,
)
from dewledge.core.proxy.membership.settings import (
    MembershipSettings,
    confirmations_needed,
    direct_probe_time,
    estimate_reachable,
    silence_limit,
    suspicion_time,
    transmit_limit,
)
from dewledge.core.proxy.ports import MachineState

SETTINGS = MembershipSettings()


def location(index: int) -> Location:
    return Location(f"10.0.0.{index}:7001", f"10.0.0.{index}:7002", "north-0")


def alive(index: int, incarnation: int = 1) -> Claim:
    return Claim(f"proxy-{index}", incarnation, MemberState.ALIVE, location(index))


def new_member(others: int = 3, now: float = 0.0) -> Membership:
    """Returns proxy-1, which knows proxy-2 and so on."""
    me = Member("proxy-1", "10.0.0.1:7001", "10.0.0.1:7002", "north-0", 1)
    membership = Membership(me, SETTINGS, Random(1))
    membership.start((), now)
    for index in range(2, 2 + others):
        receive(membership, News(), now, (alive(index),), sender=f"proxy-{index}")
    return membership


def receive(
    membership: Membership,
    body: Body,
    now: float,
    claims: tuple[Claim, ...] = (),
    sender: str = "proxy-2",
    revision: int = 0,
) -> list[MembershipEffect]:
    data = encode_datagram(Envelope(MEMBERSHIP_VERSION, sender, revision, body, claims))
    return membership.handle_datagram(data, f"10.0.0.{sender[-1]}:7002", now)


def sent(effects: list[MembershipEffect]) -> list[Envelope]:
    return [decode_datagram(item.data) for item in effects if isinstance(item, SendDatagram)]


def run(membership: Membership, start: float, end: float) -> list[MembershipEffect]:
    effects: list[MembershipEffect] = []
    now = start
    while now <= end:
        effects += membership.tick(now)
        now = max(now + 0.01, membership.next_wake())
    return effects


def answer_first_ping(membership: Membership) -> float:
    """Answers the first ping and returns when; the member then sees a majority."""
    for step in range(1, 30):
        now = 0.1 * step
        for envelope in sent(membership.tick(now)):
            if isinstance(envelope.body, Ping):
                ping = envelope.body
                receive(membership, Ack(ping.sequence), now, sender=ping.target)
                membership.tick(now)
                return now
    raise AssertionError("no ping was sent")


class AnswerTest(unittest.TestCase):
    def test_a_ping_is_answered_only_by_its_target(self) -> None:
        membership = new_member()
        (answer,) = sent(receive(membership, Ping(9, "proxy-1"), 0.1))
        self.assertEqual(answer.body, Ack(9, None))
        self.assertEqual(sent(receive(membership, Ping(9, "proxy-old"), 0.1)), [])

    def test_a_doubt_is_refuted_in_the_answer(self) -> None:
        for state in (MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT):
            with self.subTest(state=state):
                membership = new_member()
                doubt = (Claim("proxy-1", 1, state),)
                (answer,) = sent(receive(membership, Ping(9, "proxy-1"), 0.1, doubt))
                self.assertIn(Claim("proxy-1", 2, MemberState.ALIVE), answer.claims)

    def test_a_leaving_member_refutes_without_returning(self) -> None:
        membership = new_member()
        membership.leave(0.1)
        doubt = (Claim("proxy-1", 5, MemberState.DEAD),)
        (answer,) = sent(receive(membership, Ping(9, "proxy-1"), 0.2, doubt))
        self.assertIn(Claim("proxy-1", 6, MemberState.LEAVING), answer.claims)

    def test_who_is_believed_gone_is_told_so(self) -> None:
        membership = new_member()
        dead = Claim("proxy-2", 1, MemberState.DEAD)
        receive(membership, News(), 0.1, (dead,), sender="proxy-3")
        (answer,) = sent(receive(membership, Ping(9, "proxy-1"), 0.2, sender="proxy-2"))
        self.assertEqual(answer.claims[0], dead)

    def test_a_helper_passes_the_answer_on_or_says_that_there_was_none(self) -> None:
        membership = new_member()
        effects = receive(membership, PingRequest(77, "proxy-3"), 0.1)
        (ping,) = [item for item in sent(effects) if isinstance(item.body, Ping)]
        assert isinstance(ping.body, Ping)
        passed = sent(receive(membership, Ack(ping.body.sequence), 0.2, sender="proxy-3"))
        self.assertEqual([item.body for item in passed], [Ack(77, None)])
        receive(membership, PingRequest(78, "proxy-3"), 0.3)
        bodies = [item.body for item in sent(run(membership, 0.31, 0.7))]
        self.assertIn(Nack(78), bodies)

    def test_peers_with_another_revision_are_reported(self) -> None:
        membership = new_member()
        membership.local_revision = 4
        self.assertIn(PeerRevisionSeen("proxy-2", 6), receive(membership, News(), 0.1, revision=6))
        same = receive(membership, News(), 0.2, revision=4)
        self.assertEqual([item for item in same if isinstance(item, PeerRevisionSeen)], [])

    def test_store_contact_is_dated_from_our_question(self) -> None:
        cases = [
            # our revision, the peer's revision, whether its word counts
            (5, 5, True),
            (6, 5, True),
            (4, 5, False),
        ]
        for ours, theirs, counts in cases:
            with self.subTest(ours=ours, theirs=theirs):
                membership = new_member(others=1)
                membership.local_revision = ours
                asked_at, ping = next(
                    (now, item.body)
                    for now in (0.1 * step for step in range(1, 30))
                    for item in sent(membership.tick(now))
                    if isinstance(item.body, Ping)
                )
                late = asked_at + 0.2
                effects = receive(membership, Ack(ping.sequence, 1.0), late, revision=theirs)
                expected = [StoreContactSeen(asked_at - 1.0, theirs)] if counts else []
                found = [item for item in effects if isinstance(item, StoreContactSeen)]
                self.assertEqual(found, expected)


class BeliefTest(unittest.TestCase):
    def test_a_silent_member_becomes_suspect_then_dead(self) -> None:
        membership = new_member(others=1)
        effects = run(membership, 0.1, 20.0)
        names = [item.name for item in effects if isinstance(item, LogEvent)]
        self.assertEqual(names, ["member_suspect", "member_dead"])
        self.assertEqual([member.name for member in membership.members], ["proxy-1"])
        self.assertEqual((membership.reachable_count, membership.known_count), (1, 2))

    def test_a_leaving_member_that_falls_silent_is_never_alive_again(self) -> None:
        membership = new_member(others=1)
        leaving = Claim("proxy-2", 1, MemberState.LEAVING)
        receive(membership, News(), 0.1, (leaving,))
        states = set()
        for effect in run(membership, 0.2, 20.0):
            if isinstance(effect, MembersChanged):
                states |= {item.state for item in effect.members if item.name == "proxy-2"}
        self.assertEqual(states, {MemberState.LEAVING})
        self.assertEqual(len(membership.members), 1)

    def test_a_planned_end_does_not_count_against_a_majority(self) -> None:
        membership = new_member(others=2)
        receive(membership, News(), 0.1, (Claim("proxy-2", 1, MemberState.LEFT),))
        self.assertEqual(membership.known_count, 2)

    def test_a_death_found_in_a_table_is_checked_and_not_believed(self) -> None:
        membership = new_member()
        answered_at = answer_first_ping(membership)
        entries = (Claim("proxy-3", 1, MemberState.DEAD, location(3)),)
        receive(membership, SyncAnswer(b"", entries), answered_at)
        self.assertIn("proxy-3", [member.name for member in membership.members])
        pings = [item.body for item in sent(run(membership, answered_at, answered_at + 1.2))]
        targets = [body.target for body in pings if isinstance(body, Ping)]
        self.assertEqual(targets[:1], ["proxy-3"])

    def test_without_a_majority_it_asks_more_often(self) -> None:
        for answered, expected in ((False, 5), (True, 1)):
            with self.subTest(answered=answered):
                membership = new_member()
                start = answer_first_ping(membership) if answered else 0.1
                bodies = [item.body for item in sent(run(membership, start, start + 0.95))]
                pings = sum(isinstance(body, Ping) for body in bodies)
                self.assertLessEqual(abs(pings - expected), 1)

    def test_a_frozen_process_blames_nobody(self) -> None:
        membership = new_member()
        run(membership, 0.1, 1.5)
        effects = membership.tick(60.0)
        names = [item.name for item in effects if isinstance(item, LogEvent)]
        self.assertEqual(names, ["process_was_paused"])
        self.assertEqual(len(membership.members), 4)
        self.assertEqual(membership.reachable_count, 1)

    def test_after_a_tick_the_next_is_never_due_at_once(self) -> None:
        for others in (0, 1, 3):
            for seeds in ((), ("10.0.0.9:7002",)):
                with self.subTest(others=others, seeds=seeds):
                    membership = new_member(others)
                    membership.start(seeds, 0.0)
                    now = 0.0
                    while now < 40.0:
                        membership.tick(now)
                        self.assertGreater(membership.next_wake(), now)
                        now = membership.next_wake()

    def test_a_newcomer_is_probed_within_the_present_round(self) -> None:
        membership = new_member(others=20)
        answer_first_ping(membership)
        location_of_new = Location("10.0.0.99:7001", "10.0.0.99:7002", "north-0")
        newcomer = Claim("newcomer", 1, MemberState.ALIVE, location_of_new)
        receive(membership, News(), 1.0, (newcomer,))
        probed = []
        now = 1.0
        while len(probed) < 21:
            for envelope in sent(membership.tick(now)):
                if isinstance(envelope.body, Ping):
                    ping = envelope.body
                    probed.append(ping.target)
                    receive(membership, Ack(ping.sequence), now, sender=ping.target)
            now = membership.next_wake()
        self.assertIn("newcomer", probed)

    def test_a_lost_link_is_followed_by_a_probe_at_once(self) -> None:
        membership = new_member()
        bodies = [item.body for item in sent(membership.note_peer_lost("proxy-4", 0.01))]
        self.assertIn("proxy-4", [body.target for body in bodies if isinstance(body, Ping)])

    def test_a_newcomer_without_contact_is_no_majority(self) -> None:
        me = Member("proxy-1", "10.0.0.1:7001", "10.0.0.1:7002", "north-0", 1)
        membership = Membership(me, SETTINGS, Random(1))
        membership.start(("10.0.0.2:7002", "10.0.0.3:7002"), 0.0)
        self.assertEqual((membership.reachable_count, membership.known_count), (1, 3))
        self.assertFalse(membership.is_joined)

    def test_the_machine_list_gives_seeds_but_no_members(self) -> None:
        me = Member("proxy-1", "10.0.0.1:7001", "10.0.0.1:7002", "north-0", 1)
        membership = Membership(me, SETTINGS, Random(1))
        membership.start((), 0.0)
        machines = (
            MachineState("proxy-1", "10.0.0.1:7001", "north-0"),
            MachineState("proxy-2", "10.0.0.2:7001", "north-0", gossip_address="10.0.0.2:7002"),
            MachineState("proxy-3", "10.0.0.3:7001", "north-0", leaving=True),
        )
        effects = membership.update_machine_list(machines, 0.1)
        asked = [item.address for item in effects if isinstance(item, SendDatagram)]
        self.assertEqual(asked, ["10.0.0.2:7002"])
        self.assertIsInstance(sent(effects)[0].body, PullRequest)
        self.assertEqual(len(membership.members), 1)


class RuleTest(unittest.TestCase):
    def test_suspicion_time_falls_with_confirmations(self) -> None:
        times = [suspicion_time(SETTINGS, 850, count) for count in range(5)]
        self.assertEqual(times, sorted(times, reverse=True))
        self.assertAlmostEqual(times[0], 3 * times[3])
        self.assertEqual(times[3], times[4])

    def test_small_clusters(self) -> None:
        self.assertEqual(
            [confirmations_needed(SETTINGS, size) for size in (1, 3, 4, 9)], [0, 0, 1, 3]
        )
        self.assertEqual(transmit_limit(SETTINGS, 3), SETTINGS.transmit_minimum)

    def test_any_probe_interval_leaves_time_for_helpers_and_for_answers(self) -> None:
        for interval in (0.1, 0.5, 1.0, 5.0):
            with self.subTest(interval=interval):
                settings = MembershipSettings(probe_interval=interval)
                self.assertLess(direct_probe_time(settings), interval)
                self.assertGreater(silence_limit(settings), interval)

    def test_reachable_estimates(self) -> None:
        cases = [
            # living, answered, asked, estimate
            (1, 0, 0, 1),
            (3, 0, 0, 1),
            (3, 0, 8, 1),
            (3, 8, 8, 3),
            (850, 4, 8, 425),
            (850, 8, 8, 850),
        ]
        for living, answered, asked, expected in cases:
            with self.subTest(living=living, answered=answered, asked=asked):
                self.assertEqual(estimate_reachable(living, answered, asked), expected)
