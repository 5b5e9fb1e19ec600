"""What makes a resource, and a whole configuration, right. Pure; every finding is returned."""

import re
from collections.abc import Iterable

from dewledge.core.proxy.configuration.authorization import BOOTSTRAP_OPERATOR
from dewledge.core.proxy.configuration.codec import SPEC_TYPES
from dewledge.core.proxy.configuration.configuration import DRAIN_LABEL, Configuration
from dewledge.core.proxy.configuration.resources import (
    SELECT_ALL,
    CallerSpec,
    DatabaseSpec,
    Expression,
    GroupSpec,
    Kind,
    Resource,
    RuleEffect,
    RuleSpec,
    Selector,
    SelectorOperator,
)
from dewledge.core.proxy.configuration.selectors import DERIVED_LABELS, GROUP_LABEL, NAME_LABEL
from dewledge.core.shared.addresses import check_remote_address
from dewledge.errors import ErrorCode, Finding

NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?")
LABEL_VALUE = re.compile(r"([A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?)?")
LABEL_KEY = re.compile(
    r"([a-z0-9][a-z0-9.-]{0,252}/)?[A-Za-z0-9]([A-Za-z0-9._-]{0,61}[A-Za-z0-9])?"
)
DIGEST = re.compile(r"[0-9a-f]{64}")
MAX_LABELS = 64
"""Labels of one resource; bounds a row of the table service and the index."""
MAX_READ_WAIT = 60.0
"""Seconds; beyond the longest deadline of a call a wait serves nobody."""
MAX_CONNECTIONS = 100_000
"""Connections; to one database; catches a slip of the keyboard, far above what a database bears."""
MAX_WEIGHT = 1_000
"""Ratio of the largest to the least share of two callers."""

SELECTORS_BY_EFFECT = {
    RuleEffect.ALLOW: ("callers", "groups", "proxies"),
    RuleEffect.READS: ("callers", "groups", "databases"),
    RuleEffect.DRAIN: ("databases",),
    RuleEffect.OPERATE: ("callers",),
}
"""The selectors that an effect names."""

KIND_BY_SELECTOR = {
    "callers": Kind.CALLER,
    "groups": Kind.GROUP,
    "databases": Kind.DATABASE,
    "proxies": Kind.PROXY,
}

OPERATORS_WITH_VALUES = (SelectorOperator.IN, SelectorOperator.NOT_IN)


def check_resource(resource: Resource) -> list[Finding]:
    """Checks one resource by itself; places are paths within its document."""
    findings: list[Finding] = []
    if not NAME.fullmatch(resource.name):
        message = "must be 1 to 63 letters, digits, '.', '_' or '-', not at its ends"
        findings.append(_invalid("metadata.name", message))
    findings += _check_labels(resource)
    spec = resource.spec
    if not isinstance(spec, SPEC_TYPES[resource.kind]):
        findings.append(_invalid("spec", f"is not the spec of a {resource.kind}"))
    elif isinstance(spec, GroupSpec):
        findings += _check_group(spec)
    elif isinstance(spec, DatabaseSpec):
        findings += _check_database(spec)
    elif isinstance(spec, CallerSpec):
        findings += _check_caller(resource.name, spec)
    elif isinstance(spec, RuleSpec):
        findings += _check_rule(spec)
    return findings


def check_configuration(configuration: Configuration) -> list[Finding]:
    """Checks every resource and what they say of each other; places begin with kind and name."""
    findings: list[Finding] = []
    for key, resource in sorted(configuration.resources.items()):
        place = f"{key.kind} {key.name}"
        found = check_resource(resource)
        found += _check_references(resource, configuration)
        findings += [Finding(f"{place} {item.place}", item.code, item.message) for item in found]
    findings += _check_addresses_differ(configuration)
    findings += _check_tokens_differ(configuration)
    return findings


def _invalid(place: str, message: str) -> Finding:
    return Finding(place, ErrorCode.INVALID_RESOURCE, message)


def _check_labels(resource: Resource) -> list[Finding]:
    findings: list[Finding] = []
    if len(resource.labels) > MAX_LABELS:
        findings.append(_invalid("metadata.labels", f"at most {MAX_LABELS} labels"))
    if list(resource.labels) != sorted(dict(resource.labels).items()):
        findings.append(_invalid("metadata.labels", "must be sorted, each key once"))
    for key, value in resource.labels:
        place = f"metadata.labels.{key}"
        if not LABEL_KEY.fullmatch(key):
            findings.append(_invalid(place, "is not a label key"))
        if not LABEL_VALUE.fullmatch(value):
            findings.append(_invalid(place, f"{value!r} is not a label value"))
        if key in DERIVED_LABELS:
            findings.append(_invalid(place, "follows from the resource and cannot be set"))
        if key == DRAIN_LABEL and value not in ("true", "false"):
            findings.append(_invalid(place, 'must be "true" or "false"'))
    return findings


def _check_group(spec: GroupSpec) -> list[Finding]:
    if 0 <= spec.read_wait <= MAX_READ_WAIT:
        return []
    return [_invalid("spec.readWait", f"must be 0 to {MAX_READ_WAIT:.0f} seconds")]


def _check_database(spec: DatabaseSpec) -> list[Finding]:
    findings: list[Finding] = []
    try:
        check_remote_address(spec.address)
    except ValueError as error:
        findings.append(_invalid("spec.address", str(error)))
    if not spec.zone:
        findings.append(_invalid("spec.zone", "must not be empty"))
    for field, value in (("zone", spec.zone), ("region", spec.region)):
        if not LABEL_VALUE.fullmatch(value):
            findings.append(_invalid(f"spec.{field}", "must be usable as a label value"))
    if not 1 <= spec.slots <= MAX_CONNECTIONS:
        findings.append(_invalid("spec.slots", f"must be 1 to {MAX_CONNECTIONS}"))
    if not 1 <= spec.max_connections <= MAX_CONNECTIONS:
        findings.append(_invalid("spec.maxConnections", f"must be 1 to {MAX_CONNECTIONS}"))
    if spec.max_connections < spec.slots:
        findings.append(_invalid("spec.maxConnections", "must not be less than slots"))
    return findings


def _check_caller(name: str, spec: CallerSpec) -> list[Finding]:
    findings: list[Finding] = []
    if name == BOOTSTRAP_OPERATOR:
        findings.append(_invalid("metadata.name", "is reserved"))
    for index, digest in enumerate(spec.token_sha256):
        if not DIGEST.fullmatch(digest):
            place = f"spec.tokenSha256[{index}]"
            findings.append(_invalid(place, "must be 64 lower-case hexadecimal digits"))
    if not 1 <= spec.weight <= MAX_WEIGHT:
        findings.append(_invalid("spec.weight", f"must be 1 to {MAX_WEIGHT}"))
    return findings


def selectors_of(spec: RuleSpec) -> dict[str, Selector]:
    """Returns a rule's selectors by field name."""
    return {
        "callers": spec.callers,
        "groups": spec.groups,
        "databases": spec.databases,
        "proxies": spec.proxies,
    }


def _check_rule(spec: RuleSpec) -> list[Finding]:
    findings: list[Finding] = []
    named = SELECTORS_BY_EFFECT[spec.effect]
    for field, selector in selectors_of(spec).items():
        if field not in named and selector != SELECT_ALL:
            findings.append(_invalid(f"spec.{field}", f"has no meaning for {spec.effect}"))
        findings += _check_selector(f"spec.{field}", selector)
    if spec.effect is RuleEffect.ALLOW and not spec.access:
        findings.append(_invalid("spec.access", "must name read, write or both"))
    if spec.effect is not RuleEffect.ALLOW and spec.access:
        findings.append(_invalid("spec.access", f"has no meaning for {spec.effect}"))
    if len(set(spec.access)) != len(spec.access):
        findings.append(_invalid("spec.access", "names one twice"))
    return findings


def _check_selector(place: str, selector: Selector) -> list[Finding]:
    findings: list[Finding] = []
    for key, value in selector.match_labels:
        findings += _check_condition(f"{place}.matchLabels.{key}", key, (value,))
    if list(selector.match_labels) != sorted(dict(selector.match_labels).items()):
        findings.append(_invalid(f"{place}.matchLabels", "must be sorted, each key once"))
    for index, expression in enumerate(selector.match_expressions):
        findings += _check_expression(f"{place}.matchExpressions[{index}]", expression)
    return findings


def _check_expression(place: str, expression: Expression) -> list[Finding]:
    findings = _check_condition(place, expression.key, expression.values)
    takes_values = expression.operator in OPERATORS_WITH_VALUES
    if takes_values and not expression.values:
        findings.append(_invalid(f"{place}.values", f"{expression.operator} needs values"))
    if not takes_values and expression.values:
        findings.append(_invalid(f"{place}.values", f"{expression.operator} takes no values"))
    return findings


def _check_condition(place: str, key: str, values: Iterable[str]) -> list[Finding]:
    findings: list[Finding] = []
    if not LABEL_KEY.fullmatch(key):
        findings.append(_invalid(place, f"{key!r} is not a label key"))
    for value in values:
        if not LABEL_VALUE.fullmatch(value):
            findings.append(_invalid(place, f"{value!r} is not a label value"))
    return findings


def _check_references(resource: Resource, configuration: Configuration) -> list[Finding]:
    spec = resource.spec
    if isinstance(spec, DatabaseSpec) and configuration.group(spec.group) is None:
        return [_dangling("spec.group", Kind.GROUP, spec.group)]
    findings: list[Finding] = []
    if isinstance(spec, RuleSpec):
        for field, selector in selectors_of(spec).items():
            kind = KIND_BY_SELECTOR[field]
            findings += _check_selected(f"spec.{field}", kind, selector, configuration)
    return findings


def _check_selected(
    place: str, kind: Kind, selector: Selector, configuration: Configuration
) -> list[Finding]:
    """A selector that names a resource must name one that exists."""
    named = list(selector.match_labels)
    for expression in selector.match_expressions:
        named += [(expression.key, value) for value in expression.values]
    findings: list[Finding] = []
    for key, value in named:
        if key == NAME_LABEL and configuration.get(kind, value) is None:
            findings.append(_dangling(place, kind, value))
        is_group = key == GROUP_LABEL and kind is Kind.DATABASE
        if is_group and configuration.group(value) is None:
            findings.append(_dangling(place, Kind.GROUP, value))
    return findings


def _dangling(place: str, kind: Kind, name: str) -> Finding:
    return Finding(place, ErrorCode.DANGLING_REFERENCE, f"there is no {kind} {name}")


def _check_addresses_differ(configuration: Configuration) -> list[Finding]:
    found = [
        (resource.spec.address, resource.name)
        for resource in configuration.of_kind(Kind.DATABASE)
        if isinstance(resource.spec, DatabaseSpec)
    ]
    return _check_owners_differ(found, Kind.DATABASE, "spec.address", "is the address of")


def _check_tokens_differ(configuration: Configuration) -> list[Finding]:
    found = [
        (digest, resource.name)
        for resource in configuration.of_kind(Kind.CALLER)
        if isinstance(resource.spec, CallerSpec)
        for digest in resource.spec.token_sha256
    ]
    return _check_owners_differ(found, Kind.CALLER, "spec.tokenSha256", "has a token of")


def _check_owners_differ(
    found: Iterable[tuple[str, str]], kind: Kind, path: str, relation: str
) -> list[Finding]:
    """Finds values, given with their owners' names, that a resource shares with an earlier one."""
    owners: dict[str, str] = {}
    findings: list[Finding] = []
    for value, name in found:
        owner = owners.setdefault(value, name)
        if owner != name:
            message = f"{relation} {kind} {owner}"
            findings.append(Finding(f"{kind} {name} {path}", ErrorCode.DUPLICATE_NAME, message))
    return findings
