"""Who may do what: an index over one configuration revision. What no rule allows is denied."""

from collections.abc import Iterable, Iterator

import msgspec

from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.configuration.configuration import DRAIN_LABEL, Configuration
from dewledge.core.proxy.configuration.resources import (
    SELECT_ALL,
    CallerSpec,
    Kind,
    RuleEffect,
    RuleSpec,
    Selector,
)
from dewledge.core.proxy.configuration.selectors import LabelIndex
from dewledge.core.shared.caller_credentials import credential_digest, index_credentials

BOOTSTRAP_OPERATOR = "bootstrap-operator"
"""The caller that presents the operator token of the settings; no Caller resource may be so named.

It may change resources, also when the configuration is empty, and may use no group.
"""

DRAINED = Selector(match_labels=((DRAIN_LABEL, "true"),))


class _AllowRule(msgspec.Struct, frozen=True):
    callers: frozenset[str]
    groups: frozenset[str]
    proxies: frozenset[str]
    every_proxy: bool
    access: frozenset[Access]

    def allows(self, group: str, access: Access, proxy: str) -> bool:
        if access not in self.access or group not in self.groups:
            return False
        return self.every_proxy or proxy in self.proxies


class _ReadsRule(msgspec.Struct, frozen=True):
    callers: frozenset[str]
    groups: frozenset[str]
    databases: frozenset[str]


class AccessPolicy:
    """The rules of one configuration revision, ready to be asked for every request.

    Each selector is evaluated once, here. What a caller's own rules are is found at its first
    request and kept, since a proxy serves only some of the callers.
    """

    def __init__(
        self,
        configuration: Configuration,
        bootstrap_operator_token_sha256: str | None = None,
    ) -> None:
        self.revision = configuration.revision
        self._configuration = configuration
        self._callers = LabelIndex(configuration.of_kind(Kind.CALLER))
        self._groups = LabelIndex(configuration.of_kind(Kind.GROUP))
        self._databases = LabelIndex(configuration.of_kind(Kind.DATABASE))
        self._proxies = LabelIndex(configuration.of_kind(Kind.PROXY))
        self._caller_by_digest = dict(index_credentials(_tokens_of_callers(configuration)))
        if bootstrap_operator_token_sha256:
            self._caller_by_digest[bootstrap_operator_token_sha256] = BOOTSTRAP_OPERATOR
        rules = configuration.rules()
        self._allow_rules = [
            self._allow_rule(rule) for rule in _with_effect(rules, RuleEffect.ALLOW)
        ]
        self._reads_rules = [
            self._reads_rule(rule) for rule in _with_effect(rules, RuleEffect.READS)
        ]
        self._operators = self._select_operators(rules)
        self._drained = self._select_drained(rules)
        self._allow_rules_by_caller: dict[str, tuple[_AllowRule, ...]] = {}
        self._read_databases: dict[tuple[str, str], tuple[str, ...]] = {}

    def authenticate(self, token: str) -> str | None:
        """Returns the name of the caller that presents `token`, or None."""
        return self._caller_by_digest.get(credential_digest(token))

    def may_use(self, caller: str, group: str, access: Access, proxy: str) -> bool:
        """Tells whether `caller` may run statements with `access` in `group` through `proxy`.

        A proxy without a resource of its own is selected only by an empty proxy selector.
        """
        return any(rule.allows(group, access, proxy) for rule in self._allow_rules_of(caller))

    def read_databases(self, caller: str, group: str) -> tuple[str, ...]:
        """Returns the databases that reads of `caller` in `group` may go to, sorted.

        Drained ones are included; `is_drained` tells them.
        """
        key = (caller, group)
        found = self._read_databases.get(key)
        if found is None:
            found = self._find_read_databases(caller, group)
            self._read_databases[key] = found
        return found

    def is_drained(self, database: str) -> bool:
        """Tells whether `database` takes no new work."""
        return database in self._drained

    def may_operate(self, caller: str) -> bool:
        """Tells whether `caller` may read and change resources."""
        return caller in self._operators or caller == BOOTSTRAP_OPERATOR

    def _allow_rules_of(self, caller: str) -> tuple[_AllowRule, ...]:
        found = self._allow_rules_by_caller.get(caller)
        if found is None:
            if caller not in self._callers.names:
                return ()
            found = tuple(rule for rule in self._allow_rules if caller in rule.callers)
            self._allow_rules_by_caller[caller] = found
        return found

    def _find_read_databases(self, caller: str, group: str) -> tuple[str, ...]:
        databases = self._configuration.databases_of(group)
        applying = [
            rule.databases
            for rule in self._reads_rules
            if caller in rule.callers and group in rule.groups
        ]
        if not applying:
            return databases
        return tuple(name for name in databases if any(name in allowed for allowed in applying))

    def _allow_rule(self, rule: RuleSpec) -> _AllowRule:
        return _AllowRule(
            callers=self._callers.select(rule.callers),
            groups=self._groups.select(rule.groups),
            proxies=self._proxies.select(rule.proxies),
            every_proxy=rule.proxies == SELECT_ALL,
            access=frozenset(rule.access),
        )

    def _reads_rule(self, rule: RuleSpec) -> _ReadsRule:
        return _ReadsRule(
            callers=self._callers.select(rule.callers),
            groups=self._groups.select(rule.groups),
            databases=self._databases.select(rule.databases),
        )

    def _select_operators(self, rules: Iterable[RuleSpec]) -> frozenset[str]:
        selected = (
            self._callers.select(rule.callers) for rule in _with_effect(rules, RuleEffect.OPERATE)
        )
        return frozenset().union(*selected)

    def _select_drained(self, rules: Iterable[RuleSpec]) -> frozenset[str]:
        selected = (
            self._databases.select(rule.databases) for rule in _with_effect(rules, RuleEffect.DRAIN)
        )
        return self._databases.select(DRAINED).union(*selected)


def _with_effect(rules: Iterable[RuleSpec], effect: RuleEffect) -> list[RuleSpec]:
    return [rule for rule in rules if rule.effect is effect]


def _tokens_of_callers(configuration: Configuration) -> Iterator[tuple[str, tuple[str, ...]]]:
    for item in configuration.of_kind(Kind.CALLER):
        if isinstance(item.spec, CallerSpec):
            yield item.name, item.spec.token_sha256
