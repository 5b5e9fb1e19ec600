"""Operators' work: GET /v1/resources, POST /v1/changes, GET /v1/changes/<change_id>."""

from typing import Any
from urllib.parse import parse_qsl

import msgspec

from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.configuration.configuration import ChangeSet, ResourceKey
from dewledge.core.proxy.configuration.resource_documents import (
    read_documents,
    selector_from_text,
    to_document,
)
from dewledge.core.proxy.configuration.resources import Kind, Resource, Selector
from dewledge.core.proxy.configuration.selectors import labels_of, matches
from dewledge.core.proxy.configuration.store import (
    ChangeLookedUp,
    LabelChange,
    ProposalFinished,
    ProposedChange,
)
from dewledge.errors import ErrorCode, Finding, InvalidInput
from dewledge.shell.proxy.http_authentication import authenticate_operator
from dewledge.shell.proxy.http_status import OK, status_of
from dewledge.shell.proxy.proxy_services import ProxyServices
from dewledge.shell.proxy.request_bodies import ChangeBody, KeyBody, LabelBody, read_body
from dewledge.shell.shared.http_messages import Exchange, FindingBody, finding_bodies, json_response

RESOURCE_FIELDS = frozenset({"kind", "name", "selector"})


class ResourcesBody(msgspec.Struct, frozen=True):
    """Resources of one revision."""

    revision: int
    resources: list[dict[str, Any]]


class ChangeSummary(msgspec.Struct, frozen=True):
    """An accepted change, in short."""

    change_id: str
    author: str
    revision: int


class ProposalBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer to a proposed change."""

    outcome: Outcome
    revision: int | None = None
    code: ErrorCode | None = None
    message: str = ""
    winner: ChangeSummary | None = None
    findings: tuple[FindingBody, ...] = ()


class LookUpBody(msgspec.Struct, frozen=True):
    """Whether a change stands; null: the store could not be asked."""

    accepted: bool | None
    revision: int | None = None


class ConfigurationHandlers:
    """Reads resources and proposes changes for operators."""

    def __init__(self, services: ProxyServices) -> None:
        self._services = services

    def resources(self, exchange: Exchange) -> None:
        """GET /v1/resources?kind=&name=&selector=."""
        if authenticate_operator(exchange, self._services) is None:
            return
        wanted = _ResourceFilter(exchange.request.query)
        configuration = self._services.configuration
        found = [item for item in configuration.resources.values() if wanted.selects(item)]
        found.sort(key=lambda item: (item.kind, item.name))
        documents = [to_document(item) for item in found]
        body = ResourcesBody(configuration.revision, documents)
        exchange.respond(json_response(OK, body))

    def propose(self, exchange: Exchange) -> None:
        """POST /v1/changes."""
        operator = authenticate_operator(exchange, self._services)
        if operator is None:
            return
        body = read_body(ChangeBody, exchange.request.body)
        change = ProposedChange(
            change_id=body.change_id,
            author=operator,
            base_revision=body.base_revision,
            put=tuple(read_documents(body.put, "put")),
            deleted=tuple(_key(item) for item in body.deleted),
            labels=tuple(_label_change(item) for item in body.label),
        )
        self._services.propose(change, lambda finished: _respond_proposal(exchange, finished))

    def look_up(self, exchange: Exchange, change_id: str) -> None:
        """GET /v1/changes/<change_id>."""
        if authenticate_operator(exchange, self._services) is None:
            return
        self._services.look_up_change(change_id, lambda answer: _respond_look_up(exchange, answer))


class _ResourceFilter:
    """What the query of GET /v1/resources selects. Raises InvalidInput with every finding."""

    def __init__(self, query: str) -> None:
        self._kind: Kind | None = None
        self._name: str | None = None
        self._selector = Selector()
        findings: list[Finding] = []
        for field, value in parse_qsl(query, keep_blank_values=True):
            findings += self._take(field, value)
        if findings:
            raise InvalidInput(findings)

    def selects(self, resource: Resource) -> bool:
        """Tells whether a resource is wanted."""
        if self._kind is not None and resource.kind is not self._kind:
            return False
        if self._name is not None and resource.name != self._name:
            return False
        return matches(self._selector, labels_of(resource))

    def _take(self, field: str, value: str) -> list[Finding]:
        if field not in RESOURCE_FIELDS:
            return [Finding(f"query {field}", ErrorCode.UNKNOWN_FIELD, "there is no such field")]
        if field == "name":
            self._name = value
            return []
        if field == "selector":
            return self._take_selector(value)
        if value not in list(Kind):
            kinds = ", ".join(Kind)
            return [Finding("query kind", ErrorCode.UNKNOWN_KIND, f"must be one of {kinds}")]
        self._kind = Kind(value)
        return []

    def _take_selector(self, value: str) -> list[Finding]:
        try:
            self._selector = selector_from_text(value, "query selector")
        except InvalidInput as error:
            return list(error.findings)
        return []


def _key(body: KeyBody) -> ResourceKey:
    return ResourceKey(body.kind, body.name)


def _label_change(body: LabelBody) -> LabelChange:
    return LabelChange(_key(body), tuple(sorted(body.put.items())), body.removed)


def _respond_proposal(exchange: Exchange, finished: ProposalFinished) -> None:
    body = ProposalBody(
        outcome=finished.outcome,
        revision=finished.revision,
        code=finished.code,
        message=finished.message,
        winner=_summary(finished.winner),
        findings=finding_bodies(finished.findings),
    )
    exchange.respond(json_response(status_of(finished.outcome, finished.code), body))


def _summary(change: ChangeSet | None) -> ChangeSummary | None:
    if change is None:
        return None
    return ChangeSummary(change.change_id, change.author, change.revision)


def _respond_look_up(exchange: Exchange, answer: ChangeLookedUp) -> None:
    revision = answer.change.revision if answer.change else None
    exchange.respond(json_response(OK, LookUpBody(answer.accepted, revision)))
