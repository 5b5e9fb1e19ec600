"""Contract of the datagram codec: bounded, authenticated, and unharmed by any bytes."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.proxy.membership.member import Claim, Location, Member, MemberState
from dewledge.core.proxy.membership.membership import Membership
from dewledge.core.proxy.membership.messages import (
    MAX_DATAGRAM_BYTES,
    MEMBERSHIP_VERSION,
    Ack,
    Body,
    Envelope,
    Nack,
    Ping,
    PingRequest,
    PullAnswer,
    PullRequest,
    SendDatagram,
    SyncAnswer,
    SyncRequest,
    decode_datagram,
    encode_datagram,
)
from dewledge.core.proxy.membership.settings import MembershipSettings
from dewledge.errors import ProtocolError

KEY = b"a key shared by all members"
LONGEST_NAME = "n" * 63
BODIES = [
    Ping(7, "proxy-2"),
    Ack(7, 1.5),
    Ack(7, None),
    SyncRequest(b"\0" * 256),
    PullAnswer(3, (Claim("a", 1, MemberState.ALIVE, Location("p", "g", "z")),), True),
]


NAMES = st.sampled_from([f"proxy-{number}" for number in range(1, 6)])
LOCATIONS = st.builds(Location, st.just("p:1"), st.text(max_size=20), st.text(max_size=20))
CLAIMS = st.builds(
    Claim,
    NAMES,
    st.integers(0, 2**60),
    st.sampled_from(MemberState),
    st.none() | LOCATIONS,
    st.none() | NAMES,
)
ENTRIES = st.lists(CLAIMS, max_size=8).map(tuple)
SEQUENCES = st.integers(-1, 2**24)
ANY_BODY = st.one_of(
    st.builds(Ping, SEQUENCES, NAMES),
    st.builds(Ack, SEQUENCES, st.none() | st.floats()),
    st.builds(PingRequest, SEQUENCES, NAMES),
    st.builds(Nack, SEQUENCES),
    st.builds(PullRequest, SEQUENCES, st.text(max_size=20)),
    st.builds(PullAnswer, SEQUENCES, ENTRIES, st.booleans()),
    st.builds(SyncRequest, st.binary(max_size=300)),
    st.builds(SyncAnswer, st.binary(max_size=20), ENTRIES),
)


def new_membership(key: bytes = b"") -> Membership:
    me = Member("proxy-1", "10.0.0.1:7001", "10.0.0.1:7002", "north-0", 1)
    membership = Membership(me, MembershipSettings(shared_key=key), Random(1))
    membership.start((), 0.0)
    return membership


def log_names(effects: list[object]) -> list[str]:
    return [str(getattr(effect, "name", "")) for effect in effects]


class DatagramTest(unittest.TestCase):
    def test_round_trip(self) -> None:
        for key in (b"", KEY):
            for body in BODIES:
                with self.subTest(body=body, key=key):
                    envelope = Envelope(MEMBERSHIP_VERSION, "proxy-1", 9, body)
                    self.assertEqual(decode_datagram(encode_datagram(envelope, key), key), envelope)

    def test_what_is_refused(self) -> None:
        good = encode_datagram(Envelope(MEMBERSHIP_VERSION, "a", 1, Ping(1, "b")), KEY)
        other = encode_datagram(Envelope(MEMBERSHIP_VERSION, "a", 1, Ping(1, "b")), b"other")
        long = Claim("n" * 64, 1, MemberState.ALIVE)
        named = Envelope(MEMBERSHIP_VERSION, "a", 1, Ping(1, "b"), (long,))
        late = encode_datagram(Envelope(MEMBERSHIP_VERSION + 1, "a", 1, Ping(1, "b")), KEY)
        cases = {
            "empty": b"",
            "truncated": good[:-1],
            "one bit wrong": bytes([good[0] ^ 1]) + good[1:],
            "other key": other,
            "later version": late,
            "a name too long": encode_datagram(named, KEY),
            "no authentication": good[:-16],
            "too long": good + b"\0" * MAX_DATAGRAM_BYTES,
        }
        for name, data in cases.items():
            with self.subTest(name):
                with self.assertRaises(ProtocolError):
                    decode_datagram(data, KEY)

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=300))
    def test_any_bytes_are_dropped_and_counted(self, data: bytes) -> None:
        membership = new_membership()
        effects = membership.handle_datagram(data, "10.0.0.9:7002", 0.1)
        self.assertIn("datagram_dropped", log_names(list(effects)))

    @settings(max_examples=200, deadline=None)
    @given(st.integers(0, 400), st.integers(0, 255), st.sampled_from(BODIES))
    def test_a_damaged_datagram_never_raises(self, place: int, value: int, body: Ping) -> None:
        data = bytearray(encode_datagram(Envelope(MEMBERSHIP_VERSION, "proxy-2", 1, body)))
        data[place % len(data)] = value
        membership = new_membership()
        membership.handle_datagram(bytes(data), "10.0.0.9:7002", 0.1)
        membership.tick(0.2)

    @settings(max_examples=150, deadline=None)
    @given(st.lists(st.tuples(NAMES, ANY_BODY, ENTRIES), max_size=6))
    def test_no_sequence_of_wild_claims_breaks_a_member(
        self, arrivals: list[tuple[str, Body, tuple[Claim, ...]]]
    ) -> None:
        membership = new_membership()
        now = 0.1
        for sender, body, claims in arrivals:
            envelope = Envelope(MEMBERSHIP_VERSION, sender, 1, body, claims)
            effects = membership.handle_datagram(encode_datagram(envelope), "a:1", now)
            effects += membership.tick(now)
            sent = [item for item in effects if isinstance(item, SendDatagram)]
            self.assertLessEqual(max((len(item.data) for item in sent), default=0), 1400)
            self.assertGreater(membership.next_wake(), now)
            now = min(membership.next_wake(), now + 0.3)
        self.assertEqual(membership.me.state, MemberState.ALIVE)
        self.assertIn(membership.me, membership.members)

    def test_an_age_below_zero_is_refused(self) -> None:
        for age in (-1.0, float("-inf"), float("nan")):
            with self.subTest(age=age), self.assertRaises(ProtocolError):
                envelope = Envelope(MEMBERSHIP_VERSION, "a", 1, Ack(1, age))
                decode_datagram(encode_datagram(envelope))

    def test_every_datagram_is_bounded_even_with_the_longest_names(self) -> None:
        membership = new_membership(KEY)
        sent: list[SendDatagram] = []
        for number in range(200):
            name = f"{LONGEST_NAME[:-3]}{number:03d}"
            location = Location("255.255.255.255:65535", "255.255.255.255:65535", LONGEST_NAME)
            claim = Claim(name, 2**40, MemberState.ALIVE, location)
            envelope = Envelope(MEMBERSHIP_VERSION, name, 2**31, SyncRequest(b"\1" * 256), (claim,))
            data = encode_datagram(envelope, KEY)
            now = 0.1 * number
            for effects in (membership.handle_datagram(data, "a:1", now), membership.tick(now)):
                sent += [item for item in effects if isinstance(item, SendDatagram)]
        self.assertGreater(len(sent), 200)
        self.assertLessEqual(max(len(item.data) for item in sent), MAX_DATAGRAM_BYTES)
