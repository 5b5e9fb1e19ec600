"""Settings files as texts: TOML, and what names in them look like."""

import tomllib
from pathlib import Path
from typing import Any

from dewledge.errors import ErrorCode, Finding, InvalidInput

NAME_PATTERN = r"^[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?$"


def read_toml(path: Path) -> dict[str, Any]:
    """Reads a settings file. Raises InvalidInput if it cannot be read or is not TOML."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise _single_finding(path.name, f"cannot be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise _single_finding(path.name, f"is not UTF-8: {error.reason}") from error
    except (tomllib.TOMLDecodeError, RecursionError, ValueError) as error:
        raise _single_finding(path.name, f"is not TOML: {error}") from error


def _single_finding(place: str, message: str) -> InvalidInput:
    return InvalidInput([Finding(place, ErrorCode.INVALID_SETTING, message)])
