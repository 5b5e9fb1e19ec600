"""Change sets and snapshots come back as they were; other bytes are refused with a code."""

import unittest

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.proxy.configuration.codec import (
    FORMAT,
    decode_change,
    decode_snapshot,
    encode_change,
    encode_snapshot,
)
from dewledge.core.proxy.configuration.configuration import ChangeSet, Configuration, ResourceKey
from dewledge.core.proxy.configuration.resources import GroupSpec, Kind, ProxySpec, Resource
from dewledge.errors import ProtocolError
from tests.core.proxy.configuration.test_authorization import CONFIGURATION

CHANGE = ChangeSet(
    7,
    "change-1",
    "ama",
    tuple(CONFIGURATION.resources.values()),
    (ResourceKey(Kind.GROUP, "old"),),
)
BAD_CONTENT = [
    Resource(Kind.GROUP, "wrong", (), ProxySpec()),
    Resource(Kind.GROUP, "permits", (), GroupSpec()),
]


class ConfigurationCodecTest(unittest.TestCase):
    def test_a_change_comes_back(self) -> None:
        self.assertEqual(decode_change(encode_change(CHANGE)), CHANGE)

    def test_a_snapshot_comes_back_and_has_one_form(self) -> None:
        reordered = Configuration(1, reversed(list(CONFIGURATION.resources.values())))
        self.assertEqual(encode_snapshot(CONFIGURATION), encode_snapshot(reordered))
        decoded = decode_snapshot(encode_snapshot(CONFIGURATION))
        self.assertEqual(decoded.revision, CONFIGURATION.revision)
        self.assertEqual(decoded.resources, CONFIGURATION.resources)

    def test_wrong_spec_and_doubled_name_are_refused(self) -> None:
        for resource in BAD_CONTENT:
            with self.subTest(resource=resource), self.assertRaises(ProtocolError):
                decode_change(encode_change(ChangeSet(1, "c", "a", (*CHANGE.put, resource))))

    def test_an_unknown_format_is_refused(self) -> None:
        _, content = cbor2.loads(encode_change(CHANGE))
        with self.assertRaises(ProtocolError):
            decode_change(cbor2.dumps([FORMAT + 1, content]))

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=64))
    def test_any_bytes_are_refused_with_a_code(self, data: bytes) -> None:
        self.check_refused(data)

    @settings(derandomize=True, deadline=None)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=4),
            lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner),
            max_leaves=12,
        )
    )
    def test_any_item_is_refused_with_a_code(self, item: object) -> None:
        self.check_refused(cbor2.dumps([FORMAT, item]))

    @settings(derandomize=True, deadline=None)
    @given(st.integers(0, 400), st.integers(0, 255))
    def test_a_damaged_change_is_read_or_refused(self, place: int, byte: int) -> None:
        data = bytearray(encode_change(CHANGE))
        data[place % len(data)] = byte
        try:
            decode_change(bytes(data))
        except ProtocolError:
            return

    def check_refused(self, data: bytes) -> None:
        for decode in (decode_change, decode_snapshot):
            with self.assertRaises(ProtocolError):
                decode(data)


if __name__ == "__main__":
    unittest.main()
