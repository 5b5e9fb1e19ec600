"""The configuration: all resources at one revision, immutable, indexed once per revision."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

import msgspec

from dewledge.core.proxy.configuration.resources import (
    CallerSpec,
    DatabaseSpec,
    GroupSpec,
    Kind,
    Resource,
    RuleSpec,
)

DRAIN_LABEL = "dewledge/drain"
"""A database with this label set to "true" is drained, without any rule."""


class ResourceKey(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Names one resource."""

    kind: Kind
    name: str


class ChangeSet(msgspec.Struct, frozen=True):
    """What one accepted revision changed.

    change_id: unique, chosen by who proposes; resolves a lost answer.
    author: the operator (Caller resource name) who made it.
    """

    revision: int
    change_id: str
    author: str
    put: tuple[Resource, ...] = ()
    deleted: tuple[ResourceKey, ...] = ()


class Configuration:
    """All resources at one revision. Never changed; `with_change` returns the next one."""

    def __init__(self, revision: int, resources: Iterable[Resource]) -> None:
        self.revision = revision
        self._by_key = {ResourceKey(item.kind, item.name): item for item in resources}
        self._databases_by_group: dict[str, list[str]] = {}
        for key, item in self._by_key.items():
            if key.kind is Kind.DATABASE and isinstance(item.spec, DatabaseSpec):
                self._databases_by_group.setdefault(item.spec.group, []).append(key.name)

    @property
    def resources(self) -> Mapping[ResourceKey, Resource]:
        """Every resource by key."""
        return MappingProxyType(self._by_key)

    def get(self, kind: Kind, name: str) -> Resource | None:
        """Returns the resource, or None."""
        return self._by_key.get(ResourceKey(kind, name))

    def of_kind(self, kind: Kind) -> list[Resource]:
        """Returns the resources of one kind, sorted by name."""
        found = [item for key, item in self._by_key.items() if key.kind is kind]
        return sorted(found, key=lambda item: item.name)

    def group(self, name: str) -> GroupSpec | None:
        """Returns a group's spec, or None."""
        item = self.get(Kind.GROUP, name)
        return item.spec if item and isinstance(item.spec, GroupSpec) else None

    def database(self, name: str) -> DatabaseSpec | None:
        """Returns a database's spec, or None."""
        item = self.get(Kind.DATABASE, name)
        return item.spec if item and isinstance(item.spec, DatabaseSpec) else None

    def caller(self, name: str) -> CallerSpec | None:
        """Returns a caller's spec, or None."""
        item = self.get(Kind.CALLER, name)
        return item.spec if item and isinstance(item.spec, CallerSpec) else None

    def rules(self) -> list[RuleSpec]:
        """Returns the specs of all rules, sorted by name."""
        return [item.spec for item in self.of_kind(Kind.RULE) if isinstance(item.spec, RuleSpec)]

    def databases_of(self, group: str) -> tuple[str, ...]:
        """Returns the names of a group's databases, sorted; drained ones too."""
        return tuple(sorted(self._databases_by_group.get(group, ())))

    def with_change(self, change: ChangeSet) -> "Configuration":
        """Returns the configuration after `change`, whose revision must be the next one."""
        if change.revision != self.revision + 1:
            raise ValueError(f"revision {change.revision} does not follow {self.revision}")
        resources = dict(self._by_key)
        for key in change.deleted:
            resources.pop(key, None)
        for item in change.put:
            resources[ResourceKey(item.kind, item.name)] = item
        return Configuration(change.revision, resources.values())


EMPTY_CONFIGURATION = Configuration(0, ())
