"""Rows of other releases in the store are read: fields may be missing, or unknown here."""

import unittest

import cbor2

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.failover.messages import Claim
from dewledge.shell.pooler.tables.coordination_rows import read_claim

STORED: dict[str, object] = {"holder": "a", "replaced": "p"}


class ClaimRowTest(unittest.TestCase):
    def read(self, **fields: object) -> Claim | None:
        return read_claim(StoreRow("claim/menus", cbor2.dumps({**STORED, **fields}), 7))

    def test_claim_without_a_term_names_none(self) -> None:
        self.assertEqual(self.read(), Claim("a", "p", 7))

    def test_claim_with_a_term_and_an_unknown_field(self) -> None:
        self.assertEqual(self.read(term=3, later=True), Claim("a", "p", 7, term=3))

    def test_claim_with_a_term_of_another_type_is_not_read(self) -> None:
        self.assertIsNone(self.read(term="three"))
