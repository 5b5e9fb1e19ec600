"""The resources operators write: typed, immutable, already checked.

Reading and checking documents is `resource_documents`; matching is `selectors`.
"""

from enum import StrEnum

import msgspec

from dewledge.core.proxy.calls import Access


class Kind(StrEnum):
    """The kinds of resource."""

    GROUP = "Group"
    DATABASE = "Database"
    PROXY = "Proxy"
    CALLER = "Caller"
    RULE = "Rule"


class SelectorOperator(StrEnum):
    """How an expression compares a label, as in Kubernetes label selectors."""

    IN = "In"
    NOT_IN = "NotIn"
    EXISTS = "Exists"
    DOES_NOT_EXIST = "DoesNotExist"


class Expression(msgspec.Struct, frozen=True, array_like=True):
    """One condition on one label."""

    key: str
    operator: SelectorOperator
    values: tuple[str, ...] = ()


class Selector(msgspec.Struct, frozen=True, array_like=True):
    """All of match_labels and all of match_expressions must hold; an empty one selects all."""

    match_labels: tuple[tuple[str, str], ...] = ()
    match_expressions: tuple[Expression, ...] = ()


SELECT_ALL = Selector()


class Confirmation(StrEnum):
    """What must be seen at a majority after a commit before it is acknowledged.

    MAJORITY_POSITION: the term still holds and the position is held there; nothing confirmed can
    be lost. MAJORITY_TERM: only the term; durability is the group's own.
    """

    MAJORITY_POSITION = "majority_position"
    MAJORITY_TERM = "majority_term"


DEFAULT_READ_WAIT = 0.01
"""Seconds that a read waits at most for a replica to reach its floor; see read_routing.py."""
DEFAULT_SLOTS = 5
"""Statements that a database runs at once: of the smaller deployment in the users' brief."""
DEFAULT_MAX_CONNECTIONS = 40
"""Connections that a database takes: of the smaller deployment in the users' brief."""
DEFAULT_WEIGHT = 1
"""Weight of a caller without a weight of its own, relative to the others."""


class GroupSpec(msgspec.Struct, frozen=True, array_like=True, tag="group"):
    """A database group. read_wait: seconds a read may wait for a replica to catch up."""

    confirmation: Confirmation = Confirmation.MAJORITY_POSITION
    read_wait: float = DEFAULT_READ_WAIT


class DatabaseSpec(msgspec.Struct, frozen=True, array_like=True, tag="database"):
    """One database. address: "ip:port". slots: statements at once. Limits are hard."""

    group: str
    address: str
    zone: str
    region: str = ""
    slots: int = DEFAULT_SLOTS
    max_connections: int = DEFAULT_MAX_CONNECTIONS


class ProxySpec(msgspec.Struct, frozen=True, array_like=True, tag="proxy"):
    """One proxy, for selecting it by label; its addresses are in its own settings."""

    description: str = ""


class CallerSpec(msgspec.Struct, frozen=True, array_like=True, tag="caller"):
    """A caller. token_sha256: hex digests of accepted tokens. weight: its share under load."""

    token_sha256: tuple[str, ...]
    weight: int = DEFAULT_WEIGHT


class RuleEffect(StrEnum):
    """What a rule does.

    ALLOW: selected callers may use selected groups with the given access, through selected
    proxies. READS: their reads in those groups may go to the selected databases only (the union
    of all READS rules that apply; without any, to every database). DRAIN: selected databases get
    no new work. OPERATE: selected callers may read and change resources.
    """

    ALLOW = "allow"
    READS = "reads"
    DRAIN = "drain"
    OPERATE = "operate"


class RuleSpec(msgspec.Struct, frozen=True, array_like=True, tag="rule"):
    """A rule; selectors that its effect does not name stay empty."""

    effect: RuleEffect
    callers: Selector = SELECT_ALL
    groups: Selector = SELECT_ALL
    databases: Selector = SELECT_ALL
    proxies: Selector = SELECT_ALL
    access: tuple[Access, ...] = ()


Spec = GroupSpec | DatabaseSpec | ProxySpec | CallerSpec | RuleSpec


class Resource(msgspec.Struct, frozen=True, array_like=True):
    """One resource. labels: sorted pairs. spec: the type that belongs to `kind`."""

    kind: Kind
    name: str
    labels: tuple[tuple[str, str], ...]
    spec: Spec
