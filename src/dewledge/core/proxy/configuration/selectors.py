"""Label selectors with the meaning they have in Kubernetes.

`matches` tells whether one set of labels is selected. `LabelIndex` answers the same question for
many resources at once by set operations, so that indexing a configuration does not cost rules
times resources.
"""

from collections.abc import Iterable, Mapping

from dewledge.core.proxy.configuration.resources import (
    DatabaseSpec,
    Expression,
    Resource,
    Selector,
    SelectorOperator,
)

NAME_LABEL = "dewledge/name"
"""Every resource carries its own name under this label, so that a selector can name it."""

GROUP_LABEL = "dewledge/group"
ZONE_LABEL = "dewledge/zone"
REGION_LABEL = "dewledge/region"
"""A database carries its group, zone and region under these labels."""

DERIVED_LABELS = frozenset({NAME_LABEL, GROUP_LABEL, ZONE_LABEL, REGION_LABEL})
"""Labels that follow from the rest of a resource; operators do not set them."""


def labels_of(resource: Resource) -> dict[str, str]:
    """Returns a resource's labels together with its derived ones."""
    labels = dict(resource.labels)
    labels[NAME_LABEL] = resource.name
    if isinstance(resource.spec, DatabaseSpec):
        labels[GROUP_LABEL] = resource.spec.group
        labels[ZONE_LABEL] = resource.spec.zone
        labels[REGION_LABEL] = resource.spec.region
    return labels


def matches(selector: Selector, labels: Mapping[str, str]) -> bool:
    """Tells whether `labels` meet every condition of `selector`."""
    for key, value in selector.match_labels:
        if labels.get(key) != value:
            return False
    return all(_expression_matches(item, labels) for item in selector.match_expressions)


def _expression_matches(expression: Expression, labels: Mapping[str, str]) -> bool:
    match expression.operator:
        case SelectorOperator.IN:
            return labels.get(expression.key) in expression.values
        case SelectorOperator.NOT_IN:
            return labels.get(expression.key) not in expression.values
        case SelectorOperator.EXISTS:
            return expression.key in labels
        case SelectorOperator.DOES_NOT_EXIST:
            return expression.key not in labels


class LabelIndex:
    """The names of some resources, found by label. Never changed after it is built."""

    def __init__(self, resources: Iterable[Resource]) -> None:
        names: set[str] = set()
        by_pair: dict[tuple[str, str], set[str]] = {}
        by_key: dict[str, set[str]] = {}
        for resource in resources:
            names.add(resource.name)
            for key, value in labels_of(resource).items():
                by_pair.setdefault((key, value), set()).add(resource.name)
                by_key.setdefault(key, set()).add(resource.name)
        self.names = frozenset(names)
        self._by_pair = by_pair
        self._by_key = by_key

    def select(self, selector: Selector) -> frozenset[str]:
        """Returns the names of the resources that `selector` matches."""
        selected = self.names
        for pair in selector.match_labels:
            selected = selected.intersection(self._by_pair.get(pair, ()))
        for expression in selector.match_expressions:
            selected = self._narrow(selected, expression)
        return selected

    def _narrow(self, selected: frozenset[str], expression: Expression) -> frozenset[str]:
        match expression.operator:
            case SelectorOperator.IN:
                return selected & self._with_any_value(expression)
            case SelectorOperator.NOT_IN:
                return selected - self._with_any_value(expression)
            case SelectorOperator.EXISTS:
                return selected.intersection(self._by_key.get(expression.key, ()))
            case SelectorOperator.DOES_NOT_EXIST:
                return selected.difference(self._by_key.get(expression.key, ()))

    def _with_any_value(self, expression: Expression) -> frozenset[str]:
        found = (self._by_pair.get((expression.key, value), ()) for value in expression.values)
        return frozenset().union(*found)
