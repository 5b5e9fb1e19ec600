"""The shape of resource documents, as operators write them: camelCase, as in Kubernetes.

Only shape and types are checked here; `resource_documents_check` checks the content.
"""

from typing import Annotated, Final, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, StrictInt, StrictStr
from pydantic.alias_generators import to_camel

from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.configuration.resources import (
    DEFAULT_MAX_CONNECTIONS,
    DEFAULT_READ_WAIT,
    DEFAULT_SLOTS,
    DEFAULT_WEIGHT,
    SELECT_ALL,
    CallerSpec,
    Confirmation,
    DatabaseSpec,
    Expression,
    GroupSpec,
    Kind,
    ProxySpec,
    RuleEffect,
    RuleSpec,
    Selector,
    SelectorOperator,
    Spec,
)

API_VERSION: Final = "dewledge/v1"


def _refuse_boolean(value: object) -> object:
    if isinstance(value, bool):
        raise ValueError("must be a number")
    return value


StrictNumber = Annotated[
    float, BeforeValidator(_refuse_boolean), Field(strict=True, allow_inf_nan=False)
]


class DocumentModel(BaseModel):
    """What all parts of a document share: camelCase names, and no unknown fields."""

    model_config = ConfigDict(
        alias_generator=to_camel, extra="forbid", frozen=True, hide_input_in_errors=True
    )


class MetadataModel(DocumentModel):
    """Name and labels."""

    name: StrictStr
    labels: dict[StrictStr, StrictStr] = {}


class ExpressionModel(DocumentModel):
    """One condition of matchExpressions."""

    key: StrictStr
    operator: SelectorOperator
    values: tuple[StrictStr, ...] = ()


class SelectorModel(DocumentModel):
    """A selector; an empty one selects all."""

    match_labels: dict[StrictStr, StrictStr] = {}
    match_expressions: tuple[ExpressionModel, ...] = ()

    def to_selector(self) -> Selector:
        """Returns the selector of the core."""
        expressions = tuple(
            Expression(item.key, item.operator, item.values) for item in self.match_expressions
        )
        return Selector(tuple(sorted(self.match_labels.items())), expressions)


class GroupSpecModel(DocumentModel):
    """The spec of a Group."""

    confirmation: Confirmation = Confirmation.MAJORITY_POSITION
    read_wait: StrictNumber = DEFAULT_READ_WAIT

    def to_spec(self) -> Spec:
        """Returns the spec of the core."""
        return GroupSpec(self.confirmation, self.read_wait)


class DatabaseSpecModel(DocumentModel):
    """The spec of a Database."""

    group: StrictStr
    address: StrictStr
    zone: StrictStr
    region: StrictStr = ""
    slots: StrictInt = DEFAULT_SLOTS
    max_connections: StrictInt = DEFAULT_MAX_CONNECTIONS

    def to_spec(self) -> Spec:
        """Returns the spec of the core."""
        return DatabaseSpec(
            self.group, self.address, self.zone, self.region, self.slots, self.max_connections
        )


class ProxySpecModel(DocumentModel):
    """The spec of a Proxy."""

    description: StrictStr = ""

    def to_spec(self) -> Spec:
        """Returns the spec of the core."""
        return ProxySpec(self.description)


class CallerSpecModel(DocumentModel):
    """The spec of a Caller."""

    token_sha256: Annotated[tuple[StrictStr, ...], Field(alias="tokenSha256")]
    weight: StrictInt = DEFAULT_WEIGHT

    def to_spec(self) -> Spec:
        """Returns the spec of the core."""
        return CallerSpec(self.token_sha256, self.weight)


class RuleSpecModel(DocumentModel):
    """The spec of a Rule."""

    effect: RuleEffect
    callers: SelectorModel | None = None
    groups: SelectorModel | None = None
    databases: SelectorModel | None = None
    proxies: SelectorModel | None = None
    access: tuple[Access, ...] = ()

    def to_spec(self) -> Spec:
        """Returns the spec of the core."""
        return RuleSpec(
            self.effect,
            _to_selector(self.callers),
            _to_selector(self.groups),
            _to_selector(self.databases),
            _to_selector(self.proxies),
            self.access,
        )


def _to_selector(model: SelectorModel | None) -> Selector:
    return model.to_selector() if model else SELECT_ALL


class _ResourceModel(DocumentModel):
    api_version: Literal["dewledge/v1"] = API_VERSION
    metadata: MetadataModel


class GroupModel(_ResourceModel):
    """A Group document."""

    kind: Literal[Kind.GROUP]
    spec: GroupSpecModel = GroupSpecModel()


class DatabaseModel(_ResourceModel):
    """A Database document."""

    kind: Literal[Kind.DATABASE]
    spec: DatabaseSpecModel


class ProxyModel(_ResourceModel):
    """A Proxy document."""

    kind: Literal[Kind.PROXY]
    spec: ProxySpecModel = ProxySpecModel()


class CallerModel(_ResourceModel):
    """A Caller document."""

    kind: Literal[Kind.CALLER]
    spec: CallerSpecModel


class RuleModel(_ResourceModel):
    """A Rule document."""

    kind: Literal[Kind.RULE]
    spec: RuleSpecModel


SpecModel = GroupSpecModel | DatabaseSpecModel | ProxySpecModel | CallerSpecModel | RuleSpecModel

SPEC_MODELS: dict[Kind, type[SpecModel]] = {
    Kind.GROUP: GroupSpecModel,
    Kind.DATABASE: DatabaseSpecModel,
    Kind.PROXY: ProxySpecModel,
    Kind.CALLER: CallerSpecModel,
    Kind.RULE: RuleSpecModel,
}
"""The shape of a document's spec, by kind."""

ResourceModel = GroupModel | DatabaseModel | ProxyModel | CallerModel | RuleModel

MODELS: dict[Kind, type[ResourceModel]] = {
    Kind.GROUP: GroupModel,
    Kind.DATABASE: DatabaseModel,
    Kind.PROXY: ProxyModel,
    Kind.CALLER: CallerModel,
    Kind.RULE: RuleModel,
}
"""The shape of a document, by kind."""
