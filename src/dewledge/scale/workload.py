"""The configuration of the size to come, and changes to it."""

from dewledge.core.proxy.configuration.configuration import ChangeSet, Configuration
from dewledge.core.proxy.configuration.resources import (
    CallerSpec,
    DatabaseSpec,
    GroupSpec,
    Kind,
    ProxySpec,
    Resource,
    RuleEffect,
    RuleSpec,
    Spec,
)
from dewledge.scale.topology import place_of

DATABASES = 1400
GROUPS = 467
PROXIES = 850
CALLERS = 40
RULES = 20


def full_configuration() -> Configuration:
    """Returns 1,400 databases in 467 groups, 850 proxies, callers and rules, at revision 1."""
    resources = [
        *(_resource(Kind.GROUP, f"group-{number:03d}", GroupSpec()) for number in range(GROUPS)),
        *(_database(number) for number in range(DATABASES)),
        *(_resource(Kind.PROXY, f"proxy-{number:04d}", ProxySpec()) for number in range(PROXIES)),
        *(_caller(number) for number in range(CALLERS)),
        *(_rule(number) for number in range(RULES)),
    ]
    return Configuration(1, resources)


def drain_change(revision: int) -> ChangeSet:
    """Returns a change that labels one database as drained."""
    database = _database(revision % DATABASES)
    item = Resource(database.kind, database.name, (("dewledge/drain", "true"),), database.spec)
    return ChangeSet(revision, f"change-{revision}", "operator", (item,))


def _database(number: int) -> Resource:
    place = place_of(number)
    spec = DatabaseSpec(
        group=f"group-{number % GROUPS:03d}",
        address=f"10.20.{number // 250}.{number % 250 + 1}:5432",
        zone=place.zone,
        region=place.region,
    )
    return _resource(Kind.DATABASE, f"database-{number:04d}", spec)


def _caller(number: int) -> Resource:
    return _resource(Kind.CALLER, f"caller-{number:02d}", CallerSpec((f"{number:064x}",)))


def _rule(number: int) -> Resource:
    return _resource(Kind.RULE, f"rule-{number:02d}", RuleSpec(RuleEffect.ALLOW))


def _resource(kind: Kind, name: str, spec: Spec) -> Resource:
    return Resource(kind, name, (("team", name[-1]), ("tier", "gold")), spec)
