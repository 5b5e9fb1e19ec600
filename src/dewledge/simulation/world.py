"""The simulated world: proxies, databases, platform and network around one virtual clock."""

from collections.abc import Callable
from functools import partial
from random import Random

import msgspec

from dewledge.core.proxy.assembly.parts import ProxyCoreSettings
from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.configuration.codec import encode_change, encode_content
from dewledge.core.proxy.configuration.configuration import DRAIN_LABEL, ChangeSet, Configuration
from dewledge.core.proxy.configuration.resources import Kind, Resource
from dewledge.core.proxy.configuration.store import (
    HEAD_KEY,
    HeadRow,
    ProposalFinished,
    ProposedChange,
    change_key,
    revision_key,
)
from dewledge.core.proxy.messages import PeerMessage, StatementRequest, encode
from dewledge.core.proxy.ports import MachineState
from dewledge.simulation.clock import EventQueue
from dewledge.simulation.database_server import DatabaseServer, ServerSettings
from dewledge.simulation.deployments import Deployment, build_configuration
from dewledge.simulation.group_watch import GroupWatch
from dewledge.simulation.history import AcceptanceRecord, History, ProposalRecord
from dewledge.simulation.interceptor import Interceptor
from dewledge.simulation.network import Network
from dewledge.simulation.platform_store import PlatformStore
from dewledge.simulation.simulated_proxy import ProcessState, SimulatedProxy
from dewledge.simulation.workloads import SCHEMA
from dewledge.standin.group_model import GroupModel
from dewledge.standin.group_types import GroupTiming, ModelDatabase
from dewledge.standin.link_delays import Locality

MakeInterceptor = Callable[[SimulatedProxy], Interceptor]

CLIENT_PREFIX = "client-"
FIRST_CHANGE = "first-change"

REFUSAL_TIME = 0.005
"""Seconds until a proxy knows that nothing listens at a peer's address."""

MACHINE_LIST_LAG = 10.0
"""Seconds by which the platform's list of machines is behind."""


class World:
    """Everything in one run. Equal arguments give equal histories."""

    def __init__(
        self,
        deployment: Deployment,
        seed: int,
        make_interceptor: MakeInterceptor = Interceptor,
        settings: ProxyCoreSettings | None = None,
        timing: GroupTiming | None = None,
    ) -> None:
        self.deployment = deployment
        self.random = Random(seed)
        self.make_interceptor = make_interceptor
        self.settings = settings or ProxyCoreSettings()
        self.queue = EventQueue()
        self.history = History()
        self._unsent: dict[tuple[str, int, str], list[int]] = {}
        self.platform = PlatformStore(self.queue)
        self._places = self._place_nodes()
        self.network = Network(self.queue, Random(seed + 1), self._delay)
        self.groups: dict[str, GroupModel] = {}
        self.servers: dict[str, DatabaseServer] = {}
        timing = timing or GroupTiming(links=deployment.links)
        for group in deployment.groups:
            self._add_group(group, timing)
        self._watch = GroupWatch(self.queue, self.groups, self.history)
        self.configuration = build_configuration(deployment)
        self._store_configuration(self.configuration)
        self.proxies = {
            name: SimulatedProxy(name, place, self, Random(self.random.random()))
            for name, place in deployment.proxies().items()
        }

    # Running.

    def start(self) -> None:
        """Starts every proxy."""
        self._watch.start()
        for proxy in self.proxies.values():
            proxy.start()

    def run_until(self, end: float) -> None:
        """Runs up to a virtual time in seconds."""
        self.queue.run_until(end)

    def finish(self) -> History:
        """Ends the run and completes the history with what the databases hold."""
        now = self.queue.now
        self.history.ended_at = now
        for proxy in self.proxies.values():
            proxy.finish_absences()
        self._watch.collect_commits()
        self._complete_proposals()
        return self.history

    # Links between proxies.

    def send_to_peer(self, source: SimulatedProxy, peer: str, message: PeerMessage) -> None:
        """Sends a message over the link to the peer's present process."""
        target = self.proxies.get(peer)
        if target is None or target.state is ProcessState.DEAD:
            self._refuse_link(source, peer, message)
            return
        incarnation, sender = target.incarnation, source.incarnation
        data = encode(message)

        def deliver() -> None:
            if target.incarnation == incarnation and source.incarnation == sender:
                target.receive_from_peer(source.name, sender, data)

        self.network.send(source.name, peer, deliver)

    def _refuse_link(self, source: SimulatedProxy, peer: str, message: PeerMessage) -> None:
        """Nothing listens at the peer, so nothing that is sent until that is known has left."""
        if not isinstance(message, StatementRequest):
            return
        unsent = self._unsent.setdefault((source.name, source.incarnation, peer), [])
        unsent.append(message.correlation)
        if len(unsent) == 1:
            self.queue.call_after(
                REFUSAL_TIME, partial(self._report_refused, source, source.incarnation, peer)
            )

    def _report_refused(self, source: SimulatedProxy, incarnation: int, peer: str) -> None:
        unsent = self._unsent.pop((source.name, incarnation, peer))
        if source.incarnation == incarnation:
            source.peer_lost(peer, tuple(unsent))

    def send_datagram(self, source: SimulatedProxy, address: str, data: bytes) -> None:
        """Sends a datagram; who is not there does not get it."""
        target = self.proxies.get(address)
        if target is not None:
            self.network.send(
                source.name, address, lambda: target.receive_datagram(source.name, data)
            )

    def proxy_ended(self, ended: SimulatedProxy) -> None:
        """Breaks the links of a process that ended."""
        for proxy in self.proxies.values():
            if proxy is not ended:
                lost = partial(proxy.peer_ended, ended.name)
                self.network.send_reliably(ended.name, proxy.name, lost)

    # The platform and its operators.

    def read_machine_list(self, reply: Callable[[tuple[MachineState, ...] | None], None]) -> None:
        """Gives the list of machines as it was a while ago: all that were ever started."""
        machines = tuple(
            MachineState(name, name, proxy.place.zone) for name, proxy in self.proxies.items()
        )
        answer = None if self.platform.down else machines
        self.queue.call_after(MACHINE_LIST_LAG, lambda: reply(answer))

    def propose(self, proxy: str, change: ProposedChange) -> None:
        """Has an operator propose a change through a proxy; an acceptance is recorded."""

        def finished(answer: ProposalFinished) -> None:
            self._record_proposal(answer)
            if answer.change is not None:
                drained = tuple(item.name for item in answer.change.put if _is_drained(item))
                record = AcceptanceRecord(self.queue.now, answer.change.revision, drained)
                self.history.acceptances.append(record)

        self.proxies[proxy].propose(change, finished)

    def _record_proposal(self, answer: ProposalFinished) -> None:
        winner = answer.winner.change_id if answer.winner is not None else None
        record = ProposalRecord(
            self.queue.now, answer.change_id, answer.outcome, answer.code, winner
        )
        self.history.proposals.append(record)

    def _complete_proposals(self) -> None:
        """Notes which proposals stand in the store at the end."""
        self.history.proposals = [
            msgspec.structs.replace(item, stands=self.platform.has_row(change_key(item.change_id)))
            for item in self.history.proposals
        ]

    # Looking.

    def running_proxies(self) -> list[str]:
        """Returns the proxies whose process exists, in order."""
        return [
            name for name, proxy in self.proxies.items() if proxy.state is not ProcessState.DEAD
        ]

    def primary_of(self, group: str) -> str | None:
        """Returns the primary of the newest term, or None."""
        return next(iter(self.groups[group].primaries()), None)

    def gateway_of(self, database: str) -> str | None:
        """Returns a database's active gateway, as some running proxy sees it."""
        for proxy in self.proxies.values():
            if proxy.state is ProcessState.RUNNING:
                return proxy.core.placement.active(database)
        return None

    # Building.

    def _place_nodes(self) -> dict[str, Locality]:
        places = dict(self.deployment.proxies())
        for group in self.deployment.groups:
            places |= self.deployment.databases(group)
        for site in self.deployment.sites:
            places[CLIENT_PREFIX + site] = Locality(site, site)
        return places

    def _delay(self, source: str, destination: str) -> float:
        first, second = self._places[source], self._places[destination]
        links = self.deployment.links
        if source.startswith(CLIENT_PREFIX) or destination.startswith(CLIENT_PREFIX):
            away = links.between_regions if first.region != second.region else 0.0
            return links.to_clients + away
        return links.one_way(first, second)

    def _add_group(self, group: str, timing: GroupTiming) -> None:
        deployment = self.deployment
        placed = deployment.databases(group)
        databases = tuple(
            ModelDatabase(
                name=name,
                zone=place.zone,
                address=name,
                slots=deployment.slots,
                max_connections=deployment.max_connections,
                region=place.region,
            )
            for name, place in placed.items()
        )
        model = GroupModel(group, databases, timing, Random(self.random.random()))
        session = model.open_session(databases[0].name, 0.0)
        for statement in SCHEMA:
            model.execute(session, statement, access=Access.WRITE, now=0.0)
        model.close_session(session, 0.0)
        self.groups[group] = model
        settings = ServerSettings(
            deployment.slots,
            deployment.open_time,
            deployment.read_service_time,
            deployment.write_service_time,
        )
        for name in placed:
            self.servers[name] = DatabaseServer(name, model, settings, self.queue, self.history)

    def _store_configuration(self, configuration: Configuration) -> None:
        change = ChangeSet(
            revision=configuration.revision,
            change_id=FIRST_CHANGE,
            author="operator",
            put=tuple(configuration.resources.values()),
        )
        data = encode_change(change)
        self.platform.write_directly(revision_key(change.revision), data)
        self.platform.write_directly(change_key(change.change_id), data)
        self.platform.write_directly(
            HEAD_KEY, encode_content(HeadRow(change.revision, change.change_id))
        )


def _is_drained(resource: Resource) -> bool:
    return resource.kind is Kind.DATABASE and (DRAIN_LABEL, "true") in resource.labels
