"""What a check of values found, as findings with their places."""

from collections.abc import Iterable

from pydantic import ValidationError

from dewledge.errors import ErrorCode, Finding


def findings_of_validation(error: ValidationError, place: str, code: ErrorCode) -> list[Finding]:
    """Turns what pydantic found into findings; unknown fields get UNKNOWN_FIELD."""
    findings: list[Finding] = []
    for item in error.errors(include_input=False, include_url=False, include_context=False):
        path = _path_text(item["loc"])
        if item["type"] == "extra_forbidden":
            found = Finding(f"{place} {path}", ErrorCode.UNKNOWN_FIELD, "there is no such field")
        else:
            message = item["msg"].removeprefix("Value error, ")
            found = Finding(f"{place} {path}".strip(), code, message)
        findings.append(found)
    return findings


def _path_text(location: Iterable[int | str]) -> str:
    text = ""
    for part in location:
        if isinstance(part, int):
            text += f"[{part}]"
        elif part == "[key]":  # how pydantic says that a mapping's key is meant, not its value
            text += part
        else:
            text += f".{part}" if text else part
    return text
