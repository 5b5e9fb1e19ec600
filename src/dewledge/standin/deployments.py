"""The two deployments that dewledge is sized for today, as typed constants.

Each site is a region with two zones. Each group has one database at each site, so that it
outlives the loss of a site; the first one starts as primary, at the group's home site.
"""

from collections.abc import Mapping
from enum import StrEnum

import msgspec

from dewledge.standin.group_settings import (
    LOOPBACK,
    DatabaseSettings,
    GroupSettings,
    LinkSettings,
)
from dewledge.standin.link_delays import LinkDelays, Locality
from dewledge.standin.workloads import MENUS_WORKLOAD, PERMITS_WORKLOAD, Workload

ZONE_LETTERS = ("a", "b")


class DeploymentName(StrEnum):
    """The deployments by name."""

    PERMITS = "permits"
    MENUS = "menus"


class CallerRole(StrEnum):
    """What a caller may do; also the value of its "role" label."""

    WRITER = "writer"
    READER = "reader"
    OPERATOR = "operator"


class DeploymentCaller(msgspec.Struct, frozen=True):
    """A caller of a deployment."""

    name: str
    role: CallerRole


class Deployment(msgspec.Struct, frozen=True):
    """Sites, groups, link delays and sizes. Times are in seconds.

    open_time: what opening a database connection takes.
    read_time, write_time: how long a statement holds a slot.
    """

    name: DeploymentName
    sites: tuple[str, ...]
    groups: tuple[str, ...]
    callers: tuple[DeploymentCaller, ...]
    workload: Workload
    links: LinkDelays
    slots: int
    max_connections: int
    open_time: float = 0.010
    read_time: float = 0.002
    write_time: float = 0.004

    def places(self) -> tuple[Locality, ...]:
        """Returns every zone with its region, site by site."""
        return tuple(
            Locality(f"{site}-{letter}", site) for site in self.sites for letter in ZONE_LETTERS
        )

    def databases_of(self, group: str) -> dict[str, Locality]:
        """Returns the places of a group's databases by name, the first primary first."""
        home = self.groups.index(group) % len(self.sites)
        sites = self.sites[home:] + self.sites[:home]
        return {f"{group}-{site}": Locality(f"{site}-{ZONE_LETTERS[0]}", site) for site in sites}

    def databases(self) -> dict[str, Locality]:
        """Returns the places of all databases by name."""
        return {
            name: place for group in self.groups for name, place in self.databases_of(group).items()
        }

    def group_settings(
        self,
        group: str,
        addresses: Mapping[str, str] | None = None,
        admin_address: str = LOOPBACK,
    ) -> GroupSettings:
        """Returns the settings of a group's stand-in; addresses not named are picked freely."""
        known = addresses or {}
        return GroupSettings(
            name=group,
            databases=tuple(
                self._database_settings(name, place, known.get(name, LOOPBACK))
                for name, place in self.databases_of(group).items()
            ),
            admin_address=admin_address,
            open_time=self.open_time,
            read_time=self.read_time,
            write_time=self.write_time,
            links=LinkSettings(
                within_zone=self.links.within_zone,
                between_zones=self.links.between_zones,
                between_regions=self.links.between_regions,
            ),
        )

    def _database_settings(self, name: str, place: Locality, address: str) -> DatabaseSettings:
        return DatabaseSettings(
            name=name,
            address=address,
            zone=place.zone,
            region=place.region,
            slots=self.slots,
            max_connections=self.max_connections,
        )


PERMITS = Deployment(
    name=DeploymentName.PERMITS,
    sites=("accra", "kumasi", "tamale"),
    groups=("accra-cases", "kumasi-cases", "tamale-cases"),
    callers=(
        DeploymentCaller("applicants", CallerRole.WRITER),
        DeploymentCaller("officers", CallerRole.WRITER),
        DeploymentCaller("portal", CallerRole.READER),
        DeploymentCaller("operators", CallerRole.OPERATOR),
    ),
    workload=PERMITS_WORKLOAD,
    links=LinkDelays(
        within_zone=0.0001, between_zones=0.0015, between_regions=0.020, to_clients=0.003
    ),
    slots=5,
    max_connections=40,
)

MENUS = Deployment(
    name=DeploymentName.MENUS,
    sites=("suva", "labasa", "lautoka"),
    groups=("suva-meals", "labasa-meals", "lautoka-meals"),
    callers=(
        DeploymentCaller("kitchens", CallerRole.WRITER),
        DeploymentCaller("dietitians", CallerRole.READER),
        DeploymentCaller("managers", CallerRole.WRITER),
        DeploymentCaller("operators", CallerRole.OPERATOR),
    ),
    workload=MENUS_WORKLOAD,
    links=LinkDelays(
        within_zone=0.0001, between_zones=0.0005, between_regions=0.010, to_clients=0.003
    ),
    slots=10,
    max_connections=100,
)

DEPLOYMENTS: Mapping[DeploymentName, Deployment] = {
    DeploymentName.PERMITS: PERMITS,
    DeploymentName.MENUS: MENUS,
}
