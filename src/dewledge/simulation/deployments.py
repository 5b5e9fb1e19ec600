"""The two deployments that dewledge is sized for today, as the simulator builds them."""

import msgspec

from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.configuration.configuration import Configuration
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
from dewledge.standin import deployments as standin
from dewledge.standin.deployments import CallerRole, DeploymentName
from dewledge.standin.link_delays import LinkDelays, Locality

__all__ = ["DEPLOYMENTS", "MENUS", "PERMITS", "Deployment", "DeploymentName", "build_configuration"]

DATABASE_PORT = 7400


class Deployment(msgspec.Struct, frozen=True):
    """Sites, link delays and sizes of one deployment; times in seconds.

    A site of the brief is one region here; its machines span two zones.
    """

    name: str
    sites: tuple[str, ...]
    links: LinkDelays
    groups: tuple[str, ...]
    slots: int
    max_connections: int
    callers: tuple[str, ...]
    open_time: float
    read_service_time: float
    write_service_time: float
    proxies_per_site: int = 2
    group_spec: GroupSpec = GroupSpec()

    def proxies(self) -> dict[str, Locality]:
        """Returns the proxies by name, spread over the zones."""
        return {
            f"proxy-{site}-{number}": Locality(f"{site}-{'ab'[number % 2]}", site)
            for site in self.sites
            for number in range(self.proxies_per_site)
        }

    def databases(self, group: str) -> dict[str, Locality]:
        """Returns a group's databases by name: one in each site, or by zone with fewer sites."""
        return {f"{group}-{site}": Locality(f"{site}-a", site) for site in self.sites}


def _simulated(deployment: standin.Deployment) -> Deployment:
    """Takes sizes and delays over from the stand-ins; operators make no requests here."""
    return Deployment(
        name=deployment.name,
        sites=deployment.sites,
        links=deployment.links,
        groups=deployment.groups,
        slots=deployment.slots,
        max_connections=deployment.max_connections,
        callers=tuple(
            caller.name for caller in deployment.callers if caller.role is not CallerRole.OPERATOR
        ),
        open_time=deployment.open_time,
        read_service_time=deployment.read_time,
        write_service_time=deployment.write_time,
    )


PERMITS = _simulated(standin.PERMITS)
MENUS = _simulated(standin.MENUS)
DEPLOYMENTS = {DeploymentName.PERMITS: PERMITS, DeploymentName.MENUS: MENUS}


def build_configuration(deployment: Deployment, revision: int = 1) -> Configuration:
    """Returns the resources of a deployment; every caller may read and write every group."""
    resources = [_resource(Kind.GROUP, group, deployment.group_spec) for group in deployment.groups]
    resources += [_resource(Kind.PROXY, name, ProxySpec()) for name in deployment.proxies()]
    for group in deployment.groups:
        resources += _database_resources(deployment, group)
    for caller in deployment.callers:
        resources.append(_resource(Kind.CALLER, caller, CallerSpec(token_sha256=())))
    allow = RuleSpec(effect=RuleEffect.ALLOW, access=(Access.READ, Access.WRITE))
    resources.append(_resource(Kind.RULE, "everyone", allow))
    return Configuration(revision, resources)


def _database_resources(deployment: Deployment, group: str) -> list[Resource]:
    number = deployment.groups.index(group)
    return [
        _resource(
            Kind.DATABASE,
            name,
            DatabaseSpec(
                group=group,
                address=f"10.0.{number}.{index}:{DATABASE_PORT}",
                zone=location.zone,
                region=location.region,
                slots=deployment.slots,
                max_connections=deployment.max_connections,
            ),
        )
        for index, (name, location) in enumerate(deployment.databases(group).items(), 1)
    ]


def _resource(kind: Kind, name: str, spec: Spec) -> Resource:
    return Resource(kind=kind, name=name, labels=(), spec=spec)
