"""Drives one ProxyCore on the loop's thread: brings it events and carries out its effects."""

import itertools
from collections.abc import Callable, Iterable
from typing import Any

from loguru import logger

from dewledge.core.proxy.assembly.core import ProxyCore
from dewledge.core.proxy.assembly.effects import ProxyEffect, ReadMachineList
from dewledge.core.proxy.calls import CallerAnswer, CallerRequest
from dewledge.core.proxy.configuration.authorization import AccessPolicy
from dewledge.core.proxy.configuration.configuration import Configuration
from dewledge.core.proxy.configuration.spread import ConfigurationChanged
from dewledge.core.proxy.configuration.store import (
    ChangeLookedUp,
    ProposalFinished,
    ProposedChange,
    StoreCall,
    StoreResult,
)
from dewledge.core.proxy.effects import (
    AnswerCaller,
    CloseConnection,
    LogEvent,
    OpenConnection,
    ReadStatuses,
    RunJob,
    SendToPeer,
)
from dewledge.core.proxy.gateway.report import DatabaseReport
from dewledge.core.proxy.jobs import JobResult, StatusReading
from dewledge.core.proxy.membership.member import Member
from dewledge.core.proxy.membership.messages import MembersChanged, SendDatagram
from dewledge.core.proxy.messages import PeerMessage, StatementRequest
from dewledge.core.proxy.ports import MachineState
from dewledge.errors import ErrorCode
from dewledge.shell.proxy.database_workers import DatabaseWorkers
from dewledge.shell.proxy.datagrams import DatagramSocket
from dewledge.shell.proxy.metrics import ProxyMetrics
from dewledge.shell.proxy.outbound_peer import OutboundLost, RequestsUnsent
from dewledge.shell.proxy.peer_links import PeerLinks
from dewledge.shell.proxy.proxy_services import DeadlineBounds
from dewledge.shell.proxy.store_calls import StoreCalls
from dewledge.shell.proxy.waiting_callers import WaitingCallers
from dewledge.shell.shared.event_loop import EventLoop, Timer


class ProxyDriver:
    """The running core as the rest of the shell sees it. Belongs to the loop's thread.

    `connect` gives it the means to carry out effects, before `start`.
    last_peer_request_at: when a peer last asked for a statement, on the loop's clock.
    """

    def __init__(self, loop: EventLoop, name: str, zone: str, deadlines: DeadlineBounds) -> None:
        self.name = name
        self.zone = zone
        self.deadlines = deadlines
        self.metrics = ProxyMetrics()
        self.now = loop.now
        self.last_peer_request_at = float("-inf")
        self._loop = loop
        self._core: ProxyCore
        self._links: PeerLinks
        self._datagrams: DatagramSocket
        self._workers: DatabaseWorkers
        self._store: StoreCalls
        self._request_ids = itertools.count(1)
        self._waiting = WaitingCallers()
        self._timer: Timer | None = None
        self._reschedule_planned = False

    def connect(
        self,
        core: ProxyCore,
        links: PeerLinks,
        datagrams: DatagramSocket,
        workers: DatabaseWorkers,
        store: StoreCalls,
    ) -> None:
        """Takes the core and what carries out its effects."""
        self._core = core
        self._links = links
        self._datagrams = datagrams
        self._workers = workers
        self._store = store
        self._carriers: dict[type, Callable[[Any], None]] = {
            AnswerCaller: self._waiting.answer,
            SendToPeer: self._send_to_peer,
            OpenConnection: workers.open,
            CloseConnection: workers.close,
            RunJob: workers.run,
            ReadStatuses: workers.read_statuses,
            LogEvent: self._log,
            SendDatagram: self._send_datagram,
            MembersChanged: self._members_changed,
            ConfigurationChanged: self._ignore,
            StoreCall: self._call_store,
            ReadMachineList: self._read_machine_list,
            ProposalFinished: self._waiting.finish_proposal,
            ChangeLookedUp: self._waiting.answer_lookup,
        }

    def start(self, seeds: Iterable[str]) -> None:
        """Begins to take part."""
        self._carry_out(self._core.start(seeds, self.now()))

    def leave(self) -> None:
        """Begins the planned stop."""
        self._carry_out(self._core.leave(self.now()))

    def stop(self) -> None:
        """Announces the end of the process."""
        self._carry_out(self._core.stop(self.now()))

    # ProxyServices, for the HTTP handlers.

    @property
    def policy(self) -> AccessPolicy:
        """Who may do what."""
        return self._core.policy

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._core.configuration

    @property
    def members(self) -> tuple[Member, ...]:
        """The members that are not gone."""
        return self._core.members

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop is under way."""
        return self._core.is_leaving

    @property
    def is_serving(self) -> bool:
        """Whether new work is taken."""
        return self._core.is_serving

    @property
    def is_idle(self) -> bool:
        """Whether nothing is unfinished in the core."""
        return self._core.is_idle

    @property
    def in_flight(self) -> int:
        """The callers' requests that the entry has not answered."""
        return self._core.in_flight

    @property
    def has_configuration(self) -> bool:
        """Whether any configuration has been learned."""
        return self._core.has_configuration

    def database_reports(self) -> tuple[DatabaseReport, ...]:
        """The figures of the databases this proxy is gateway of."""
        return self._core.database_reports()

    def next_request_id(self) -> int:
        """A number for one caller's request."""
        return next(self._request_ids)

    def submit_call(
        self, request: CallerRequest, on_answer: Callable[[CallerAnswer], None]
    ) -> None:
        """Hands a caller's request to the core."""
        self._waiting.for_answer(request.request_id, on_answer)
        self._carry_out(self._core.handle_call(request, self.now()))

    def abandon_call(self, request_id: int) -> None:
        """Tells the core that the caller is gone."""
        if self._waiting.forget(request_id):
            self._carry_out(self._core.handle_caller_gone(request_id, self.now()))

    def propose(
        self, change: ProposedChange, on_finished: Callable[[ProposalFinished], None]
    ) -> None:
        """Asks for a change of configuration."""
        self._waiting.for_proposal(change.change_id, on_finished)
        self._carry_out(self._core.propose(change, self.now()))

    def look_up_change(self, change_id: str, on_answer: Callable[[ChangeLookedUp], None]) -> None:
        """Asks whether a change stands."""
        self._waiting.for_lookup(change_id, on_answer)
        self._carry_out(self._core.look_up_change(change_id, self.now()))

    # PeerHandler, for the links.

    def peer_message(self, peer: str, message: PeerMessage) -> None:
        """Brings a peer's message to the core."""
        if isinstance(message, StatementRequest):
            self.last_peer_request_at = self.now()
        self._carry_out(self._core.handle_peer_message(peer, message, self.now()))

    def inbound_opened(self, peer: str, incarnation: int) -> None:
        """Tells the core that a peer will send requests."""
        self._carry_out(self._core.handle_peer_connected(peer, incarnation, self.now()))

    def outbound_lost(self, lost: OutboundLost) -> None:
        """Tells the core which requests are in doubt, and which never left."""
        effects = self._core.handle_outbound_lost(lost.peer, lost.unsent_requests, self.now())
        self._carry_out(effects)

    def requests_unsent(self, unsent: RequestsUnsent) -> None:
        """Tells the core which requests never left, while those to the same peer go on."""
        effects = self._core.handle_requests_unsent(unsent.peer, unsent.requests, self.now())
        self._carry_out(effects)

    def inbound_lost(self, peer: str) -> None:
        """Tells the core that a peer no longer awaits answers."""
        self._carry_out(self._core.handle_inbound_lost(peer, self.now()))

    def datagram(self, data: bytes, address: str) -> None:
        """Brings a datagram to the core."""
        self._carry_out(self._core.handle_datagram(data, address, self.now()))

    # DatabaseHandler, for the workers; and the store's results.

    def connection_opened(self, connection_id: int) -> None:
        """Tells the core that a back-end connection is open."""
        self._carry_out(self._core.handle_connection_opened(connection_id, self.now()))

    def connection_failed(self, connection_id: int, code: ErrorCode) -> None:
        """Tells the core that a back-end connection could not be opened."""
        self._carry_out(self._core.handle_connection_failed(connection_id, code, self.now()))

    def job_result(self, result: JobResult) -> None:
        """Brings a job's result to the core."""
        self._carry_out(self._core.handle_job_result(result, self.now()))

    def status_reading(self, round_id: int, reading: StatusReading) -> None:
        """Brings a status reading to the core."""
        self._carry_out(self._core.handle_status_reading(round_id, reading, self.now()))

    def _store_result(self, result: StoreResult) -> None:
        self._carry_out(self._core.handle_store_result(result, self.now()))

    def _machines_read(self, machines: tuple[MachineState, ...] | None) -> None:
        self._carry_out(self._core.handle_machine_list(machines, self.now()))

    # Carrying out effects.

    def _carry_out(self, effects: Iterable[ProxyEffect]) -> None:
        for effect in effects:
            try:
                self._carriers[type(effect)](effect)
            except Exception:
                # What the core asked for besides must still happen.
                logger.bind(effect=type(effect).__name__).exception("effect_failed")
        if not self._reschedule_planned:
            self._reschedule_planned = True
            self._loop.call_before_sleep(self._reschedule)

    def _reschedule(self) -> None:
        # A timer that is due too early only ticks too early; that is cheaper than replacing it.
        self._reschedule_planned = False
        wake = self._core.next_wake()
        if wake is None or (self._timer is not None and self._timer.due <= wake):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(wake - self.now(), self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._carry_out(self._core.tick(self.now()))

    def _send_to_peer(self, effect: SendToPeer) -> None:
        self._links.send(effect.peer, effect.message)

    def _send_datagram(self, effect: SendDatagram) -> None:
        self._datagrams.send(effect.address, effect.data)

    def _members_changed(self, effect: MembersChanged) -> None:
        addresses = {member.name: member.peer_address for member in effect.members}
        addresses.pop(self.name, None)
        self._links.set_addresses(addresses)

    def _ignore(self, _effect: ProxyEffect) -> None:
        """What is told for information only."""

    def _log(self, effect: LogEvent) -> None:
        self.metrics.count_event(effect.name)
        logger.bind(**dict(effect.fields)).info(effect.name)

    def _call_store(self, effect: StoreCall) -> None:
        self._store.call(effect, self._store_result)

    def _read_machine_list(self, _effect: ReadMachineList) -> None:
        self._store.read_machines(self._machines_read)
