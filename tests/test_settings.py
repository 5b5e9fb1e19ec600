"""Settings: every finding together, flags over file, and the reference page equal to the model."""

import re
import tempfile
import tomllib
import unittest
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from pydantic import BaseModel

from dewledge.errors import ErrorCode, InvalidInput
from dewledge.settings import LimitSettings, ProxySettings, TimingSettings, load_settings

PAGE = Path(__file__).parent.parent / "docs" / "SETTINGS.md"
ROW = re.compile(r"^\| `([a-z0-9_.]+)` \| (.*?) \| (.*) \|$", re.MULTILINE)

GOOD: dict[str, Any] = {
    "name": "accra-1",
    "zone": "accra",
    "caller_address": "127.0.0.1:7400",
    "peer_address": "127.0.0.1:7401",
    "gossip_address": "[::1]:7402",
    "platform_address": "10.0.0.9:7900",
    "session_keys": ["k" * 32],
}
INVALID, UNKNOWN = ErrorCode.INVALID_SETTING, ErrorCode.UNKNOWN_FIELD

# text of the file, findings as (place, code), all of them
FINDINGS_TABLE: list[tuple[str, list[tuple[str, ErrorCode]]]] = [
    ("name = ", [("f.toml", INVALID)]),
    ("a = 1\na = 2", [("f.toml", INVALID)]),
    ("limits = 3", [("f.toml limits", INVALID)]),
    (
        "nmae = 'x'\n[limits]\nmax_body = 1\nmax_body_bytes = 0\n[timings]\nmax_deadline = inf",
        [
            ("f.toml limits.max_body_bytes", INVALID),
            ("f.toml limits.max_body", UNKNOWN),
            ("f.toml timings.max_deadline", INVALID),
            ("f.toml nmae", UNKNOWN),
        ],
    ),
    (
        "seeds = ['10.0.0.1', 'host:1', '10.0.0.1:0', '10.0.0.1:99999', '::1:5']",
        [(f"f.toml seeds[{index}]", INVALID) for index in range(5)],
    ),
    ("log_level = 'LOUD'", [("f.toml log_level", INVALID)]),
    ("session_keys = []", [("f.toml session_keys", INVALID)]),
    ("session_keys = ['short']", [("f.toml session_keys[0]", INVALID)]),
    (
        "bootstrap_operator_token_sha256 = 'plain'",
        [("f.toml bootstrap_operator_token_sha256", INVALID)],
    ),
]


class LoadTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.file = Path(directory.name) / "f.toml"

    def findings(self, overrides: dict[str, object]) -> list[tuple[str, ErrorCode]]:
        with self.assertRaises(InvalidInput) as caught:
            load_settings(self.file, overrides)
        return [(item.place, item.code) for item in caught.exception.findings]

    def test_every_finding_has_its_place_and_code(self) -> None:
        for text, expected in FINDINGS_TABLE:
            with self.subTest(text=text):
                self.file.write_text(text)
                overrides = {name: GOOD[name] for name in GOOD if f"{name} =" not in text}
                self.assertCountEqual(self.findings(overrides), expected)

    def test_unreadable_files(self) -> None:
        self.assertEqual(self.findings({}), [("f.toml", INVALID)])
        self.file.write_bytes(b"name = '\xff'")
        self.assertEqual(self.findings({}), [("f.toml", INVALID)])

    def test_flags_override_the_file_and_none_does_not(self) -> None:
        self.file.write_text("name = 'from-file'\nzone = 'accra'\n[limits]\nmax_connections = 7")
        overrides = {**GOOD, "name": None, "zone": "kumasi", "limits.max_body_bytes": 99}
        loaded = load_settings(self.file, overrides)
        self.assertEqual((loaded.name, loaded.zone), ("from-file", "kumasi"))
        self.assertEqual((loaded.limits.max_connections, loaded.limits.max_body_bytes), (7, 99))

    def test_secrets_are_not_shown(self) -> None:
        digest = "ab" * 32
        loaded = load_settings(None, {**GOOD, "bootstrap_operator_token_sha256": digest})
        self.assertNotIn("k" * 32, repr(loaded))
        self.assertNotIn(digest, repr(loaded))

    @settings(derandomize=True, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from([*ProxySettings.model_fields, "limits.max_body_bytes", "a.b.c"]),
            st.none()
            | st.text(max_size=5)
            | st.integers()
            | st.floats()
            | st.binary(max_size=3)
            | st.lists(st.text(max_size=3), max_size=2)
            | st.dictionaries(st.text(), st.none()),
            max_size=4,
        )
    )
    def test_any_values_are_taken_or_refused(self, values: dict[str, object]) -> None:
        try:
            load_settings(None, {**GOOD, **values})
        except InvalidInput as error:
            self.assertTrue(error.findings)


def expected_rows() -> dict[str, tuple[str, str]]:
    models: dict[str, type[BaseModel]] = {
        "": ProxySettings,
        "limits.": LimitSettings,
        "timings.": TimingSettings,
    }
    rows: dict[str, tuple[str, str]] = {}
    for prefix, model in models.items():
        for name, field in model.model_fields.items():
            if name in ("limits", "timings"):
                continue
            default = "required" if field.is_required() else f"`{default_text(field.default)}`"
            rows[prefix + name] = (default, field.description or "")
    return rows


def default_text(value: object) -> str:
    if value is None or value == "":
        return "none"
    return "[]" if value == () else str(value)


class PageTest(unittest.TestCase):
    def test_the_page_lists_every_setting_as_the_model_has_it(self) -> None:
        found = {name: (default, text) for name, default, text in ROW.findall(PAGE.read_text())}
        self.assertEqual(found, expected_rows())

    def test_the_example_of_the_page_is_right(self) -> None:
        (example,) = re.findall(r"```toml\n(.*?)```", PAGE.read_text(), re.DOTALL)
        ProxySettings.model_validate(tomllib.loads(example))


if __name__ == "__main__":
    unittest.main()
