"""The JSON bodies that callers and operators send, checked with every finding at once."""

import math
from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, PlainValidator, ValidationError

from dewledge.core.proxy.calls import Access, Scalar
from dewledge.core.proxy.configuration.resources import Kind
from dewledge.errors import ErrorCode, Finding, InvalidInput
from dewledge.validation import findings_of_validation

MAX_NAME_CHARACTERS = 253
MAX_SESSION_CHARACTERS = 4096
MAX_KEY_CHARACTERS = 255
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1

DeadlineMs = Annotated[int, Field(ge=1, le=MAX_INTEGER)]
"""None: the proxy's default; its settings also bound it."""


def _check_parameter(value: object) -> Scalar:
    if isinstance(value, int) and MIN_INTEGER <= value <= MAX_INTEGER:
        return value
    if isinstance(value, float) and math.isfinite(value):
        return value
    if value is None or isinstance(value, str):
        return value
    raise ValueError("must be a string, a finite number of 64 bits, a boolean or null")


Name = Annotated[str, Field(min_length=1, max_length=MAX_NAME_CHARACTERS)]
Key = Annotated[str, Field(min_length=1, max_length=MAX_KEY_CHARACTERS)]
Session = Annotated[str, Field(max_length=MAX_SESSION_CHARACTERS)]
Parameter = Annotated[Any, PlainValidator(_check_parameter)]


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class StatementBody(_Body):
    """POST /v1/statements."""

    group: Name
    sql: Annotated[str, Field(min_length=1)]
    parameters: Annotated[tuple[Parameter, ...], Field(strict=False)] = ()
    access: Annotated[Access, Field(strict=False)] = Access.WRITE
    deadline_ms: DeadlineMs | None = None
    idempotency_key: Key | None = None
    transaction: Key | None = None
    session: Session | None = None


class BeginBody(_Body):
    """POST /v1/transactions/begin."""

    group: Name
    deadline_ms: DeadlineMs | None = None
    session: Session | None = None


class FinishBody(_Body):
    """POST /v1/transactions/commit and /rollback."""

    group: Name
    transaction: Key
    deadline_ms: DeadlineMs | None = None
    session: Session | None = None


class KeyBody(_Body):
    """Names one resource."""

    kind: Annotated[Kind, Field(strict=False)]
    name: Name


class LabelBody(KeyBody):
    """Labels to set on and remove from one resource."""

    put: Annotated[dict[str, str], Field(alias="set")] = {}
    removed: Annotated[tuple[str, ...], Field(alias="remove", strict=False)] = ()


class ChangeBody(_Body):
    """POST /v1/changes. The documents of `put` are checked by `resource_documents`."""

    change_id: Key
    base_revision: Annotated[int, Field(ge=0, le=MAX_INTEGER)] | None = None
    put: list[Any] = []
    deleted: Annotated[tuple[KeyBody, ...], Field(alias="delete", strict=False)] = ()
    label: Annotated[tuple[LabelBody, ...], Field(strict=False)] = ()


Model = TypeVar("Model", bound=_Body)


def read_body(model: type[Model], data: bytes) -> Model:
    """Reads a JSON body. Raises InvalidInput with every finding; places start with "body"."""
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        found = findings_of_validation(error, "body", ErrorCode.MALFORMED_REQUEST)
        raise InvalidInput(found) from error
    except ValueError as error:  # such as nesting that is too deep
        raise InvalidInput([Finding("body", ErrorCode.MALFORMED_REQUEST, str(error))]) from error
