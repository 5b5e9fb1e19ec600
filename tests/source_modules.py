"""Finds and imports the modules of the sources by their paths."""

import importlib
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType

SOURCES = Path(__file__).parent.parent / "src" / "dewledge"


def module_at(path: str) -> ModuleType:
    """Imports the module of a path below the sources."""
    name = path.removesuffix(".py").removesuffix("/__init__").replace("/", ".")
    return importlib.import_module(f"dewledge.{name}".removesuffix(".__init__"))


def modules_below(folder: str) -> Iterator[str]:
    """Yields the paths of all modules below a folder of the sources."""
    for path in sorted((SOURCES / folder).rglob("*.py")):
        yield path.relative_to(SOURCES).as_posix()
