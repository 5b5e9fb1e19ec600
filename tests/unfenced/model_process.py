"""One pooler process with the real driver, keeper, groups and sessions, and a modelled rest."""

import contextlib
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec

from dewledge.core.pooler.coordination_store import StoreRow, StoreWrite
from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.databases.locality import Locality
from dewledge.core.pooler.failover.messages import PhaseChanged, RegisteredProcesses
from dewledge.core.pooler.failover.primary_lease import PrimaryLeases
from dewledge.core.pooler.sessions.routes import Consistency, GroupPolicy, RouteTable
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sharing.members import Member
from dewledge.core.pooler.store_versions import era_of
from dewledge.errors import StoreError
from dewledge.shell.pooler.failover.claim_events import ClaimEvents
from dewledge.shell.pooler.failover.claim_keeper import ClaimKeeper
from dewledge.shell.pooler.failover.failover_context import FailoverContext
from dewledge.shell.pooler.failover.failover_driver import FailoverDriver
from dewledge.shell.pooler.links.peer_messages import IndirectProbeAnswer, LeaderNotice, PeerMessage
from dewledge.shell.pooler.tables.coordination_rows import (
    MEMBER_PREFIX,
    TABLE,
    encode_value,
    read_member,
)
from tests.core.pooler.harness import GROUP, route
from tests.unfenced.model_databases import ProcessOpener, UnfencedGroup, parse_status
from tests.unfenced.model_network import STORE, ModelNetwork, ProcessLoop
from tests.unfenced.model_store import ModelPromotions, ModelStore, StoreClient

FEED_SECONDS = 0.7
REGISTER_AGAIN_SECONDS = 0.5


class ModelExecutor:
    """Runs what would block on a thread: at once in the model, after the time a call takes."""

    def __init__(self, loop: ProcessLoop, network: ModelNetwork) -> None:
        self._loop = loop
        self._network = network

    def submit(self, call: Callable[..., None], *arguments: Any) -> None:
        self._loop.call_later(self._network.delay(), lambda: call(*arguments))


class ModelMembers:
    """The processes with rows, as this one knows them."""

    def __init__(self, own_name: str, start: str) -> None:
        self.own = Member(own_name, "b", start)
        self.own_name = own_name
        self.members: dict[str, Member] = {own_name: self.own}
        self.own_row: StoreRow | None = None

    @property
    def addresses(self) -> dict[str, str]:
        return {name: name for name in self.members}

    @property
    def is_registered(self) -> bool:
        return self.own_row is not None and self.own_row.value == encode_value(self.own)

    def forget(self) -> None:
        """A whole table follows, of a store that was restored."""
        self.members = {self.own_name: self.own}
        self.own_row = None

    def take_rows(self, rows: Sequence[StoreRow]) -> None:
        for row in rows:
            if not row.key.startswith(MEMBER_PREFIX):
                continue
            name = row.key.removeprefix(MEMBER_PREFIX)
            member = read_member(row)
            if member is not None:
                self.members[name] = member
            if name == self.own_name:
                self.own_row = row


class ModelPeers:
    """Datagrams between processes: lost now and then."""

    def __init__(self, process: "ModelProcess") -> None:
        self._process = process
        self.takers: dict[type, Callable[[Any, str], None]] = {}

    def on(self, kind: type, taker: Callable[[Any, str], None]) -> None:
        self.takers[kind] = taker

    def send(self, message: PeerMessage, addresses: Iterable[str]) -> None:
        for address in addresses:
            self._process.send(message, address)

    def take(self, message: PeerMessage, sender: str) -> None:
        taker = self.takers.get(type(message))
        if taker is not None:
            taker(message, sender)


class ModelProbes:
    """Questions on databases between processes."""

    def __init__(self, process: "ModelProcess") -> None:
        self._process = process

    def ask(self, addresses: Sequence[str], database_id: str) -> None:
        for address in addresses:
            self._process.ask_probe(address, database_id)

    def announce_leader(self, addresses: Sequence[str], database_id: str) -> None:
        process = self._process
        for address in addresses:
            process.to(
                address,
                lambda other: other.driver.on_leader_notice(
                    LeaderNotice(process.name, database_id)
                ),
            )

    def test(self, record: DatabaseRecord, done: Callable[[bool], None]) -> None:
        self._process.opener.test(record.id, done)


class ModelProcess:
    """A process from its start to its end."""

    def __init__(
        self,
        name: str,
        network: ModelNetwork,
        store: ModelStore,
        promotions: ModelPromotions,
        databases: UnfencedGroup,
        find: Callable[[str], "ModelProcess | None"],
    ) -> None:
        self.name = name
        self.network = network
        self.store = store
        self.loop = ProcessLoop(network.scheduler)
        self.opener = ProcessOpener(databases, name, self.loop)
        self.events: list[msgspec.Struct] = []
        self._find = find
        self.services = PoolServices(self.loop, self.events.append)
        self.synchronous_replicas = databases.synchronous_replicas
        self.leases = PrimaryLeases(databases.fencing)
        place = Locality("b", {"a": "north", "b": "north", "c": "south"})
        self.group = Group(
            GROUP, place, self.opener, self.loop.now, 5.0, primary_lease=self.leases.of(GROUP)
        )
        self.group.set_connection_limit(4)
        self.services.groups[GROUP] = self.group
        self.members = ModelMembers(name, str(network.random.random()))
        self.client = StoreClient(store, network, name)
        self.peers = ModelPeers(self)
        executor: Any = ModelExecutor(self.loop, network)
        loop: Any = self.loop
        members: Any = self.members
        peers: Any = self.peers
        store_client: Any = self.client
        self.claim_events = ClaimEvents()
        context = FailoverContext(
            loop,
            name,
            self.services.groups,
            self.leases,
            store_client,
            executor,
            self.claim_events,
            lambda group: self.services.routes.synchronous_replicas(group),
        )
        self.driver = FailoverDriver(
            context,
            promotions.client(name),
            parse_status,
            lambda: self.members.addresses,
            self.events.append,
        )
        self.keeper = ClaimKeeper(context, members, peers)
        self.services.on_unanswered_statement = self.driver.suspect
        self._known_version = 0
        store.changed.append(self._poll_now)

    @property
    def is_serving(self) -> bool:
        return self.loop.alive and self.services.is_configured

    @property
    def phases(self) -> list[PhaseChanged]:
        return [event for event in self.events if isinstance(event, PhaseChanged)]

    def start(self) -> None:
        probes: Any = ModelProbes(self)
        self.driver.start(probes)
        self.keeper.start()
        self._register()
        self._poll()

    def configure(self) -> None:
        routes = [route(consistency) for consistency in Consistency]
        policy = GroupPolicy(GROUP, 36, self.synchronous_replicas)
        self.services.routes = RouteTable(
            1, {each.database: each for each in routes}, {GROUP: policy}
        )
        self.services.notify_if_configured()

    def kill(self) -> None:
        self.loop.alive = False
        for transport in self.opener.transports:
            transport._end()

    # The store's tables.

    def learn(self, record: DatabaseRecord) -> None:
        """The store told of a database."""
        self.group.change_view(self.group.view.with_record(record, self.loop.now()))
        self.driver.on_group_changed(GROUP)
        self.services.notify_if_configured()

    def _poll(self) -> None:
        self._poll_now()
        self.loop.call_later(FEED_SECONDS, self._poll)

    def _poll_now(self) -> None:
        if self.loop.alive:
            self.network.carry(self.name, STORE, self._evaluate)

    def _evaluate(self) -> None:
        if self.store.is_down:
            return
        at = self.network.scheduler.time
        rows = [row for row in self.store.rows.values() if row.version > self._known_version]
        rows.sort(key=lambda row: row.version)
        version = self.store.version
        self.network.carry(
            STORE, self.name, lambda: self.loop.run(lambda: self._take(rows, version, at))
        )

    def _take(self, rows: Sequence[StoreRow], version: int, at: float) -> None:
        if version < self._known_version:
            return
        if era_of(version) > era_of(self._known_version):
            self.members.forget()
        self._known_version = version
        self.members.take_rows(rows)
        if any(row.key.startswith(MEMBER_PREFIX) for row in rows):
            self.driver.on_members_changed()
        names = frozenset(self.members.members)
        self.driver.update_registered(RegisteredProcesses(names, version))
        self.driver.apply_rows(rows)
        self.keeper.apply_rows(rows)
        self.keeper.store_confirmed(at)

    def _register(self) -> None:
        self.loop.call_later(REGISTER_AGAIN_SECONDS, self._register)
        if self.members.is_registered:
            return
        row = self.store.rows.get(MEMBER_PREFIX + self.name)
        write = StoreWrite(
            TABLE,
            MEMBER_PREFIX + self.name,
            encode_value(self.members.own),
            0 if row is None else row.version,
        )
        with contextlib.suppress(StoreError):
            self.client.write(write)

    # Other processes.

    def to(self, address: str, call: Callable[["ModelProcess"], None]) -> None:
        if self.network.random.random() < 0.03:
            return

        def deliver() -> None:
            other = self._find(address)
            if other is not None:
                other.loop.run(lambda: call(other))

        self.network.carry(self.name, address, deliver)

    def send(self, message: PeerMessage, address: str) -> None:
        self.to(address, lambda other: other.peers.take(message, self.name))

    def ask_probe(self, address: str, database_id: str) -> None:
        def asked(other: "ModelProcess") -> None:
            other.driver.suspect(GROUP, database_id)
            other.opener.test(database_id, lambda reached: answer(other, reached))

        def answer(other: "ModelProcess", reached: bool) -> None:
            term = other.driver.newest_term(GROUP)
            word = IndirectProbeAnswer(other.name, database_id, reached, term)
            other.to(self.name, lambda asker: asker.driver.on_probe_answer(word))

        self.to(address, asked)


def chance_of(seed: int) -> random.Random:
    return random.Random(seed)
