"""Peer messages: what is encoded comes back the same, and foreign bytes are refused."""

import unittest

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.proxy import messages
from dewledge.core.proxy.calls import Access, Operation, Rows, Statement
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.shared.positions import LogPosition, TermStart
from dewledge.errors import ErrorCode, ProtocolError

POSITION = LogPosition(2, 7)
STATUS = DatabaseStatus("db", DatabaseRole.REPLICA, 2, POSITION, POSITION, (TermStart(2, 3),))

EXAMPLES: tuple[messages.PeerMessage, ...] = (
    messages.Hello(messages.PROTOCOL_VERSION, "proxy", 3),
    messages.StatementRequest(
        1, "caller", "group", "db", Operation.EXECUTE, Access.READ, 0.5, Statement("x", (1, None))
    ),
    messages.StatementDone(1, "db", DatabaseRole.PRIMARY, POSITION, Rows(("a",), (("é", 1.5),))),
    messages.StatementNotRun(1, ErrorCode.NOT_FRESH, status=STATUS),
    messages.StatementUnknown(1, ErrorCode.NOT_CONFIRMED),
    messages.CancelRequest(1),
    messages.GroupStatusRequest(1, "group", fresh=True),
    messages.GroupStatusAnswer(1, "group", (STATUS,), (0.25,)),
    messages.ConfigurationRequest(1, 9),
    messages.ConfigurationDelta(0, (b"x",)),
    messages.ConfigurationSnapshotMessage(1, 9, b"x"),
    messages.ConfigurationDigest(9),
    messages.Leaving("proxy"),
)


class MessageTest(unittest.TestCase):
    def test_every_message_comes_back_the_same(self) -> None:
        for message in EXAMPLES:
            with self.subTest(type(message).__name__):
                self.assertEqual(messages.decode(messages.encode(message)), message)

    @given(st.binary(max_size=64))
    @settings(derandomize=True, deadline=None)
    def test_any_bytes_decode_or_are_refused_with_the_code(self, data: bytes) -> None:
        try:
            messages.decode(data)
        except ProtocolError as error:
            self.assertEqual(error.code, ErrorCode.PROTOCOL)

    @given(st.recursive(st.integers() | st.text() | st.none(), st.lists, max_leaves=8))
    @settings(derandomize=True, deadline=None)
    def test_any_item_decodes_or_is_refused(self, item: object) -> None:
        try:
            messages.decode(cbor2.dumps(item))
        except ProtocolError as error:
            self.assertEqual(error.code, ErrorCode.PROTOCOL)
