"""Faults as typed rows: what happens, when, for how long, and to whom."""

from collections.abc import Callable
from enum import StrEnum
from random import Random

import msgspec

from dewledge.core.proxy.configuration.configuration import DRAIN_LABEL, ResourceKey
from dewledge.core.proxy.configuration.resources import Kind
from dewledge.core.proxy.configuration.store import LabelChange, ProposedChange
from dewledge.simulation.network import NO_FAULTS, LinkFaults
from dewledge.simulation.simulated_proxy import SimulatedProxy
from dewledge.simulation.site_faults import SiteFaults
from dewledge.simulation.world import World
from dewledge.standin.group_types import LagStage

REORDER_DELAY = 0.2
STORE_SLOWNESS = 1.0
REPLICA_LAG = 3.0
SLOW_DATABASE_FACTOR = 40.0
LOST_ANSWERS = 3


class FaultKind(StrEnum):
    """What can happen. Faults of a primary strike the one of that moment, in every group."""

    MESSAGES_LOST = "messages lost"
    MESSAGES_DELAYED = "messages delayed"
    MESSAGES_DOUBLED = "messages doubled"
    MESSAGES_REORDERED = "messages reordered"
    PRIMARY_CUT = "primary cut off from its group"
    PRIMARY_CUT_FROM_ALL = "primary cut off from its group and its callers"
    PRIMARY_KILLED = "primary killed"
    PRIMARY_FROZEN = "primary frozen"
    REPLICAS_LAG = "replicas receive late"
    REPLICAS_APPLY_LATE = "replicas apply late"
    CONNECTIONS_RESET = "connections reset"
    COMMIT_ANSWERS_LOST = "answers of commits lost"
    DATABASE_SLOW = "primary slow"
    GATEWAY_KILLED = "gateway of the primary killed and restarted"
    GATEWAY_FROZEN = "gateway of the primary frozen"
    GATEWAY_CUT = "gateway of the primary cut off from its databases"
    GATEWAY_STOPPED = "gateway of the primary stopped as planned and restarted"
    PROXY_KILLED = "some proxy killed and restarted"
    PROXY_FROZEN = "some proxy frozen"
    PROXY_CUT = "some proxy cut off from the others and the store"
    PROXY_STOPPED = "some proxy stopped as planned and restarted"
    SITE_CUT = "site of the primary cut off, with its callers"
    SITE_LOST = "site of the primary lost"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_ANSWER_LOST = "answer of the store lost"
    DATABASE_DRAINED = "a replica drained"
    PRIMARY_DRAINED = "the primary drained"
    TWO_CHANGES = "two operators change one label at once"


class Fault(msgspec.Struct, frozen=True):
    """One fault. at: seconds after the load began. duration: seconds until it ends."""

    kind: FaultKind
    at: float
    duration: float = 3.0


LINK_FAULTS = {
    FaultKind.MESSAGES_LOST: LinkFaults(loss=0.03),
    FaultKind.MESSAGES_DELAYED: LinkFaults(reorder=1.0, extra_delay=0.05),
    FaultKind.MESSAGES_DOUBLED: LinkFaults(duplicate=0.2),
    FaultKind.MESSAGES_REORDERED: LinkFaults(reorder=0.2, extra_delay=REORDER_DELAY),
}


class FaultInjector:
    """Brings faults about in a world, and ends them."""

    def __init__(self, world: World, random: Random) -> None:
        self._world = world
        self._random = random
        self._sites = SiteFaults(world)
        self._changes = 0

    def schedule(self, fault: Fault, begins_at: float) -> None:
        """Arranges for a fault; its times count from `begins_at`."""
        self._world.queue.call_at(begins_at + fault.at, lambda: self._strike(fault))

    def _strike(self, fault: Fault) -> None:
        end = self._begin(fault.kind)
        if end is not None:
            self._world.queue.call_after(fault.duration, end)

    def _begin(self, kind: FaultKind) -> Callable[[], None] | None:
        """Begins a fault; returns what ends it."""
        if kind in LINK_FAULTS:
            self._world.network.set_faults(LINK_FAULTS[kind])
            return lambda: self._world.network.set_faults(NO_FAULTS)
        for begin in (self._begin_at_primaries, self._begin_at_proxy, self._begin_elsewhere):
            end = begin(kind)
            if end is not None:
                return end
        return None

    def _begin_at_primaries(self, kind: FaultKind) -> Callable[[], None] | None:
        ends = []
        for group in self._world.groups:
            primary = self._world.primary_of(group)
            if primary is not None:
                ends.append(self._begin_at_primary(kind, group, primary))
        known = [end for end in ends if end is not None]
        if not known:
            return None

        def end_all() -> None:
            for end in known:
                end()

        return end_all

    def _begin_at_primary(
        self, kind: FaultKind, group: str, primary: str
    ) -> Callable[[], None] | None:
        world, model = self._world, self._world.groups[group]
        server = world.servers[primary]
        now = world.queue.now
        match kind:
            case FaultKind.PRIMARY_CUT | FaultKind.PRIMARY_CUT_FROM_ALL:
                from_all = kind is FaultKind.PRIMARY_CUT_FROM_ALL
                model.cut_off(primary, from_all, now)
                server.frozen = from_all
                return lambda: self._heal_database(primary)
            case FaultKind.PRIMARY_KILLED:
                server.break_connections()
                model.kill(primary, now)
                return lambda: model.restart(primary, world.queue.now)
            case FaultKind.PRIMARY_FROZEN:
                model.freeze(primary, now)
                server.frozen = True
                return lambda: self._thaw_database(primary)
            case FaultKind.REPLICAS_LAG:
                return self._lag(group, primary, LagStage.RECEIVE)
            case FaultKind.REPLICAS_APPLY_LATE:
                return self._lag(group, primary, LagStage.APPLY)
            case FaultKind.CONNECTIONS_RESET:
                server.break_connections()
                return lambda: None
            case FaultKind.COMMIT_ANSWERS_LOST:
                model.lose_answers(primary, LOST_ANSWERS, now)
                return lambda: model.lose_answers(primary, 0, world.queue.now)
            case FaultKind.DATABASE_SLOW:
                server.slowness = SLOW_DATABASE_FACTOR
                return lambda: setattr(server, "slowness", 1.0)
            case _:
                return None

    def _heal_database(self, database: str) -> None:
        server = self._world.servers[database]
        server.frozen = False
        server.model.heal(database, self._world.queue.now)

    def _thaw_database(self, database: str) -> None:
        server = self._world.servers[database]
        server.frozen = False
        server.model.thaw(database, self._world.queue.now)

    def _lag(self, group: str, primary: str, stage: LagStage) -> Callable[[], None]:
        model = self._world.groups[group]
        replicas = [item.name for item in model.databases if item.name != primary]

        def set_lag(seconds: float) -> None:
            for name in replicas:
                model.set_lag(name, seconds, self._world.queue.now, stage)

        set_lag(REPLICA_LAG)
        return lambda: set_lag(0.0)

    def _begin_at_proxy(self, kind: FaultKind) -> Callable[[], None] | None:
        proxy = self._gateway() if kind in GATEWAY_FAULTS else self._some_proxy()
        match kind:
            case FaultKind.GATEWAY_KILLED | FaultKind.PROXY_KILLED:
                proxy.kill()
                return proxy.start
            case FaultKind.GATEWAY_FROZEN | FaultKind.PROXY_FROZEN:
                proxy.freeze()
                return proxy.thaw
            case FaultKind.GATEWAY_CUT:
                return self._cut(proxy, list(self._world.servers))
            case FaultKind.PROXY_CUT:
                proxy.cut_off()
                end = self._cut(proxy, [*self._world.proxies])
                return lambda: self._rejoin(proxy, end)
            case FaultKind.GATEWAY_STOPPED | FaultKind.PROXY_STOPPED:
                proxy.stop()
                return proxy.restart_when_ended
            case _:
                return None

    def _rejoin(self, proxy: SimulatedProxy, heal: Callable[[], None]) -> None:
        heal()
        proxy.rejoin()

    def _cut(self, proxy: SimulatedProxy, others: list[str]) -> Callable[[], None]:
        network = self._world.network
        for other in others:
            if other != proxy.name:
                network.cut(proxy.name, other)

        def heal() -> None:
            for other in others:
                network.heal(proxy.name, other)

        return heal

    def _begin_elsewhere(self, kind: FaultKind) -> Callable[[], None] | None:
        platform = self._world.platform
        match kind:
            case FaultKind.SITE_CUT:
                return self._sites.cut_off()
            case FaultKind.SITE_LOST:
                return self._sites.lose()
            case FaultKind.STORE_DOWN:
                platform.down = True
                return lambda: setattr(platform, "down", False)
            case FaultKind.STORE_SLOW:
                platform.slow = STORE_SLOWNESS
                return lambda: setattr(platform, "slow", 0.0)
            case FaultKind.STORE_ANSWER_LOST:
                platform.answers_to_lose = 1
                return lambda: setattr(platform, "answers_to_lose", 0)
            case FaultKind.DATABASE_DRAINED | FaultKind.PRIMARY_DRAINED:
                self._drain(kind is FaultKind.PRIMARY_DRAINED)
                return lambda: None
            case FaultKind.TWO_CHANGES:
                for number in range(2):
                    self._label_caller(f"operator-{number}")
                return lambda: None
            case _:
                return None

    def _drain(self, primary: bool) -> None:
        group = next(iter(self._world.groups))
        current = self._world.primary_of(group)
        names = [item.name for item in self._world.groups[group].databases]
        database = next((name for name in names if (name == current) == primary), None)
        if database is None:
            return
        label = LabelChange(ResourceKey(Kind.DATABASE, database), ((DRAIN_LABEL, "true"),))
        self._propose("operator", label)

    def _label_caller(self, operator: str) -> None:
        """Proposes a change that is only accepted if nobody else's comes first."""
        caller = ResourceKey(Kind.CALLER, self._world.deployment.callers[0])
        self._propose(operator, LabelChange(caller, (("changed-by", operator),)), exclusive=True)

    def _propose(self, operator: str, label: LabelChange, exclusive: bool = False) -> None:
        proxy = self._random.choice(self._world.running_proxies())
        base = self._world.proxies[proxy].core.configuration.revision if exclusive else None
        self._changes += 1
        change = ProposedChange(f"change-{self._changes}", operator, base, labels=(label,))
        self._world.propose(proxy, change)

    def _gateway(self) -> SimulatedProxy:
        group = next(iter(self._world.groups))
        primary = self._world.primary_of(group) or ""
        name = self._world.gateway_of(primary)
        return self._world.proxies[name] if name in self._world.proxies else self._some_proxy()

    def _some_proxy(self) -> SimulatedProxy:
        return self._world.proxies[self._random.choice(self._world.running_proxies())]


GATEWAY_FAULTS = frozenset(
    {
        FaultKind.GATEWAY_KILLED,
        FaultKind.GATEWAY_FROZEN,
        FaultKind.GATEWAY_CUT,
        FaultKind.GATEWAY_STOPPED,
    }
)
