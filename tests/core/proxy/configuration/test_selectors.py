"""Selectors mean what they mean in Kubernetes, and the index agrees with the plain match."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.proxy.configuration.resources import (
    DatabaseSpec,
    Expression,
    GroupSpec,
    Kind,
    Resource,
    Selector,
    SelectorOperator,
)
from dewledge.core.proxy.configuration.selectors import LabelIndex, labels_of, matches

KEYS = st.sampled_from(["app", "zone", "tier", "dewledge/name"])
VALUES = st.sampled_from(["", "a", "b", "item-0", "item-1"])
EXPRESSIONS = st.builds(
    Expression,
    key=KEYS,
    operator=st.sampled_from(SelectorOperator),
    values=st.lists(VALUES, max_size=3).map(tuple),
)
SELECTORS = st.builds(
    Selector,
    match_labels=st.dictionaries(KEYS, VALUES, max_size=2).map(lambda d: tuple(d.items())),
    match_expressions=st.lists(EXPRESSIONS, max_size=3).map(tuple),
)
LABELS = st.dictionaries(st.sampled_from(["app", "zone", "tier"]), VALUES, max_size=3)

LABELLED = {"app": "portal", "zone": "accra"}

# operator, key, values, expected on LABELLED
OPERATOR_TABLE = [
    (SelectorOperator.IN, "app", ("portal", "office"), True),
    (SelectorOperator.IN, "app", ("office",), False),
    (SelectorOperator.IN, "tier", ("gold",), False),
    (SelectorOperator.NOT_IN, "app", ("portal",), False),
    (SelectorOperator.NOT_IN, "app", ("office",), True),
    (SelectorOperator.NOT_IN, "tier", ("gold",), True),
    (SelectorOperator.EXISTS, "app", (), True),
    (SelectorOperator.EXISTS, "tier", (), False),
    (SelectorOperator.DOES_NOT_EXIST, "app", (), False),
    (SelectorOperator.DOES_NOT_EXIST, "tier", (), True),
]


class SelectorTest(unittest.TestCase):
    def test_operators(self) -> None:
        for operator, key, values, expected in OPERATOR_TABLE:
            with self.subTest(operator=operator, key=key, values=values):
                selector = Selector((), (Expression(key, operator, values),))
                self.assertEqual(matches(selector, LABELLED), expected)

    def test_all_conditions_must_hold_and_none_selects_all(self) -> None:
        self.assertTrue(matches(Selector(), {}))
        self.assertTrue(matches(Selector((("app", "portal"), ("zone", "accra"))), LABELLED))
        self.assertFalse(matches(Selector((("app", "portal"), ("zone", "tamale"))), LABELLED))

    def test_a_database_carries_derived_labels(self) -> None:
        spec = DatabaseSpec("permits", "10.0.0.1:1", "accra", "coast")
        labels = labels_of(Resource(Kind.DATABASE, "permits-1", (), spec))
        expected = {
            "dewledge/name": "permits-1",
            "dewledge/group": "permits",
            "dewledge/zone": "accra",
            "dewledge/region": "coast",
        }
        self.assertEqual(labels, expected)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(LABELS, max_size=6), SELECTORS)
    def test_the_index_selects_what_matches(
        self, all_labels: list[dict[str, str]], selector: Selector
    ) -> None:
        resources = [
            Resource(Kind.GROUP, f"item-{number}", tuple(sorted(labels.items())), GroupSpec())
            for number, labels in enumerate(all_labels)
        ]
        expected = {item.name for item in resources if matches(selector, labels_of(item))}
        self.assertEqual(LabelIndex(resources).select(selector), expected)


if __name__ == "__main__":
    unittest.main()
