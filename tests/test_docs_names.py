"""Pages name only what is there: each path, class, method and function in backticks resolves.

Pages below docs/measurements tell what was tried, in the names of its time, and are not looked at.
"""

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent
HISTORY = ROOT / "docs" / "measurements"
BACKTICKS = re.compile(r"`([^`\n]+)`")
PATH = re.compile(r"^[\w./-]*\w\.(?:py|md|toml|txt|template)$")
FOLDER = re.compile(r"^(?:\w+/)+$")
CLASS = re.compile(r"^([A-Z][a-z0-9]+(?:[A-Z][a-z0-9]*)+)(?:\.(_?[a-z]\w*))?(?:\(\))?$")
FUNCTION = re.compile(r"^(_?[a-z]\w*_\w+)\(\)$")
LINK = re.compile(r"\]\((?!https?:)([^)#\s]+)(?:#[^)]*)?\)")
NOT_OURS = frozenset({"SystemExit", "ThreadPoolExecutor", "StopIteration", "TypeError"})
"""Classes of the language's own library that pages name."""
GIVEN_BY_OPERATORS = frozenset({"proxy.toml", "pooler.toml", "platform.toml", "group.toml"})
"""Files of an installation, which the repository does not hold."""


def pages() -> list[Path]:
    """Returns the pages that tell how dewledge is."""
    found = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
    return [page for page in found if HISTORY not in page.parents]


def files() -> list[str]:
    """Returns all files that a page may name, relative to the root."""
    folders = ("src", "tests", "docs", "deploy", ".ci", "journal")
    below = [path for folder in folders for path in (ROOT / folder).rglob("*")]
    top = [path for path in ROOT.iterdir() if path.is_file()]
    kept = [path for path in (*below, *top) if path.is_file() and "__pycache__" not in path.parts]
    return [f"/{path.relative_to(ROOT).as_posix()}" for path in kept]


class Definitions:
    """Classes with their members, and functions, of sources and tests."""

    def __init__(self) -> None:
        self.classes: dict[str, set[str]] = {}
        self.names: set[str] = set()
        for folder in ("src", "tests"):
            for path in (ROOT / folder).rglob("*.py"):
                self._read(ast.parse(path.read_text()))

    def _read(self, tree: ast.Module) -> None:
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef):
                self.classes.setdefault(node.name, set()).update(members(node))
            elif isinstance(node, ast.FunctionDef):
                self.names.add(node.name)
            elif isinstance(node, ast.Constant) and isinstance(node.value, str):
                self.names.add(node.value)
            elif isinstance(node, ast.Assign | ast.AnnAssign):
                targets = node.targets if isinstance(node, ast.Assign) else [node.target]
                self.names.update(item.id for item in targets if isinstance(item, ast.Name))

    def lacks_class(self, name: str, member: str | None) -> bool:
        """Tells whether a class, or a member of it, is nowhere; a type alias passes for a class."""
        if name not in self.classes:
            return name not in self.names and name not in NOT_OURS
        return member is not None and member not in self.classes[name]


def members(node: ast.ClassDef) -> set[str]:
    """Returns the methods and attributes that a class's own body names."""
    found = {item.name for item in ast.walk(node) if isinstance(item, ast.FunctionDef)}
    for item in ast.walk(node):
        if isinstance(item, ast.Name):
            found.add(item.id)
        elif isinstance(item, ast.Attribute):
            found.add(item.attr)
    return found


class DocsNamesTest(unittest.TestCase):
    def test_each_link_leads_to_a_file(self) -> None:
        for page in (ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))):
            for target in sorted(set(LINK.findall(page.read_text()))):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())

    def test_each_name_resolves(self) -> None:
        known_files = files()
        folders = {parent for name in known_files for parent in parents(name)}
        definitions = Definitions()
        for page in pages():
            for word in sorted(set(BACKTICKS.findall(page.read_text()))):
                with self.subTest(page=page.name, word=word):
                    self.assertTrue(resolves(word, known_files, folders, definitions))


def parents(name: str) -> list[str]:
    """Returns the folders above a file, each ending with a slash."""
    return [f"{parent.as_posix()}/" for parent in Path(name).parents if parent != Path("/")]


def resolves(
    word: str, known_files: list[str], folders: set[str], definitions: Definitions
) -> bool:
    """Tells whether what a page has in backticks is there, if it is a name at all."""
    if PATH.match(word) and not word.startswith((".", "/")) and word not in GIVEN_BY_OPERATORS:
        return any(name.endswith(f"/{word.removeprefix('../')}") for name in known_files)
    if FOLDER.match(word):
        return any(folder.endswith(f"/{word}") for folder in folders)
    if named := CLASS.match(word):
        return not definitions.lacks_class(named[1], named[2])
    if called := FUNCTION.match(word):
        return called[1] in definitions.names
    return True


if __name__ == "__main__":
    unittest.main()
