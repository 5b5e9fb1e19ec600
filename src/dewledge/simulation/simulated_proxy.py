"""A proxy as a process: it runs the decision core, and can be killed, frozen and restarted."""

from collections.abc import Callable, Iterable
from enum import StrEnum
from random import Random
from typing import TYPE_CHECKING

from dewledge.core.proxy.assembly.core import ProxyCore
from dewledge.core.proxy.assembly.effects import ProxyEffect, ReadMachineList
from dewledge.core.proxy.calls import CallerRequest
from dewledge.core.proxy.configuration.spread import ConfigurationChanged
from dewledge.core.proxy.configuration.store import ProposalFinished, ProposedChange, StoreCall
from dewledge.core.proxy.effects import (
    AnswerCaller,
    CloseConnection,
    LogEvent,
    OpenConnection,
    ReadStatuses,
    RunJob,
    SendToPeer,
)
from dewledge.core.proxy.jobs import JobResult
from dewledge.core.proxy.membership.member import Member
from dewledge.core.proxy.membership.messages import SendDatagram
from dewledge.core.proxy.messages import decode
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND
from dewledge.simulation.absences import AbsenceReason, AbsenceTracker
from dewledge.simulation.clock import Action, ScheduledEvent
from dewledge.simulation.core_factory import make_core
from dewledge.simulation.database_client import ClientReports, DatabaseClient
from dewledge.simulation.history import RevisionRecord
from dewledge.simulation.planned_stop import PlannedStop
from dewledge.simulation.reply_desk import AnswerReply, ProposalReply, ReplyDesk
from dewledge.standin.link_delays import Locality

if TYPE_CHECKING:
    from dewledge.simulation.world import World


Handler = Callable[[ProxyCore, float], Iterable[ProxyEffect]]


class ProcessState(StrEnum):
    """Whether the process exists and runs."""

    RUNNING = "running"
    FROZEN = "frozen"
    DEAD = "dead"


class SimulatedProxy:
    """One proxy. What reaches it while frozen waits, and is handled in order when it thaws.

    leaving: a planned stop has begun. store_cut: its calls to the platform are lost.
    """

    def __init__(self, name: str, place: Locality, world: "World", random: Random) -> None:
        self.name = name
        self.place = place
        self.incarnation = 0
        self.state = ProcessState.DEAD
        self.leaving = False
        self.store_cut = False
        self.log: list[tuple[float, LogEvent]] = []
        self._world = world
        self._random = random
        self._parked: list[Action] = []
        self._wake: ScheduledEvent | None = None
        self._desk = ReplyDesk()
        self._peer_incarnations: dict[str, int] = {}
        self._absences = AbsenceTracker(name, world.queue, world.history)
        self._restart_after_stop = False

    # The process.

    def start(self) -> None:
        """Starts a new process under the same name, unless there is one."""
        if self.state is not ProcessState.DEAD:
            return
        self._absences.end(AbsenceReason.DEAD)
        self._absences.end(AbsenceReason.FROZEN)
        self.incarnation += 1
        self.state = ProcessState.RUNNING
        self.leaving = False
        self._restart_after_stop = False
        self._parked = []
        self._desk = ReplyDesk()
        self._peer_incarnations = {}
        world = self._world
        number = int(self.now() * MILLISECONDS_PER_SECOND) + 1
        me = Member(self.name, self.name, self.name, self.place.zone, number)
        self._core = make_core(me, world.settings, self._random)
        self._interceptor = world.make_interceptor(self)
        self._database = DatabaseClient(
            self.name, world.servers, world.network, world.queue, self._reports()
        )
        others = tuple(name for name in world.proxies if name != self.name)
        seeds = self._interceptor.seeds(others)
        self._handle(lambda core, now: core.start(seeds, now))

    def kill(self) -> None:
        """Ends the process at once; its connections break."""
        if self.state is not ProcessState.DEAD:
            self._end()
            self._world.proxy_ended(self)

    def freeze(self) -> None:
        """Stops the process where it stands."""
        if self.state is ProcessState.RUNNING:
            self.state = ProcessState.FROZEN
            self._absences.begin(AbsenceReason.FROZEN)

    def thaw(self) -> None:
        """Lets a frozen process go on."""
        if self.state is not ProcessState.FROZEN:
            return
        self.state = ProcessState.RUNNING
        self._absences.end(AbsenceReason.FROZEN)
        parked, self._parked = self._parked, []
        for action in parked:
            self._run(action)

    def stop(self) -> None:
        """Begins a planned stop: announces it, finishes what was accepted, then ends."""
        self.leaving = True
        incarnation = self.incarnation
        self._handle(lambda core, now: core.leave(now))
        PlannedStop(
            self.name,
            self._world.queue,
            self._world.history,
            may_end=lambda: self.state is ProcessState.RUNNING and self._interceptor.may_end(),
            is_over=lambda: self.incarnation != incarnation or self.state is ProcessState.DEAD,
            end=self._finish_stop,
        ).check()

    def restart_when_ended(self) -> None:
        """Starts a new process, at once or when the planned stop is over."""
        self._restart_after_stop = self.state is not ProcessState.DEAD
        self.start()

    def cut_off(self) -> None:
        """Cuts it off from the platform, and notes that it is cut off from the other proxies."""
        self.store_cut = True
        self._absences.begin(AbsenceReason.CUT_OFF)

    def rejoin(self) -> None:
        """Ends what `cut_off` began."""
        self.store_cut = False
        self._absences.end(AbsenceReason.CUT_OFF)

    def finish_absences(self) -> None:
        """Records an absence that lasts until the end of the run."""
        self._absences.finish()

    @property
    def core(self) -> ProxyCore:
        """The decision core of the present process."""
        return self._core

    def now(self) -> float:
        """Returns the virtual time."""
        return self._world.queue.now

    # What reaches it.

    def receive_call(self, request: CallerRequest, reply: AnswerReply, ended: Action) -> None:
        """Takes a caller's request; `ended` runs if the process ends before its answer."""
        self._desk.expect_answer(request.request_id, reply, ended)
        request = self._interceptor.call(request)
        self._handle(lambda core, now: core.handle_call(request, now))

    def receive_from_peer(self, peer: str, incarnation: int, data: bytes) -> None:
        """Takes an encoded message of another proxy; `incarnation` is that of its process."""
        message = self._interceptor.peer_message(peer, decode(data))
        if message is None:
            return
        self._handle(lambda core, now: self._note_peer(peer, incarnation, now))
        self._handle(lambda core, now: core.handle_peer_message(peer, message, now))

    def receive_datagram(self, address: str, data: bytes) -> None:
        """Takes a membership datagram."""
        passed = self._interceptor.datagram(data)
        if passed is not None:
            self._handle(lambda core, now: core.handle_datagram(passed, address, now))

    def peer_lost(self, peer: str, unsent_requests: tuple[int, ...] = ()) -> None:
        """Learns that the link for its requests to a peer broke."""
        self._handle(lambda core, now: core.handle_outbound_lost(peer, unsent_requests, now))

    def peer_ended(self, peer: str) -> None:
        """Learns that both links with a peer broke."""
        self.peer_lost(peer)
        self._handle(lambda core, now: core.handle_inbound_lost(peer, now))

    def propose(self, change: ProposedChange, reply: ProposalReply) -> None:
        """Takes an operator's change."""
        self._desk.expect_proposal(change.change_id, reply)
        self._handle(lambda core, now: core.propose(change, now))

    def submit_again(self, request: CallerRequest, delay: float = 0.0) -> None:
        """Gives the core a request once more, `delay` seconds later, for a naive variant."""
        run = self._reporter()

        def submit() -> None:
            run(lambda core, now: core.handle_call(request, now))

        if delay > 0.0:
            self._world.queue.call_after(delay, submit)
        else:
            submit()

    def report_job(self, result: JobResult) -> None:
        """Reports a job that was not run, for a naive variant."""
        self._handle(lambda core, now: core.handle_job_result(result, now))

    # Running the core.

    def _handle(self, handler: Handler) -> None:
        """Gives the core an event: now, after the thaw, or never if the process has ended."""
        incarnation = self.incarnation

        def act() -> None:
            if incarnation != self.incarnation:
                return
            for effect in handler(self._core, self.now()):
                for passed in self._interceptor.effect(effect):
                    self._carry_out(passed)

        self._run(act)

    def _run(self, action: Action) -> None:
        if self.state is ProcessState.FROZEN:
            self._parked.append(action)
        elif self.state is ProcessState.RUNNING:
            action()
            self._schedule_wake()

    def _schedule_wake(self) -> None:
        if self._wake is not None:
            self._wake.cancel()
        next_wake = self._core.next_wake()
        if next_wake is not None:
            self._wake = self._world.queue.call_at(
                next_wake, lambda: self._handle(lambda core, now: core.tick(now))
            )

    def _note_peer(self, peer: str, incarnation: int, now: float) -> Iterable[ProxyEffect]:
        if self._peer_incarnations.get(peer) == incarnation:
            return ()
        self._peer_incarnations[peer] = incarnation
        return self._core.handle_peer_connected(peer, incarnation, now)

    def _carry_out(self, effect: ProxyEffect) -> None:
        match effect:
            case AnswerCaller():
                self._desk.answer(effect)
            case SendToPeer():
                self._world.send_to_peer(self, effect.peer, effect.message)
            case SendDatagram():
                self._world.send_datagram(self, effect.address, effect.data)
            case OpenConnection():
                self._database.open(effect)
            case CloseConnection():
                self._database.close(effect)
            case RunJob():
                self._database.run(effect)
            case ReadStatuses():
                self._database.read_statuses(effect)
            case StoreCall():
                self._call_store(effect)
            case ReadMachineList():
                self._read_machine_list()
            case ConfigurationChanged():
                self._record_revision(effect.configuration.revision)
            case ProposalFinished():
                self._desk.finish_proposal(effect)
            case LogEvent():
                self.log.append((self.now(), effect))

    def _call_store(self, call: StoreCall) -> None:
        run = self._reporter()
        if not self.store_cut:
            self._world.platform.call(
                call, lambda result: run(lambda core, now: core.handle_store_result(result, now))
            )

    def _read_machine_list(self) -> None:
        run = self._reporter()
        self._world.read_machine_list(
            lambda machines: run(lambda core, now: core.handle_machine_list(machines, now))
        )

    def _reporter(self) -> Callable[[Handler], None]:
        """Returns what reports to this process; for one that has ended it does nothing."""
        incarnation = self.incarnation

        def report(handler: Handler) -> None:
            if incarnation == self.incarnation:
                self._handle(handler)

        return report

    def _reports(self) -> ClientReports:
        run = self._reporter()
        return ClientReports(
            opened=lambda connection: run(
                lambda core, now: core.handle_connection_opened(connection, now)
            ),
            open_failed=lambda connection, code: run(
                lambda core, now: core.handle_connection_failed(connection, code, now)
            ),
            job_result=lambda result: run(
                lambda core, now: core.handle_job_result(self._interceptor.job_result(result), now)
            ),
            status_reading=lambda number, reading: run(
                lambda core, now: core.handle_status_reading(number, reading, now)
            ),
        )

    # Inside.

    def _finish_stop(self) -> None:
        self._handle(lambda core, now: core.stop(now))
        self.kill()
        if self._restart_after_stop:
            self.start()

    def _end(self) -> None:
        self._absences.begin(AbsenceReason.DEAD)
        self.state = ProcessState.DEAD
        self._parked = []
        self._desk.end()
        self._database.close_all()
        if self._wake is not None:
            self._wake.cancel()

    def _record_revision(self, revision: int) -> None:
        record = RevisionRecord(self.now(), self.name, self.incarnation, revision)
        self._world.history.revisions.append(record)
