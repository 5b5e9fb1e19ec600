"""Nothing in the sources or the deploy files names a deployment, a place, a class or a day.

A word is kept here as a digest, so that the list itself names none; words of the sources are
compared by theirs.
"""

import hashlib
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGES = ("core", "platform", "shell", "adapters", "explain")
"""What decides and serves; the stand-ins and the simulator are deployments of their own."""
FOLDERS = (*(f"src/dewledge/{name}" for name in PACKAGES), "deploy")
SUFFIXES = frozenset({".py", ".toml", ".template", ".txt"})
WORD = re.compile(r"[a-z]{4,}")
DIGEST_CHARACTERS = 12
NAMED = frozenset(
    [
        "149211668ed7",
        "26053c1c2684",
        "2d5f4d7e1e6e",
        "36e194762eb1",
        "40c38bc4f1e1",
        "42aef2f38656",
        "4e61dd3e6fb0",
        "54f9d2cec3ad",
        "5f79593dbb26",
        "630aa10ac7f5",
        "646fe999c9da",
        "6eed09370f20",
        "7e628fb37d6c",
        "8e6ab022f066",
        "9a55588d8064",
        "9df513f1937a",
        "a9423b17e82a",
        "c108f9afa484",
        "cd6c07bb2bbf",
        "d128b6760194",
        "d20742369baa",
        "d618716f9dfa",
        "d9ab65ebf42c",
        "f4e7af788f51",
        "f89dd6cedfc1",
        "f9adcb6c0dba",
    ]
)


def digest(word: str) -> str:
    return hashlib.sha256(word.encode()).hexdigest()[:DIGEST_CHARACTERS]


class NoFittingTest(unittest.TestCase):
    def test_no_source_names_a_deployment(self) -> None:
        found = []
        for folder in FOLDERS:
            for path in sorted((ROOT / folder).rglob("*")):
                if path.suffix not in SUFFIXES or not path.is_file():
                    continue
                words = set(WORD.findall(path.read_text().lower()))
                found += [f"{path.name}: {word}" for word in words if digest(word) in NAMED]
        self.assertEqual(found, [])

    def test_the_check_finds_a_word_of_the_list(self) -> None:
        self.assertIn(digest("".join(("la", "hjat"))), NAMED)


if __name__ == "__main__":
    unittest.main()
