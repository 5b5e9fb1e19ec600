"""Resources as documents: read from YAML or JSON with every finding, and written back."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec
from pydantic import ValidationError

from dewledge.core.proxy.configuration.configuration import ResourceKey
from dewledge.core.proxy.configuration.resource_documents_check import (
    SELECTORS_BY_EFFECT,
    check_configuration,
    check_resource,
    selectors_of,
)
from dewledge.core.proxy.configuration.resource_documents_model import (
    API_VERSION,
    MODELS,
    SPEC_MODELS,
    RuleModel,
)
from dewledge.core.proxy.configuration.resource_documents_yaml import parse_documents
from dewledge.core.proxy.configuration.resources import (
    Kind,
    Resource,
    RuleEffect,
    RuleSpec,
    Selector,
)
from dewledge.errors import ErrorCode, Finding, InvalidInput
from dewledge.validation import findings_of_validation

__all__ = [
    "check_configuration",
    "load_documents",
    "read_documents",
    "selector_from_text",
    "to_document",
]

OPTIONAL_SELECTORS = {RuleEffect.ALLOW: ("proxies",), RuleEffect.READS: ("callers", "groups")}
"""Selectors that may be left out and then select all; the others must be written, as {} for all."""


class _Read(msgspec.Struct, frozen=True):
    resource: Resource | None
    findings: tuple[Finding, ...]


def load_documents(text: str, source: str) -> list[Resource]:
    """Reads resources from YAML documents, in their order.

    Raises InvalidInput with every finding; a place is "file#document path", documents from 1.
    References between resources are left to `check_configuration`.
    """
    parsed = parse_documents(text, source)
    numbered = [(f"{source}#{number}", document) for number, document in parsed.documents]
    return _read_all(numbered, parsed.findings)


def read_documents(documents: Sequence[object], source: str) -> list[Resource]:
    """Reads resources from documents that were parsed already, as from JSON.

    Raises InvalidInput with every finding; a place is "source[index] path", from 0.
    """
    return _read_all([(f"{source}[{index}]", item) for index, item in enumerate(documents)], ())


def to_document(resource: Resource) -> dict[str, Any]:
    """Writes a resource as a plain document, which reads back as the same resource."""
    return {
        "apiVersion": API_VERSION,
        "kind": str(resource.kind),
        "metadata": {"name": resource.name, "labels": dict(resource.labels)},
        "spec": _spec_document(resource),
    }


def selector_from_text(text: str, place: str = "selector") -> Selector:
    """Reads "key=value,key=value" as a selector. Raises InvalidInput."""
    pairs: dict[str, str] = {}
    findings: list[Finding] = []
    for part in filter(None, text.split(",")):
        key, separator, value = part.strip().partition("=")
        if not separator or not key:
            message = f"{part!r} is not key=value"
            findings.append(Finding(place, ErrorCode.MALFORMED_REQUEST, message))
        elif key in pairs:
            message = f"{key!r} comes twice"
            findings.append(Finding(place, ErrorCode.MALFORMED_REQUEST, message))
        pairs[key] = value
    if findings:
        raise InvalidInput(findings)
    return Selector(tuple(sorted(pairs.items())))


def _read_all(numbered: Iterable[tuple[str, object]], earlier: Iterable[Finding]) -> list[Resource]:
    findings = list(earlier)
    resources: list[Resource] = []
    places: dict[ResourceKey, str] = {}
    for place, document in numbered:
        read = _read_one(document, place)
        findings += read.findings
        if read.resource is None:
            continue
        key = ResourceKey(read.resource.kind, read.resource.name)
        first = places.setdefault(key, place)
        if first != place:
            message = f"{key.kind} {key.name} stands in {first} already"
            findings.append(Finding(place, ErrorCode.DUPLICATE_NAME, message))
        resources.append(read.resource)
    if findings:
        raise InvalidInput(findings)
    return resources


def _read_one(document: object, place: str) -> _Read:
    kind = _kind_of(document)
    if kind is None:
        kinds = ", ".join(Kind)
        message = f"must be a mapping whose kind is one of {kinds}"
        return _Read(None, (Finding(f"{place} kind", ErrorCode.UNKNOWN_KIND, message),))
    try:
        model = MODELS[kind].model_validate(document)
    except ValidationError as error:
        findings = findings_of_validation(error, place, ErrorCode.INVALID_RESOURCE)
        return _Read(None, tuple(findings))
    labels = tuple(sorted(model.metadata.labels.items()))
    resource = Resource(kind, model.metadata.name, labels, model.spec.to_spec())
    found = check_resource(resource)
    if isinstance(model, RuleModel):
        found += _check_selectors_written(model)
    findings = [Finding(f"{place} {item.place}", item.code, item.message) for item in found]
    return _Read(resource, tuple(findings))


def _kind_of(document: object) -> Kind | None:
    if not isinstance(document, Mapping):
        return None
    try:
        return Kind(str(document.get("kind")))
    except ValueError:
        return None


def _check_selectors_written(model: RuleModel) -> list[Finding]:
    """A selector that was forgotten must not select everything."""
    effect = model.spec.effect
    needed = set(SELECTORS_BY_EFFECT[effect]) - set(OPTIONAL_SELECTORS.get(effect, ()))
    return [
        Finding(f"spec.{field}", ErrorCode.INVALID_RESOURCE, "must be written; {} selects all")
        for field in sorted(needed)
        if getattr(model.spec, field) is None
    ]


def _spec_document(resource: Resource) -> dict[str, Any]:
    if isinstance(resource.spec, RuleSpec):
        return _rule_document(resource.spec)
    spec: dict[str, Any] = msgspec.structs.asdict(resource.spec)
    names = SPEC_MODELS[resource.kind].model_fields
    return {names[field].alias or field: _plain(value) for field, value in spec.items()}


def _rule_document(spec: RuleSpec) -> dict[str, Any]:
    document: dict[str, Any] = {"effect": str(spec.effect)}
    named = SELECTORS_BY_EFFECT[spec.effect]
    for field, selector in selectors_of(spec).items():
        if field in named:
            document[field] = _selector_document(selector)
    if spec.access:
        document["access"] = [str(access) for access in spec.access]
    return document


def _selector_document(selector: Selector) -> dict[str, Any]:
    document: dict[str, Any] = {}
    if selector.match_labels:
        document["matchLabels"] = dict(selector.match_labels)
    if selector.match_expressions:
        document["matchExpressions"] = [
            {"key": item.key, "operator": str(item.operator), "values": list(item.values)}
            for item in selector.match_expressions
        ]
    return document


def _plain(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    return str(value) if isinstance(value, str) else value
