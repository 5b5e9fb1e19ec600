"""The two deployments that dewledge is sized for today, as the simulator builds them."""

from enum import StrEnum

import msgspec

from dewledge.core.calls import Access
from dewledge.core.configuration import Configuration
from dewledge.core.resources import (
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

LOCAL_DELAY = 0.0001
"""One-way delay within a zone, seconds."""


class Location(msgspec.Struct, frozen=True):
    """Where a node stands. A site of the brief is one region; its machines span two zones."""

    zone: str
    region: str


class Deployment(msgspec.Struct, frozen=True):
    """Sites, delays (one-way, seconds) and sizes of one deployment."""

    name: str
    sites: tuple[str, ...]
    between_zones: float
    between_regions: float
    to_clients: float
    groups: tuple[str, ...]
    slots: int
    max_connections: int
    callers: tuple[str, ...]
    open_time: float = 0.010
    proxies_per_site: int = 2
    read_service_time: float = 0.002
    write_service_time: float = 0.004

    def locations(self) -> tuple[Location, ...]:
        """Returns the zones, site by site."""
        return tuple(
            Location(zone=f"{site}-{letter}", region=site) for site in self.sites for letter in "ab"
        )

    def delay(self, first: Location, second: Location) -> float:
        """Returns the one-way delay between two places."""
        if first.region != second.region:
            return self.between_regions
        if first.zone != second.zone:
            return self.between_zones
        return LOCAL_DELAY

    def proxies(self) -> dict[str, Location]:
        """Returns the proxies by name, spread over the zones."""
        return {
            f"proxy-{site}-{number}": Location(f"{site}-{'ab'[number % 2]}", site)
            for site in self.sites
            for number in range(self.proxies_per_site)
        }

    def databases(self, group: str) -> dict[str, Location]:
        """Returns a group's databases by name: one in each site, or by zone with fewer sites."""
        return {f"{group}-{site}": Location(f"{site}-a", site) for site in self.sites}


class DeploymentName(StrEnum):
    """The deployments by name."""

    PERMITS = "permits"
    MENUS = "menus"


PERMITS = Deployment(
    name=DeploymentName.PERMITS,
    sites=("accra", "kumasi", "tamale"),
    between_zones=0.0015,
    between_regions=0.020,
    to_clients=0.003,
    groups=("accra-cases", "kumasi-cases", "tamale-cases"),
    slots=5,
    max_connections=40,
    callers=("applicants", "officers", "portal"),
)

MENUS = Deployment(
    name=DeploymentName.MENUS,
    sites=("suva", "labasa", "lautoka"),
    between_zones=0.0005,
    between_regions=0.010,
    to_clients=0.003,
    groups=("suva-meals", "labasa-meals", "lautoka-meals"),
    slots=10,
    max_connections=100,
    callers=("kitchens", "dietitians", "managers"),
)

DEPLOYMENTS = {DeploymentName.PERMITS: PERMITS, DeploymentName.MENUS: MENUS}


def build_configuration(deployment: Deployment, revision: int = 1) -> Configuration:
    """Returns the resources of a deployment; every caller may read and write every group."""
    resources = [_resource(Kind.GROUP, group, GroupSpec()) for group in deployment.groups]
    resources += [_resource(Kind.PROXY, name, ProxySpec()) for name in deployment.proxies()]
    for group in deployment.groups:
        resources += _database_resources(deployment, group)
    for caller in deployment.callers:
        resources.append(_resource(Kind.CALLER, caller, CallerSpec(token_sha256=())))
    allow = RuleSpec(effect=RuleEffect.ALLOW, access=(Access.READ, Access.WRITE))
    resources.append(_resource(Kind.RULE, "everyone", allow))
    return Configuration(revision, resources)


def _database_resources(deployment: Deployment, group: str) -> list[Resource]:
    return [
        _resource(
            Kind.DATABASE,
            name,
            DatabaseSpec(
                group=group,
                address=name,
                zone=location.zone,
                region=location.region,
                slots=deployment.slots,
                max_connections=deployment.max_connections,
            ),
        )
        for name, location in deployment.databases(group).items()
    ]


def _resource(kind: Kind, name: str, spec: Spec) -> Resource:
    return Resource(kind=kind, name=name, labels=(), spec=spec)
