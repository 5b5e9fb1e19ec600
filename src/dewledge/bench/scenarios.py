"""The scenarios of the bench: which load, and which faults at which times."""

from collections.abc import Callable
from enum import StrEnum

import msgspec

from dewledge.simulation.deployments import DEPLOYMENTS, Deployment, DeploymentName
from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.population import PopulationSettings
from dewledge.simulation.scenario import Scenario
from dewledge.simulation.world import World
from dewledge.standin.link_delays import Locality

PROXIES_PER_SITE = 4
LOAD_TIME = 12.0
ARRIVAL_RATE = 300.0
FIRST_FAULT_AT = 3.0
FAULT_TIME = 4.0
SECOND_FAULT_AT = 8.5
SECOND_FAULT_TIME = 2.5
REPLICA_LAG = 3.0
"""Seconds by which one replica of each group is behind, in the scenario of that name."""

OVERLOAD_FACTOR = 2.0
"""By so much the arrivals of the overload scenario exceed the load's rate; primaries are slow."""

RESTART_EVERY = 0.8
"""Seconds from one proxy's planned restart to the next one's; the restarts may overlap."""

PRIMARY_FAULTS = frozenset({FaultKind.PRIMARY_CUT, FaultKind.PRIMARY_KILLED})
"""The faults after which a group elects a new primary."""

ExtraFault = Callable[[World], None]


class ScenarioName(StrEnum):
    """The scenarios by name."""

    STEADY = "steady"
    PRIMARY_KILLED = "primary-killed"
    PRIMARY_CUT = "primary-cut"
    REPLICA_LAGGING = "replica-lagging"
    STORE_DOWN = "store-down"
    OVERLOAD = "overload"
    ROLLING_RESTART = "rolling-restart"
    DRAIN = "drain"
    DOUBLE_FAILURE = "double-failure"


class HomeDeployment(Deployment, frozen=True):
    """A deployment in which each group starts with its primary at its home site."""

    def databases(self, group: str) -> dict[str, Locality]:
        """Returns a group's databases by name, the one at its home site first."""
        home = self.groups.index(group) % len(self.sites)
        sites = self.sites[home:] + self.sites[:home]
        return {f"{group}-{site}": Locality(f"{site}-a", site) for site in sites}


class LoadSettings(msgspec.Struct, frozen=True):
    """The load of a run. rate: arrivals per second, all groups together. time: seconds."""

    rate: float = ARRIVAL_RATE
    time: float = LOAD_TIME


DEFAULT_LOAD = LoadSettings()

_FAULTS: dict[ScenarioName, tuple[Fault, ...]] = {
    ScenarioName.PRIMARY_KILLED: (Fault(FaultKind.PRIMARY_KILLED, FIRST_FAULT_AT, FAULT_TIME),),
    ScenarioName.PRIMARY_CUT: (Fault(FaultKind.PRIMARY_CUT, FIRST_FAULT_AT, FAULT_TIME),),
    ScenarioName.STORE_DOWN: (Fault(FaultKind.STORE_DOWN, 0.0, LOAD_TIME),),
    ScenarioName.OVERLOAD: (Fault(FaultKind.DATABASE_SLOW, FIRST_FAULT_AT, FAULT_TIME),),
    ScenarioName.DRAIN: (Fault(FaultKind.DATABASE_DRAINED, FIRST_FAULT_AT),),
    ScenarioName.DOUBLE_FAILURE: (
        Fault(FaultKind.GATEWAY_KILLED, FIRST_FAULT_AT, FAULT_TIME),
        Fault(FaultKind.PRIMARY_CUT, FIRST_FAULT_AT, FAULT_TIME),
        Fault(FaultKind.PRIMARY_KILLED, SECOND_FAULT_AT, SECOND_FAULT_TIME),
    ),
}


def build_deployment(name: DeploymentName) -> Deployment:
    """Returns a deployment with the sizes of the brief and several proxies at each site."""
    plain = DEPLOYMENTS[name]
    fields = msgspec.structs.asdict(plain) | {"proxies_per_site": PROXIES_PER_SITE}
    return HomeDeployment(**fields)


def build_scenario(
    deployment: DeploymentName, name: ScenarioName, load: LoadSettings = DEFAULT_LOAD
) -> Scenario:
    """Returns the scenario as the simulator runs it."""
    rate = load.rate * (OVERLOAD_FACTOR if name is ScenarioName.OVERLOAD else 1.0)
    return Scenario(
        deployment=build_deployment(deployment),
        faults=_FAULTS.get(name, ()),
        population=PopulationSettings(rate=rate),
        load_time=load.time,
    )


def schedule_extra_faults(name: ScenarioName, world: World, load_begins: float) -> None:
    """Arranges for what the simulator's table of faults does not have."""
    if name is ScenarioName.REPLICA_LAGGING:
        _schedule_lag(world, load_begins + FIRST_FAULT_AT)
    elif name is ScenarioName.ROLLING_RESTART:
        _schedule_restarts(world, load_begins)


def failover_times(scenario: Scenario) -> list[float]:
    """Returns when primaries are struck, in virtual seconds of the run."""
    return [
        scenario.warm_up + fault.at for fault in scenario.faults if fault.kind in PRIMARY_FAULTS
    ]


def _schedule_lag(world: World, begins_at: float) -> None:
    """Lets the last database of each group, a replica, receive late until the faults' end."""
    for model in world.groups.values():
        replica = model.databases[-1].name

        def set_lag(seconds: float, model=model, replica=replica) -> None:  # type: ignore[no-untyped-def]
            model.set_lag(replica, seconds, world.queue.now)

        world.queue.call_at(begins_at, lambda set_lag=set_lag: set_lag(REPLICA_LAG))  # type: ignore[misc]
        world.queue.call_at(begins_at + FAULT_TIME, lambda set_lag=set_lag: set_lag(0.0))  # type: ignore[misc]


def _schedule_restarts(world: World, load_begins: float) -> None:
    """Stops every proxy as planned, one after another, and starts it again when it has ended."""
    for number, proxy in enumerate(world.proxies.values(), 1):

        def restart(proxy=proxy) -> None:  # type: ignore[no-untyped-def]
            proxy.stop()
            proxy.restart_when_ended()

        world.queue.call_at(load_begins + number * RESTART_EVERY, restart)
