"""What no rule allows is denied; rules, drain and tokens decide as one revision says."""

import unittest

from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.configuration.authorization import BOOTSTRAP_OPERATOR, AccessPolicy
from dewledge.core.proxy.configuration.configuration import DRAIN_LABEL, Configuration
from dewledge.core.proxy.configuration.resources import (
    CallerSpec,
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
from dewledge.core.shared.caller_credentials import credential_digest

READ, WRITE = Access.READ, Access.WRITE
NOT_PUBLIC = Expression("edge", SelectorOperator.NOT_IN, ("public",))


def label(key: str, value: str) -> Selector:
    return Selector(((key, value),))


def caller(name: str, *tokens: str, **labels: str) -> Resource:
    digests = tuple(credential_digest(token) for token in tokens)
    return Resource(Kind.CALLER, name, tuple(sorted(labels.items())), CallerSpec(digests))


def database(name: str, zone: str, *labels: tuple[str, str]) -> Resource:
    return Resource(Kind.DATABASE, name, labels, DatabaseSpec("permits", "10.0.0.1:1", zone))


def rule(name: str, spec: RuleSpec) -> Resource:
    return Resource(Kind.RULE, name, (), spec)


CONFIGURATION = Configuration(
    1,
    [
        Resource(Kind.GROUP, "permits", (("app", "permits"),), GroupSpec()),
        Resource(Kind.GROUP, "fees", (("app", "fees"),), GroupSpec()),
        database("p1", "accra"),
        database("p2", "kumasi", (DRAIN_LABEL, "true")),
        database("p3", "tamale", (DRAIN_LABEL, "false"), ("retire", "yes")),
        Resource(Kind.PROXY, "inside", (("edge", "office"),), ProxySpec()),
        Resource(Kind.PROXY, "outside", (("edge", "public"),), ProxySpec()),
        caller("portal", "portal-token", team="portal"),
        caller("office", "office-token", "office-next-token", team="office"),
        caller("stranger", "stranger-token"),
        rule(
            "portal-reads",
            RuleSpec(
                RuleEffect.ALLOW,
                callers=label("team", "portal"),
                groups=label("app", "permits"),
                access=(READ,),
            ),
        ),
        rule(
            "office-works",
            RuleSpec(
                RuleEffect.ALLOW,
                callers=label("team", "office"),
                proxies=Selector((), (NOT_PUBLIC,)),
                access=(READ, WRITE),
            ),
        ),
        rule(
            "portal-far",
            RuleSpec(
                RuleEffect.READS,
                callers=label("team", "portal"),
                databases=label("dewledge/zone", "kumasi"),
            ),
        ),
        rule(
            "portal-farther",
            RuleSpec(
                RuleEffect.READS,
                callers=label("team", "portal"),
                databases=label("dewledge/name", "p3"),
            ),
        ),
        rule("drain-retired", RuleSpec(RuleEffect.DRAIN, databases=label("retire", "yes"))),
        rule("operators", RuleSpec(RuleEffect.OPERATE, callers=label("team", "office"))),
    ],
)

# caller, group, access, proxy, expected
USE_TABLE = [
    ("portal", "permits", READ, "inside", True),
    ("portal", "permits", READ, "not-declared", True),
    ("portal", "permits", WRITE, "inside", False),
    ("portal", "fees", READ, "inside", False),
    ("office", "fees", WRITE, "inside", True),
    ("office", "fees", WRITE, "outside", False),
    ("office", "fees", WRITE, "not-declared", False),
    ("office", "unknown", READ, "inside", False),
    ("stranger", "permits", READ, "inside", False),
    ("nobody", "permits", READ, "inside", False),
    (BOOTSTRAP_OPERATOR, "permits", READ, "inside", False),
]


class AccessPolicyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.policy = AccessPolicy(CONFIGURATION, credential_digest("first-token"))

    def test_use(self) -> None:
        for name, group, access, proxy, expected in USE_TABLE:
            with self.subTest(caller=name, group=group, access=access, proxy=proxy):
                self.assertEqual(self.policy.may_use(name, group, access, proxy), expected)

    def test_an_empty_configuration_allows_nothing(self) -> None:
        policy = AccessPolicy(Configuration(0, ()))
        for name, group, access, proxy, _ in USE_TABLE:
            self.assertFalse(policy.may_use(name, group, access, proxy))
            self.assertFalse(policy.may_operate(name) and name != BOOTSTRAP_OPERATOR)
        self.assertIsNone(policy.authenticate("first-token"))

    def test_reads_go_to_the_union_of_the_rules_that_apply(self) -> None:
        self.assertEqual(self.policy.read_databases("portal", "permits"), ("p2", "p3"))
        self.assertEqual(self.policy.read_databases("office", "permits"), ("p1", "p2", "p3"))
        self.assertEqual(self.policy.read_databases("portal", "unknown"), ())

    def test_drained_by_label_or_rule(self) -> None:
        drained = [name for name in ("p1", "p2", "p3") if self.policy.is_drained(name)]
        self.assertEqual(drained, ["p2", "p3"])

    def test_tokens(self) -> None:
        table = {
            "portal-token": "portal",
            "office-token": "office",
            "office-next-token": "office",
            "first-token": BOOTSTRAP_OPERATOR,
            "": None,
            "wrong": None,
            "\ud800": None,
            credential_digest("portal-token"): None,
        }
        for token, expected in table.items():
            with self.subTest(token=token):
                self.assertEqual(self.policy.authenticate(token), expected)

    def test_operators(self) -> None:
        operators = ["office", BOOTSTRAP_OPERATOR]
        names = ["portal", "office", "stranger", "nobody", BOOTSTRAP_OPERATOR]
        self.assertEqual([name for name in names if self.policy.may_operate(name)], operators)


if __name__ == "__main__":
    unittest.main()
