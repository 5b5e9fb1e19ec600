"""Turns what an operator asks for into the exact change set of the next revision, checked."""

import re
from collections.abc import Iterable

import msgspec

from dewledge.core.proxy.configuration.configuration import ChangeSet, Configuration, ResourceKey
from dewledge.core.proxy.configuration.resource_documents_check import check_configuration
from dewledge.core.proxy.configuration.resources import Resource
from dewledge.core.proxy.configuration.store import LabelChange, ProposedChange
from dewledge.errors import ErrorCode, Finding

CHANGE_ID = re.compile(r"[A-Za-z0-9_-]{1,64}")


class ResolvedChange(msgspec.Struct, frozen=True):
    """The change set for the next revision, and what is wrong with it."""

    change: ChangeSet
    findings: tuple[Finding, ...]


def resolve_change(proposal: ProposedChange, configuration: Configuration) -> ResolvedChange:
    """Applies a proposal to `configuration`, on which it is to follow, and checks the result.

    Labels are changed here, on the newest resource, so that a label another operator has set in
    the meantime stays.
    """
    findings = _check_proposal(proposal, configuration)
    relabelled = [
        _relabel(configuration.resources[change.key], change)
        for change in proposal.labels
        if change.key in configuration.resources
    ]
    change = ChangeSet(
        configuration.revision + 1,
        proposal.change_id,
        proposal.author,
        (*proposal.put, *relabelled),
        proposal.deleted,
    )
    findings += check_configuration(configuration.with_change(change))
    return ResolvedChange(change, tuple(findings))


def _relabel(resource: Resource, change: LabelChange) -> Resource:
    labels = dict(resource.labels)
    labels.update(change.put)
    for key in change.removed:
        labels.pop(key, None)
    return msgspec.structs.replace(resource, labels=tuple(sorted(labels.items())))


def _check_proposal(proposal: ProposedChange, configuration: Configuration) -> list[Finding]:
    findings: list[Finding] = []
    if not CHANGE_ID.fullmatch(proposal.change_id):
        message = "must be 1 to 64 letters, digits, - or _"
        findings.append(Finding("change_id", ErrorCode.MALFORMED_REQUEST, message))
    if not (proposal.put or proposal.deleted or proposal.labels):
        findings.append(Finding("change", ErrorCode.MALFORMED_REQUEST, "changes nothing"))
    put = [ResourceKey(resource.kind, resource.name) for resource in proposal.put]
    labelled = [change.key for change in proposal.labels]
    findings += _repeated([*put, *proposal.deleted, *labelled])
    for change in proposal.labels:
        findings += _check_label_change(change)
    for key in (*proposal.deleted, *labelled):
        if key not in configuration.resources:
            findings.append(Finding(place_of(key), ErrorCode.NOT_FOUND, "there is none"))
    return findings


def _check_label_change(change: LabelChange) -> list[Finding]:
    both = sorted(set(change.removed).intersection(key for key, _ in change.put))
    message = "is both set and removed"
    return [
        Finding(f"{place_of(change.key)} label {key}", ErrorCode.MALFORMED_REQUEST, message)
        for key in both
    ]


def _repeated(keys: Iterable[ResourceKey]) -> list[Finding]:
    seen: set[ResourceKey] = set()
    findings: list[Finding] = []
    for key in keys:
        if key in seen:
            message = "comes twice in this change"
            findings.append(Finding(place_of(key), ErrorCode.DUPLICATE_NAME, message))
        seen.add(key)
    return findings


def place_of(key: ResourceKey) -> str:
    """Returns how findings name a resource, such as "Database permits-1"."""
    return f"{key.kind} {key.name}"
