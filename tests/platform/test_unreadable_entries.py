"""Whatever one entry of the store holds, the others hold.

Guards against an entry of another writer that hides databases, claims or the configuration.
"""

import unittest

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.sharing import messages
from dewledge.core.pooler.statements.statements import Reply, TransactionState
from dewledge.errors import ProtocolError
from dewledge.platform.operator_records import (
    hash_api_keys,
    parse_configuration,
    parse_database,
)
from dewledge.platform.status_row import parse_status
from dewledge.shell.pooler.links import peer_messages
from dewledge.shell.pooler.tables.coordination_rows import (
    read_acknowledgement,
    read_claim,
    read_member,
)

NESTED = b'{"service": "menus", "labels": ' + b"[" * 2000
JSON_FAULTS = (
    b"",
    b"null",
    b"[]",
    b"\xff\xfe",
    NESTED,
    b"[" * 300_000,
    b'{"service": "\\ud800"}',
    b'{"service": "menus", "address": "127.0.0.1:1", "slots": NaN}',
    b'{"service": "menus", "address": "127.0.0.1:1", "slots": ' + b"9" * 6000 + b"}",
    b'{"service": ["menus"], "address": {}}',
)
CYCLIC = bytes((0xD8, 0x1C, 0x81, 0xD8, 0x1D, 0x00))
"""A list that contains itself."""
CBOR_FAULTS = (b"", b"\xff", CYCLIC, b"\x81" * 5000, b"\x9b" + b"\xff" * 8, b"\xc0\x61x")
STATUS_FAULTS = (
    "",
    "primary",
    "primary \u00b2 1.1",
    "primary 1 1.\u00b9",
    "primary 1 1.1 \u00b3",
    "primary " + "9" * 5000 + " 1.1",
    "primary 1 1." + "9" * 5000,
)


class DecodersTest(unittest.TestCase):
    """Guards against a decoder that raises what its caller does not expect."""

    def check_json(self, value: bytes) -> None:
        self.assertIsInstance(hash_api_keys(value), bytes)
        for parse in (parse_configuration, lambda data: parse_database("d", data, 1)):
            try:
                parse(value)
            except ProtocolError:
                continue

    def check_cbor(self, data: bytes) -> None:
        row = StoreRow("claim/menus", data, 1)
        for read in (read_claim, read_member, read_acknowledgement):
            read(row)
        for decode in (peer_messages.decode, messages.decode):
            try:
                decode(data)
            except ProtocolError:
                continue

    def test_json_that_cannot_be_read(self) -> None:
        for value in JSON_FAULTS:
            with self.subTest(value[:60]):
                self.check_json(value)
                with self.assertRaises(ProtocolError):
                    parse_database("d", value, 1)
                with self.assertRaises(ProtocolError):
                    parse_configuration(value)

    def test_cbor_that_cannot_be_read(self) -> None:
        for data in CBOR_FAULTS:
            with self.subTest(data[:20]):
                self.check_cbor(data)
                self.assertIsNone(read_claim(StoreRow("claim/menus", data, 1)))

    def test_status_row_that_cannot_be_read(self) -> None:
        for text in STATUS_FAULTS:
            with self.subTest(text[:40]):
                status = parse_status(Reply(TransactionState.IDLE, (text,)))
                self.assertTrue(status is None or status.stopped_term == 0)

    @given(st.binary(max_size=200))
    def test_any_bytes(self, data: bytes) -> None:
        self.check_json(data)
        self.check_cbor(data)

    @given(st.recursive(st.none() | st.booleans() | st.integers() | st.text(), st.lists))
    def test_any_cbor(self, value: object) -> None:
        self.check_cbor(cbor2.dumps(value))

    @given(st.text(max_size=60))
    def test_any_status_row(self, text: str) -> None:
        parse_status(Reply(TransactionState.IDLE, (text,)))


if __name__ == "__main__":
    unittest.main()
