"""`dewledge check`: all findings together, with exit code 0 or 2 and nothing else."""

import tempfile
import unittest
from pathlib import Path

from tests.cli.stub_proxy import run_command

SETTINGS = """
name = "accra-1"
zone = "accra"
caller_address = "127.0.0.1:7400"
peer_address = "127.0.0.1:7401"
gossip_address = "127.0.0.1:7402"
platform_address = "127.0.0.1:7900"
session_keys = ["01234567890123456789012345678901"]
"""
GROUP = "{kind: Group, metadata: {name: g}}\n"
DATABASE = (
    "{kind: Database, metadata: {name: d}, spec: {group: g, address: '10.0.0.1:1', zone: z}}\n"
)

# name of the file, content, further arguments, exit code, findings by their first two words
TABLE: list[tuple[str, str, list[str], int, list[str]]] = [
    ("p.toml", SETTINGS, [], 0, []),
    (
        "p.toml",
        SETTINGS + "zoen = 'x'\n[limits]\nmax_connections = 0",
        [],
        2,
        ["p.toml limits.max_connections: invalid_setting", "p.toml zoen: unknown_field"],
    ),
    ("r.yaml", GROUP + "---\n" + DATABASE, [], 0, []),
    ("r.yml", DATABASE, [], 2, ["r.yml Database d spec.group: dangling_reference"]),
    ("r.yaml", DATABASE, ["--partial"], 0, []),
    (
        "r.yaml",
        "{kind: Group, metadata: {name: '-'}, x: 1}\n---\n{kind: Pod}",
        [],
        2,
        ["r.yaml#1 x: unknown_field", "r.yaml#2 kind: unknown_kind"],
    ),
    ("r.json", "{}", [], 2, ["r.json: malformed_request"]),
]


class CheckTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)

    def test_table(self) -> None:
        for name, content, arguments, exit_code, expected in TABLE:
            with self.subTest(name=name, content=content):
                file = self.directory / name
                file.write_text(content)
                result = run_command("check", str(file), *arguments)
                found = [": ".join(line.split(": ")[:2]) for line in result.errors.splitlines()]
                self.assertEqual((result.exit_code, found), (exit_code, expected))
                self.assertEqual(bool(result.output), exit_code == 0)

    def test_a_file_that_cannot_be_read(self) -> None:
        for name in ("none.toml", "none.yaml"):
            result = run_command("check", str(self.directory / name))
            self.assertEqual(result.exit_code, 2)
            self.assertIn("cannot be read", result.errors)


if __name__ == "__main__":
    unittest.main()
