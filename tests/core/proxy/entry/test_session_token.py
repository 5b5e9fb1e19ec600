"""Session tokens and transaction ids: round trips, binding, rotation, bounds, fuzz."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.proxy.entry.session_token import (
    MAX_GROUPS,
    MAX_TOKEN_CHARACTERS,
    NO_FLOORS,
    SessionTokenCodec,
)
from dewledge.core.proxy.transaction_ids import gateway_of_transaction, make_transaction_id
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import BadSessionToken

CODEC = SessionTokenCodec([b"new", b"old"])
FLOORS = {"g": LogPosition(3, 14), "h": LogPosition(1, 5)}
SHORT = settings(max_examples=200, deadline=None, derandomize=True, database=None)


class SessionTokenTest(unittest.TestCase):
    def test_refused(self) -> None:
        """Rows: name, token, caller."""
        token = CODEC.seal("app", FLOORS)
        stranger = SessionTokenCodec([b"another"]).seal("app", FLOORS)
        cases = [
            ("another caller", token, "other"),
            ("another key", stranger, "app"),
            ("cut", token[:-1], "app"),
            ("longer", token + "A", "app"),
            ("no signature", token.split(".")[0], "app"),
            ("empty", "", "app"),
            ("too long", "a" * (MAX_TOKEN_CHARACTERS + 1), "app"),
            ("payload of another token", CODEC.seal("x", {}).split(".")[0] + token[-44:], "app"),
        ]
        for name, forged, caller in cases:
            with self.subTest(name), self.assertRaises(BadSessionToken):
                CODEC.open(forged, caller)

    def test_rotation(self) -> None:
        before = SessionTokenCodec([b"old"]).seal("app", FLOORS)
        self.assertEqual(CODEC.open(before, "app").by_group, FLOORS)
        after = CODEC.seal("app", FLOORS)
        with self.assertRaises(BadSessionToken):
            SessionTokenCodec([b"old"]).open(after, "app")

    def test_least_recently_raised_floors_are_dropped_first(self) -> None:
        floors = NO_FLOORS
        for number in range(3 * MAX_GROUPS):
            floors = floors.raised(f"group-{number:03}", LogPosition(1, number))
        floors = floors.raised("group-000", LogPosition(2, 0))
        kept = CODEC.open(CODEC.seal("app", floors.by_group), "app")
        self.assertLessEqual(len(kept.by_group), MAX_GROUPS)
        self.assertEqual(kept.floor("group-000"), LogPosition(2, 0))
        self.assertIsNone(kept.floor("group-001"))

    def test_floor_never_falls(self) -> None:
        floors = NO_FLOORS.raised("g", LogPosition(2, 5))
        self.assertIs(floors.raised("g", LogPosition(1, 99)), floors)

    @SHORT
    @given(
        st.text(max_size=80),
        st.dictionaries(st.text(max_size=200), st.tuples(st.integers(0, 2**62), st.integers(0))),
    )
    def test_any_floors_fit_and_come_back(
        self, caller: str, raw: dict[str, tuple[int, int]]
    ) -> None:
        floors = {group: LogPosition(term, offset % 2**62) for group, (term, offset) in raw.items()}
        token = CODEC.seal(caller, floors)
        self.assertLessEqual(len(token), MAX_TOKEN_CHARACTERS)
        opened = CODEC.open(token, caller).by_group
        self.assertEqual(opened, {group: floors[group] for group in opened})

    @SHORT
    @given(st.one_of(st.text(), st.binary().map(lambda data: data.decode("latin-1"))))
    def test_noise_is_refused(self, noise: str) -> None:
        with self.assertRaises(BadSessionToken):
            CODEC.open(noise, "app")

    @SHORT
    @given(st.integers(0), st.characters())
    def test_a_changed_character_is_refused(self, index: int, character: str) -> None:
        token = CODEC.seal("app", FLOORS)
        index %= len(token) - 1
        if token[index] == character:
            return
        with self.assertRaises(BadSessionToken):
            CODEC.open(token[:index] + character + token[index + 1 :], "app")


class TransactionIdTest(unittest.TestCase):
    def test_names_its_gateway(self) -> None:
        self.assertEqual(gateway_of_transaction(make_transaction_id("p-1", "0" * 32)), "p-1")

    @SHORT
    @given(st.text())
    def test_noise_names_none_or_what_it_says(self, noise: str) -> None:
        gateway = gateway_of_transaction(noise)
        if gateway is not None:
            self.assertTrue(noise.startswith(gateway + ":"))

    def test_malformed(self) -> None:
        for text in (
            "",
            ":",
            "p:",
            "p:12",
            ":00000000",
            "p:0000000g",
            "p q:00000000",
            "p:00000000\n",
        ):
            with self.subTest(text):
                self.assertIsNone(gateway_of_transaction(text))
