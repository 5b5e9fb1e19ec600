"""Filled examples of a type: one with everything set, and one for each choice that a field leaves.

Values come from the place where they stand: field names where these are on the wire, positions
where they are not. So they change neither with class names nor with the order of named fields.
"""

import enum
import types
import typing
import zlib
from collections.abc import Iterator, Mapping
from typing import Any, Union, get_args, get_origin

import msgspec

Example = tuple[str, Any]
"""What was chosen, and the value; nothing chosen for the first one, which is filled."""
LARGEST = 20_000
BY_POSITION = "#"
"""A place that begins so has positions for names: of types whose names stand on no wire."""


def examples(hint: Any, place: str = "") -> list[Example]:
    """Returns the examples of a type at a place; the first is the filled one."""
    origin = get_origin(hint)
    if origin is typing.Annotated:
        return examples(get_args(hint)[0], place)
    if origin in (Union, types.UnionType):
        return _of_union(get_args(hint), place)
    if origin in (tuple, list):
        return _of_sequence(origin, get_args(hint), place)
    if origin in (dict, Mapping) or hint is dict:
        return _of_mapping(get_args(hint) or (str, str), place)
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        return list(_of_struct(hint, place))
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        members = sorted(hint, key=lambda member: str(member.value))
        return [(f"{place}={member.value}", member) for member in members]
    return _of_plain(hint, place)


def positions(hint: Any, place: str) -> Iterator[tuple[str, list[str]]]:
    """Yields the names of the fields that go by position, in their order, by place.

    Two fields of the same type that change places give the same bytes for the examples here, so
    their names are held besides.
    """
    if not (isinstance(hint, type) and issubclass(hint, msgspec.Struct)):
        arguments = [each for each in get_args(hint) if each is not type(None)]
        is_union = get_origin(hint) in (Union, types.UnionType) and len(arguments) > 1
        for argument in arguments:
            name = f":{_member_name(argument)}" if is_union else ""
            yield from positions(argument, f"{place}{name}")
        return
    hints = typing.get_type_hints(hint, include_extras=True)
    fields = msgspec.structs.fields(hint)
    by_position = hint.__struct_config__.array_like
    if by_position:
        yield place, [field.name for field in fields]
    for index, field in enumerate(fields):
        yield from positions(hints[field.name], f"{place}.{index if by_position else field.name}")


def _of_plain(hint: Any, place: str) -> list[Example]:
    number = zlib.crc32(place.encode()) % LARGEST
    plain: dict[Any, list[Any]] = {
        str: [f"t{place}"],
        bytes: [f"b{place}".encode()],
        int: [number + 1],
        float: [number / 8 + 0.125],
        bool: [True, False],
        type(None): [None],
        Any: [f"t{place}"],
    }
    if hint not in plain:
        raise TypeError(f"there is no example of {hint!r} at {place!r}")
    return [
        (f"{place}={_shown(value)}" if len(plain[hint]) > 1 else "", value) for value in plain[hint]
    ]


def _shown(value: Any) -> str:
    return "null" if value is None else str(value).lower()


def _of_union(members: tuple[Any, ...], place: str) -> list[Example]:
    found = []
    filled = [member for member in members if member is not type(None)]
    for member in sorted(filled, key=_member_name):
        for label, value in examples(member, place):
            name = f"{place}:{_member_name(member)}" if len(filled) > 1 else ""
            found.append((" ".join(part for part in (name, label) if part), value))
    if len(filled) < len(members):
        found.append((f"{place}=null", None))
    return found


def _member_name(member: Any) -> str:
    if isinstance(member, type) and issubclass(member, msgspec.Struct):
        tag = member.__struct_config__.tag
        return "" if tag is None else str(tag)
    return str(getattr(member, "__name__", member))


def _of_sequence(origin: type, arguments: tuple[Any, ...], place: str) -> list[Example]:
    if origin is tuple and arguments[-1] is not Ellipsis:
        parts = [examples(each, f"{place}.{index}") for index, each in enumerate(arguments)]
        return _with_each_choice(parts, tuple)
    first, second = examples(arguments[0], f"{place}.0"), examples(arguments[0], f"{place}.1")
    filled = [(first[0][0], origin([first[0][1], second[0][1]]))]
    others = [(label, origin([value])) for label, value in first[1:]]
    return [*filled, *others, (f"{place}=none", origin())]


def _with_each_choice(parts: list[list[Example]], build: Any) -> list[Example]:
    base = [part[0][1] for part in parts]
    found = [("", build(base))]
    for index, part in enumerate(parts):
        for label, value in part[1:]:
            found.append((label, build([*base[:index], value, *base[index + 1 :]])))
    return found


def _of_mapping(arguments: tuple[Any, ...], place: str) -> list[Example]:
    key = examples(arguments[0], f"{place}.key")[0][1]
    values = examples(arguments[1], f"{place}.value")
    return [*((label, {key: value}) for label, value in values), (f"{place}=none", {})]


def _of_struct(kind: type[msgspec.Struct], place: str) -> Iterator[Example]:
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = msgspec.structs.fields(kind)
    by_position = kind.__struct_config__.array_like or place.startswith(BY_POSITION)
    parts: dict[str, list[Example]] = {}
    for index, field in enumerate(fields):
        name = index if by_position else field.encode_name
        parts[field.name] = examples(hints[field.name], f"{place}.{name}")
    base = {name: part[0][1] for name, part in parts.items()}
    yield "", kind(**base)
    for name, part in parts.items():
        for label, value in part[1:]:
            yield label, kind(**{**base, name: value})
    if any(not field.required for field in fields):
        required = {field.name: base[field.name] for field in fields if field.required}
        yield f"{place}=defaults", kind(**required)
