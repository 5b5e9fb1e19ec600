"""Builds a typed value from plain ones, with all findings together and each in its place.

For programs that start often: it needs no more than msgspec, which the pooler uses anyway.
"""

from collections.abc import Callable, Mapping
from types import UnionType
from typing import Annotated, Any, TypeVar, Union, get_args, get_origin, get_type_hints

import msgspec

from dewledge.errors import ErrorCode, Finding, InvalidInput

Value = TypeVar("Value", bound=msgspec.Struct)
Check = Callable[[str], object]
"""Raises ValueError for a text that is not allowed."""

_CHECK = "check"


def checked_by(check: Check) -> msgspec.Meta:
    """Returns the annotation of a text that `check` has to accept."""
    return msgspec.Meta(extra={_CHECK: check})


def build_checked(values: Mapping[str, Any], kind: type[Value], place: str) -> Value:
    """Returns a value of `kind`. Raises InvalidInput with every finding; place: what is read."""
    findings: list[Finding] = []
    built = _build(values, kind, place, "", findings)
    if findings or built is None:
        raise InvalidInput(findings)
    return built


def descriptions(kind: type[msgspec.Struct]) -> dict[str, str]:
    """Returns what each field of a structure means."""
    hints = get_type_hints(kind, include_extras=True)
    return {
        name: next((meta.description for meta in _metas(hint) if meta.description), "")
        for name, hint in hints.items()
    }


def _build(
    values: Mapping[str, Any], kind: type[Value], place: str, prefix: str, findings: list[Finding]
) -> Value | None:
    hints = get_type_hints(kind, include_extras=True)
    fields = msgspec.structs.fields(kind)
    found_before = len(findings)
    built: dict[str, Any] = {}
    for field in fields:
        path = prefix + field.name
        if field.name in values:
            value = values[field.name]
            built[field.name] = _field(value, hints[field.name], place, path, findings)
        elif field.required:
            findings.append(Finding(f"{place} {path}", ErrorCode.INVALID_SETTING, "is required"))
    for name in values.keys() - {field.name for field in fields}:
        path = f"{place} {prefix}{name}"
        findings.append(Finding(path, ErrorCode.UNKNOWN_FIELD, "there is no such field"))
    return kind(**built) if len(findings) == found_before else None


def _field(value: Any, hint: Any, place: str, path: str, findings: list[Finding]) -> Any:
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct) and isinstance(value, Mapping):
        return _build(value, hint, place, f"{path}.", findings)
    try:
        converted = msgspec.convert(value, hint)
        if converted is not None:
            for check in _checks(hint):
                check(converted)
    except (msgspec.ValidationError, ValueError) as error:
        message = str(error)
        findings.append(Finding(f"{place} {path}", ErrorCode.INVALID_SETTING, message))
        return None
    return converted


def _checks(hint: Any) -> list[Check]:
    """Returns the checks of a type, those of each part of a union included."""
    found = [meta.extra[_CHECK] for meta in _metas(hint) if meta.extra and _CHECK in meta.extra]
    if get_origin(hint) is Annotated:
        return found + _checks(get_args(hint)[0])
    if get_origin(hint) in (Union, UnionType):
        return [check for part in get_args(hint) for check in _checks(part)]
    return found


def _metas(hint: Any) -> list[msgspec.Meta]:
    if get_origin(hint) is not Annotated:
        return []
    return [entry for entry in get_args(hint)[1:] if isinstance(entry, msgspec.Meta)]
