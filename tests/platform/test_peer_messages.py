"""Datagrams between poolers: each kind comes out as it went in, and what is none is refused."""

import unittest

import cbor2

from dewledge.core.pooler.rate_limits.messages import (
    QuotaAnswer,
    QuotaQuestion,
    TokenGrant,
    TokenWant,
)
from dewledge.core.pooler.rate_limits.slots import Slot
from dewledge.errors import ProtocolError
from dewledge.shell.pooler.links.peer_messages import (
    IndirectProbeAnswer,
    IndirectProbeQuestion,
    LeaderNotice,
    PeerMessage,
    decode,
    encode,
)

MESSAGES: tuple[PeerMessage, ...] = (
    IndirectProbeQuestion("a", "db"),
    IndirectProbeAnswer("b", "db", True, 3),
    LeaderNotice("a", "db"),
    QuotaQuestion("a", 1, Slot(2, 1), True, None, (TokenWant("north", 1),)),
    QuotaQuestion("a", 2, Slot(2, 1), False, 17.25),
    QuotaAnswer("b", 1, Slot(2, 1), 17.5, True, (TokenGrant("north", 0, 40),)),
)
UNREADABLE = (b"", b"\xff", cbor2.dumps([]), cbor2.dumps(["quota_ask", 1]), cbor2.dumps({1: 2}))


class CodecTest(unittest.TestCase):
    def test_each_message(self) -> None:
        for message in MESSAGES:
            with self.subTest(type(message).__name__):
                self.assertEqual(decode(encode(message)), message)

    def test_what_is_no_message(self) -> None:
        for data in UNREADABLE:
            with self.subTest(data), self.assertRaises(ProtocolError):
                decode(data)

    def test_a_vote_fits_in_few_bytes(self) -> None:
        self.assertLess(len(encode(MESSAGES[4])), 60)


if __name__ == "__main__":
    unittest.main()
