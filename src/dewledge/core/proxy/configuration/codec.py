"""The bytes of change sets and configurations, the same in rows, objects and peer messages.

Each is one cbor2 item `[format, content]`. The same content always gives the same bytes, so that
two proxies that write the snapshot of one revision write the same object.
"""

from typing import Any, TypeVar

import cbor2
import msgspec

from dewledge.core.proxy.configuration.configuration import ChangeSet, Configuration, ResourceKey
from dewledge.core.proxy.configuration.resources import (
    CallerSpec,
    DatabaseSpec,
    GroupSpec,
    Kind,
    ProxySpec,
    Resource,
    RuleSpec,
)
from dewledge.errors import ProtocolError

FORMAT = 1
"""Version of the encoded form; a reader refuses any other."""

SPEC_TYPES: dict[Kind, type[msgspec.Struct]] = {
    Kind.GROUP: GroupSpec,
    Kind.DATABASE: DatabaseSpec,
    Kind.PROXY: ProxySpec,
    Kind.CALLER: CallerSpec,
    Kind.RULE: RuleSpec,
}
"""The type of a resource's spec, by kind."""

Content = TypeVar("Content")


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    revision: int
    resources: tuple[Resource, ...]


def encode_change(change: ChangeSet) -> bytes:
    """Encodes one change set."""
    return encode_content(change)


def decode_change(data: bytes) -> ChangeSet:
    """Decodes one change set. Raises ProtocolError."""
    change = decode_content(data, ChangeSet)
    _check_resources(change.put)
    return change


def encode_snapshot(configuration: Configuration) -> bytes:
    """Encodes a whole configuration."""
    ordered = sorted(configuration.resources.items())
    resources = tuple(resource for _, resource in ordered)
    return encode_content(_Snapshot(configuration.revision, resources))


def decode_snapshot(data: bytes) -> Configuration:
    """Decodes a whole configuration. Raises ProtocolError."""
    snapshot = decode_content(data, _Snapshot)
    _check_resources(snapshot.resources)
    return Configuration(snapshot.revision, snapshot.resources)


def encode_content(content: msgspec.Struct) -> bytes:
    """Encodes any struct with the format number in front."""
    return cbor2.dumps([FORMAT, msgspec.to_builtins(content, builtin_types=(bytes,))])


def decode_content(data: bytes, content_type: type[Content]) -> Content:
    """Decodes what `encode_content` made. Raises ProtocolError."""
    try:
        item: Any = cbor2.loads(data)
        found_format, content = item
        if found_format != FORMAT:
            raise ProtocolError(f"format {found_format!r} is not known here")
        return msgspec.convert(content, content_type)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
        raise ProtocolError(f"not a {content_type.__name__}: {error}") from error
    except (TypeError, ValueError, OverflowError, RecursionError) as error:
        raise ProtocolError(f"not a {content_type.__name__}: {error}") from error


def _check_resources(resources: tuple[Resource, ...]) -> None:
    seen: set[ResourceKey] = set()
    for resource in resources:
        key = ResourceKey(resource.kind, resource.name)
        if key in seen:
            raise ProtocolError(f"{key.kind} {key.name} comes twice")
        seen.add(key)
        if not isinstance(resource.spec, SPEC_TYPES[resource.kind]):
            raise ProtocolError(f"{key.kind} {key.name} has the spec of another kind")
