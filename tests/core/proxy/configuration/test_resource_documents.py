"""Documents: every finding with its place, nothing dropped, and back again unchanged."""

import re
import unittest
from pathlib import Path
from typing import Any

import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.configuration.authorization import AccessPolicy
from dewledge.core.proxy.configuration.configuration import Configuration
from dewledge.core.proxy.configuration.resource_documents import (
    check_configuration,
    load_documents,
    read_documents,
    selector_from_text,
    to_document,
)
from dewledge.core.proxy.configuration.resource_documents_check import SELECTORS_BY_EFFECT
from dewledge.core.proxy.configuration.resources import (
    SELECT_ALL,
    CallerSpec,
    Confirmation,
    DatabaseSpec,
    Expression,
    GroupSpec,
    Kind,
    ProxySpec,
    Resource,
    RuleEffect,
    RuleSpec,
    Selector,
    SelectorOperator,
)
from dewledge.errors import ErrorCode, InvalidInput

INVALID, UNKNOWN_FIELD = ErrorCode.INVALID_RESOURCE, ErrorCode.UNKNOWN_FIELD
DIGEST = "ab" * 32
PAGE = Path(__file__).parents[4] / "docs" / "RESOURCES.md"

# name, text, findings as (place, code), all of them
FINDINGS_TABLE: list[tuple[str, str, list[tuple[str, ErrorCode]]]] = [
    ("not a mapping", "- 1", [("f#1 kind", ErrorCode.UNKNOWN_KIND)]),
    ("unknown kind", "kind: Pod", [("f#1 kind", ErrorCode.UNKNOWN_KIND)]),
    ("nothing but kind", "kind: Group", [("f#1 metadata", INVALID)]),
    (
        "unknown fields at every depth",
        "{kind: Group, metadata: {name: g, uid: 1}, spec: {size: 2}, status: {}}",
        [
            ("f#1 metadata.uid", UNKNOWN_FIELD),
            ("f#1 spec.size", UNKNOWN_FIELD),
            ("f#1 status", UNKNOWN_FIELD),
        ],
    ),
    (
        "snake_case is another field",
        "{kind: Group, metadata: {name: g}, spec: {read_wait: 1}}",
        [("f#1 spec.read_wait", UNKNOWN_FIELD)],
    ),
    (
        "a label that YAML reads as a boolean",
        "{kind: Group, metadata: {name: g, labels: {on: yes}}}",
        [
            ("f#1 line 1", INVALID),
            ("f#1 metadata.labels[1][key]", INVALID),
            ("f#1 metadata.labels[1]", INVALID),
        ],
    ),
    (
        "doubled key",
        "{kind: Group, metadata: {name: g, name: h}}",
        [("f#1 line 1", INVALID)],
    ),
    (
        "findings of several documents together",
        "{kind: Group, metadata: {name: -g}}\n---\n{kind: Group, metadata: {name: g}, spec: "
        "{readWait: -1, confirmation: maybe}}\n---\nkind: [",
        [
            ("f#3 line 5", INVALID),
            ("f#1 metadata.name", INVALID),
            ("f#2 spec.confirmation", INVALID),
        ],
    ),
    (
        "the same name twice, in different documents",
        "{kind: Group, metadata: {name: g}}\n---\n{kind: Proxy, metadata: {name: g}}\n---\n"
        "{kind: Group, metadata: {name: g}}",
        [("f#3", ErrorCode.DUPLICATE_NAME)],
    ),
    (
        "bad database",
        "{kind: Database, metadata: {name: d}, spec: {group: g, address: localhost:1, zone: '', "
        "slots: 9, maxConnections: 8}}",
        [
            ("f#1 spec.address", INVALID),
            ("f#1 spec.zone", INVALID),
            ("f#1 spec.maxConnections", INVALID),
        ],
    ),
    (
        "numbers are not text nor booleans",
        "{kind: Database, metadata: {name: d}, spec: {group: 1, address: '1.1.1.1:1', zone: z, "
        "slots: '5', maxConnections: true}}",
        [
            ("f#1 spec.group", INVALID),
            ("f#1 spec.slots", INVALID),
            ("f#1 spec.maxConnections", INVALID),
        ],
    ),
    (
        "bad caller",
        "{kind: Caller, metadata: {name: bootstrap-operator}, spec: {tokenSha256: [secret], "
        "weight: 0}}",
        [
            ("f#1 metadata.name", INVALID),
            ("f#1 spec.tokenSha256[0]", INVALID),
            ("f#1 spec.weight", INVALID),
        ],
    ),
    (
        "a forgotten selector does not drain everything",
        "{kind: Rule, metadata: {name: r}, spec: {effect: drain}}",
        [("f#1 spec.databases", INVALID)],
    ),
    (
        "a selector without a meaning, and access missing",
        "{kind: Rule, metadata: {name: r}, spec: {effect: allow, callers: {}, groups: {}, "
        "databases: {matchLabels: {a: b}}}}",
        [("f#1 spec.databases", INVALID), ("f#1 spec.access", INVALID)],
    ),
    (
        "expressions with and without values",
        "{kind: Rule, metadata: {name: r}, spec: {effect: drain, databases: {matchExpressions: "
        "[{key: a, operator: In}, {key: b, operator: Exists, values: [c]}, "
        "{key: '!', operator: Like}]}}}",
        [("f#1 spec.databases.matchExpressions[2].operator", INVALID)],
    ),
    (
        "a derived label and a bad drain label",
        "{kind: Group, metadata: {name: g, labels: {dewledge/name: x, dewledge/drain: maybe}}}",
        [
            ("f#1 metadata.labels.dewledge/drain", INVALID),
            ("f#1 metadata.labels.dewledge/name", INVALID),
        ],
    ),
    ("an alias", "a: &x 1\nb: *x", [("f#1 line 2", INVALID)]),
    ("a tag of another language", "!!python/object:os.system {}", [("f#1 line 1", INVALID)]),
    ("an impossible date", "kind: 2024-13-45", [("f#1", INVALID)]),
    ("nested without end", "[" * 5000, [("f#1", INVALID)]),
]

NAMES = st.from_regex(r"[a-z][a-z0-9-]{0,8}[a-z0-9]", fullmatch=True)
PAIRS = st.dictionaries(NAMES, NAMES, max_size=3).map(lambda d: tuple(sorted(d.items())))
EXPRESSIONS = st.one_of(
    st.builds(
        Expression,
        NAMES,
        st.sampled_from([SelectorOperator.IN, SelectorOperator.NOT_IN]),
        st.lists(NAMES, min_size=1, max_size=2).map(tuple),
    ),
    st.builds(
        Expression,
        NAMES,
        st.sampled_from([SelectorOperator.EXISTS, SelectorOperator.DOES_NOT_EXIST]),
    ),
)
SELECTORS = st.builds(Selector, PAIRS, st.lists(EXPRESSIONS, max_size=2).map(tuple))
SPECS: dict[Kind, st.SearchStrategy[Any]] = {
    Kind.GROUP: st.builds(GroupSpec, st.sampled_from(Confirmation), st.floats(0, 60)),
    Kind.DATABASE: st.builds(
        DatabaseSpec,
        group=NAMES,
        address=st.integers(1, 65535).map(lambda port: f"10.0.0.1:{port}"),
        zone=NAMES,
        region=NAMES,
        slots=st.integers(1, 5),
        max_connections=st.integers(5, 50),
    ),
    Kind.PROXY: st.builds(ProxySpec, st.text(st.characters(codec="ascii"), max_size=5)),
    Kind.CALLER: st.builds(CallerSpec, st.just((DIGEST,)), st.integers(1, 9)),
}


@st.composite
def rules(draw: st.DrawFn) -> RuleSpec:
    effect = draw(st.sampled_from(RuleEffect))
    selectors = {name: draw(SELECTORS) for name in SELECTORS_BY_EFFECT[effect]}
    access = (Access.READ, Access.WRITE) if effect is RuleEffect.ALLOW else ()
    return RuleSpec(effect, access=access, **selectors)


SPECS[Kind.RULE] = rules()
RESOURCES = st.sampled_from(Kind).flatmap(
    lambda kind: st.builds(Resource, st.just(kind), NAMES, PAIRS, SPECS[kind])
)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    items = value.items() if isinstance(value, dict) else enumerate(value)
    found = [path] if path else []
    if isinstance(value, dict | list):
        for key, inner in items:
            found += paths(inner, (*path, key)) if isinstance(inner, dict | list) else []
            found.append((*path, key))
    return found


class FindingsTest(unittest.TestCase):
    def test_every_finding_has_its_place_and_code(self) -> None:
        for name, text, expected in FINDINGS_TABLE:
            with self.subTest(name=name):
                with self.assertRaises(InvalidInput) as caught:
                    load_documents(text, "f")
                found = [(item.place, item.code) for item in caught.exception.findings]
                self.assertEqual(found, expected, caught.exception.findings)

    def test_references_between_resources(self) -> None:
        named = Selector((("dewledge/name", "gone"),))
        grouped = Selector((), (Expression("dewledge/group", SelectorOperator.IN, ("g", "gone")),))
        caller = CallerSpec((DIGEST,))
        database = DatabaseSpec("g", "10.0.0.1:1", "z")
        resources = [
            Resource(Kind.GROUP, "g", (), GroupSpec()),
            Resource(Kind.DATABASE, "d1", (), database),
            Resource(Kind.DATABASE, "d2", (), database),
            Resource(Kind.DATABASE, "d3", (), DatabaseSpec("gone", "10.0.0.2:1", "z")),
            Resource(Kind.CALLER, "c1", (), caller),
            Resource(Kind.CALLER, "c2", (), caller),
            Resource(Kind.RULE, "r1", (), RuleSpec(RuleEffect.DRAIN, databases=named)),
            Resource(Kind.RULE, "r2", (), RuleSpec(RuleEffect.DRAIN, databases=grouped)),
        ]
        dangling, duplicate = ErrorCode.DANGLING_REFERENCE, ErrorCode.DUPLICATE_NAME
        expected = [
            ("Database d3 spec.group", dangling),
            ("Rule r1 spec.databases", dangling),
            ("Rule r2 spec.databases", dangling),
            ("Database d2 spec.address", duplicate),
            ("Caller c2 spec.tokenSha256", duplicate),
        ]
        findings = check_configuration(Configuration(1, resources))
        self.assertEqual([(item.place, item.code) for item in findings], expected)

    def test_selector_text(self) -> None:
        self.assertEqual(selector_from_text("b=2,a=1"), Selector((("a", "1"), ("b", "2"))))
        self.assertEqual(selector_from_text(""), SELECT_ALL)
        with self.assertRaises(InvalidInput) as caught:
            selector_from_text("a,=b,c=1,c=2")
        self.assertEqual(len(caught.exception.findings), 3)


class RoundTripTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(RESOURCES)
    def test_a_document_reads_back_as_the_same_resource(self, resource: Resource) -> None:
        document = to_document(resource)
        self.assertEqual(read_documents([document], "x"), [resource])
        self.assertEqual(load_documents(yaml.safe_dump(document), "f"), [resource])

    @settings(derandomize=True, deadline=None)
    @given(RESOURCES, st.data())
    def test_a_damaged_document_is_read_or_refused(
        self, resource: Resource, data: st.DataObject
    ) -> None:
        document = to_document(resource)
        path = data.draw(st.sampled_from(paths(document)))
        target: Any = document
        for key in path[:-1]:
            target = target[key]
        target[path[-1]] = data.draw(JSON_VALUES)
        self.check_text(yaml.safe_dump(document))

    @settings(derandomize=True, deadline=None)
    @given(JSON_VALUES)
    def test_any_value_is_refused(self, value: Any) -> None:
        with self.assertRaises(InvalidInput):
            read_documents([value], "x")

    @settings(derandomize=True, deadline=None)
    @given(
        st.text(
            alphabet=st.sampled_from("kind: Groupa\n-{}[]&*!|>'\"#%@`,?\t\x00\ud800é"), max_size=40
        )
    )
    def test_any_text_is_read_or_refused(self, text: str) -> None:
        self.check_text(text)

    def check_text(self, text: str) -> None:
        try:
            resources = load_documents(text, "f")
        except InvalidInput as error:
            for finding in error.findings:
                self.assertTrue(finding.place.startswith("f#"), finding)
            return
        again = read_documents([to_document(item) for item in resources], "x")
        self.assertEqual(again, resources)


class PageTest(unittest.TestCase):
    def test_the_example_of_the_page_is_whole_and_right(self) -> None:
        (example,) = re.findall(r"```yaml\n(.*?)```", PAGE.read_text(), re.DOTALL)
        resources = load_documents(example, "RESOURCES.md")
        configuration = Configuration(1, resources)
        self.assertEqual(check_configuration(configuration), [])
        policy = AccessPolicy(configuration)
        self.assertEqual(policy.authenticate("portal-example-token"), "portal")
        self.assertEqual(
            policy.read_databases("portal", "applications"),
            ("applications-kumasi", "applications-tamale"),
        )
        self.assertFalse(policy.may_use("portal", "applications", Access.WRITE, "any"))
        self.assertTrue(policy.may_use("case-system", "applications", Access.WRITE, "any"))
        self.assertTrue(policy.may_operate("on-call"))


if __name__ == "__main__":
    unittest.main()
