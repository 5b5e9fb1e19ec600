"""The resources of a deployment: groups, databases, callers, and the rules that join them."""

import hashlib
from collections.abc import Mapping
from typing import Any

from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.configuration.resource_documents import to_document
from dewledge.core.proxy.configuration.resources import (
    CallerSpec,
    DatabaseSpec,
    GroupSpec,
    Kind,
    Resource,
    RuleEffect,
    RuleSpec,
    Selector,
    Spec,
)
from dewledge.standin.deployments import CallerRole, Deployment, DeploymentCaller
from dewledge.standin.link_delays import Locality

DEPLOYMENT_LABEL = "deployment"
ROLE_LABEL = "role"
SITE_LABEL = "site"
GROUP_LABEL = "group"


def demonstration_token(deployment: Deployment, caller: str) -> str:
    """Returns a caller's well-known token; for demos and tests only."""
    return f"{deployment.name}-{caller}-token"


def resources_of(deployment: Deployment, addresses: Mapping[str, str]) -> list[Resource]:
    """Returns a deployment's resources, with each database's "ip:port" by name.

    Raises KeyError for a database without an address.
    """
    resources = [_group(deployment, name) for name in deployment.groups]
    for group in deployment.groups:
        for name, place in deployment.databases_of(group).items():
            resources.append(_database(deployment, group, name, place, addresses[name]))
    resources += [_caller(deployment, caller) for caller in deployment.callers]
    resources += _rules(deployment)
    return resources


def documents_of(deployment: Deployment, addresses: Mapping[str, str]) -> list[dict[str, Any]]:
    """Returns the same as plain documents, ready for YAML or JSON. Raises KeyError."""
    return [to_document(resource) for resource in resources_of(deployment, addresses)]


def _resource(kind: Kind, name: str, labels: Mapping[str, str], spec: Spec) -> Resource:
    return Resource(kind, name, tuple(sorted(labels.items())), spec)


def _group(deployment: Deployment, name: str) -> Resource:
    return _resource(Kind.GROUP, name, {DEPLOYMENT_LABEL: deployment.name.value}, GroupSpec())


def _database(
    deployment: Deployment, group: str, name: str, place: Locality, address: str
) -> Resource:
    labels = {
        DEPLOYMENT_LABEL: deployment.name.value,
        GROUP_LABEL: group,
        SITE_LABEL: place.region,
    }
    spec = DatabaseSpec(
        group=group,
        address=address,
        zone=place.zone,
        region=place.region,
        slots=deployment.slots,
        max_connections=deployment.max_connections,
    )
    return _resource(Kind.DATABASE, name, labels, spec)


def _caller(deployment: Deployment, caller: DeploymentCaller) -> Resource:
    labels = {DEPLOYMENT_LABEL: deployment.name.value, ROLE_LABEL: caller.role.value}
    token = demonstration_token(deployment, caller.name)
    digest = hashlib.sha256(token.encode()).hexdigest()
    return _resource(Kind.CALLER, caller.name, labels, CallerSpec(token_sha256=(digest,)))


def _rules(deployment: Deployment) -> list[Resource]:
    writers = _allow(deployment, CallerRole.WRITER, (Access.READ, Access.WRITE))
    readers = _allow(deployment, CallerRole.READER, (Access.READ,))
    operators = RuleSpec(
        effect=RuleEffect.OPERATE, callers=_callers(deployment, CallerRole.OPERATOR)
    )
    prefix = deployment.name.value
    return [
        _resource(Kind.RULE, f"{prefix}-writers", {}, writers),
        _resource(Kind.RULE, f"{prefix}-readers", {}, readers),
        _resource(Kind.RULE, f"{prefix}-operators", {}, operators),
    ]


def _allow(deployment: Deployment, role: CallerRole, access: tuple[Access, ...]) -> RuleSpec:
    return RuleSpec(
        effect=RuleEffect.ALLOW,
        callers=_callers(deployment, role),
        groups=Selector(match_labels=((DEPLOYMENT_LABEL, deployment.name.value),)),
        access=access,
    )


def _callers(deployment: Deployment, role: CallerRole) -> Selector:
    labels = ((DEPLOYMENT_LABEL, deployment.name.value), (ROLE_LABEL, role.value))
    return Selector(match_labels=labels)
