"""A proposed change as operators send it (`POST /v1/changes`), read with every finding."""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, StrictInt, StrictStr, ValidationError

from dewledge.core.configuration import ResourceKey
from dewledge.core.configuration_store import LabelChange, ProposedChange
from dewledge.core.resource_documents import findings_of_validation, read_documents
from dewledge.core.resources import Kind, Resource
from dewledge.errors import ErrorCode, Finding, InvalidInput


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)


class KeyModel(_Part):
    """Names a resource."""

    kind: Kind
    name: StrictStr


class LabelModel(KeyModel):
    """Sets and removes labels of one resource."""

    put: Annotated[dict[StrictStr, StrictStr], Field(alias="set")] = {}
    removed: Annotated[tuple[StrictStr, ...], Field(alias="remove")] = ()


class ChangeModel(_Part):
    """The body; documents in `put` are checked on their own."""

    change_id: Annotated[StrictStr, Field(pattern=r"^[A-Za-z0-9_-]{1,64}$")]
    base_revision: Annotated[StrictInt, Field(ge=0)] | None = None
    put: tuple[Any, ...] = ()
    deleted: Annotated[tuple[KeyModel, ...], Field(alias="delete")] = ()
    labels: Annotated[tuple[LabelModel, ...], Field(alias="label")] = ()


def read_proposed_change(body: object, author: str) -> ProposedChange:
    """Reads the parsed JSON of a change. Raises InvalidInput with every finding.

    Whether the change fits the rest of the configuration is checked when it is proposed.
    """
    try:
        model = ChangeModel.model_validate(body)
    except ValidationError as error:
        code = ErrorCode.MALFORMED_REQUEST
        raise InvalidInput(findings_of_validation(error, "change", code)) from error
    return ProposedChange(
        change_id=model.change_id,
        author=author,
        base_revision=model.base_revision,
        put=_read_put(model),
        deleted=tuple(ResourceKey(item.kind, item.name) for item in model.deleted),
        labels=tuple(_label_change(item) for item in model.labels),
    )


def _read_put(model: ChangeModel) -> tuple[Resource, ...]:
    findings: list[Finding] = []
    for index, item in enumerate(model.labels):
        if set(item.put) & set(item.removed):
            message = "sets and removes the same label"
            findings.append(Finding(f"label[{index}]", ErrorCode.MALFORMED_REQUEST, message))
    try:
        resources = read_documents(model.put, "put")
    except InvalidInput as error:
        findings += error.findings
    if findings:
        raise InvalidInput(findings)
    return tuple(resources)


def _label_change(model: LabelModel) -> LabelChange:
    key = ResourceKey(model.kind, model.name)
    return LabelChange(key, tuple(sorted(model.put.items())), model.removed)
