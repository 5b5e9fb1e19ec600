"""The gateway half of the decision core: the databases this proxy holds connections to.

A thin public class over small parts: `roster` follows configuration and placement,
`routing` sends each request its way, `database` serves one database,
`group_monitor` watches one group and confirms results, `request` answers each request
exactly once. docs/design/gateways.md says why gateways, docs/design/write-confirmation.md what a
confirmation proves, docs/design/admission.md who may wait.
"""

from random import Random

from dewledge.core.proxy.configuration.configuration import Configuration
from dewledge.core.proxy.effects import Effect, SendToPeer
from dewledge.core.proxy.gateway.context import GatewayContext
from dewledge.core.proxy.gateway.report import DatabaseReport
from dewledge.core.proxy.gateway.request import GatewayRequest, RequestRegistry
from dewledge.core.proxy.gateway.roster import DrainPolicy, GatewayRoster, Placement
from dewledge.core.proxy.gateway.routing import GatewayRouting
from dewledge.core.proxy.gateway.settings import GatewaySettings
from dewledge.core.proxy.gateway.transactions import TransactionTable
from dewledge.core.proxy.jobs import JobResult, StatusReading
from dewledge.core.proxy.messages import (
    CancelRequest,
    GroupStatusAnswer,
    GroupStatusRequest,
    StatementRequest,
)
from dewledge.errors import ErrorCode


class Gateway:
    """One proxy's gateway. Every method returns effects, to be carried out in their order."""

    def __init__(self, me: str, settings: GatewaySettings, random: Random) -> None:
        self._context = GatewayContext(me, settings, random)
        self._registry = RequestRegistry(self._context)
        self._table = TransactionTable(me, random, settings.remembered_transactions)
        self._roster = GatewayRoster(self._context, self._registry, self._table)
        self._routing = GatewayRouting(self._context, self._registry, self._table, self._roster)

    @property
    def is_idle(self) -> bool:
        """No request is in flight and no transaction is open."""
        return not len(self._registry) and not len(self._table)

    def reports(self) -> tuple[DatabaseReport, ...]:
        """Returns the figures of each database, by name."""
        return self._roster.reports()

    def set_configuration(
        self, configuration: Configuration, policy: DrainPolicy, placement: Placement, now: float
    ) -> list[Effect]:
        """Takes over a configuration and placement; what was accepted before is finished."""
        self._roster.configure(configuration, policy, placement, now)
        return self._context.take_effects()

    def set_serving(self, serving: bool, now: float) -> list[Effect]:
        """Tells whether this proxy may serve; cut off for too long, it refuses what has not run."""
        self._routing.serving = serving
        for database in self._roster.databases.values():
            database.set_serving(serving, now)
        return self._context.take_effects()

    def handle_peer_connected(self, peer: str, incarnation: int, now: float) -> list[Effect]:
        """Notes a peer's process start, so that a new process may use old correlations again."""
        if self._registry.is_new_incarnation(peer, incarnation):
            self._lose_peer(peer)
            self._registry.note_incarnation(peer, incarnation)
        return self._context.take_effects()

    def handle_peer_lost(self, peer: str, now: float) -> list[Effect]:
        """Drops what a peer had waiting here; what has started finishes."""
        self._lose_peer(peer)
        return self._context.take_effects()

    def handle_request(self, peer: str, request: StatementRequest, now: float) -> list[Effect]:
        """Takes one operation from an entry; it is answered exactly once, a doubled one not."""
        accepted = self._registry.accept(peer, request, now)
        if accepted is not None:
            self._routing.route(accepted, now)
        return self._context.take_effects()

    def handle_cancel(self, peer: str, cancel: CancelRequest, now: float) -> list[Effect]:
        """Gives up a request that has not started; one that runs is answered as it ends."""
        request = self._registry.find(peer, cancel.correlation)
        if request is not None:
            request.cancelled = True
            if self._withdraw(request):
                self._registry.not_run(request, ErrorCode.CANCELLED)
        return self._context.take_effects()

    def handle_group_status_request(
        self, peer: str, message: GroupStatusRequest, now: float
    ) -> list[Effect]:
        """Answers with the statuses of a group, after a new round if need be."""
        if self._roster.has_group(message.group):
            self._roster.monitor(message.group, now).answer_status(peer, message, now)
        else:
            answer = GroupStatusAnswer(message.correlation, message.group, (), ())
            self._context.emit(SendToPeer(peer, answer))
        return self._context.take_effects()

    def handle_connection_opened(self, connection_id: int, now: float) -> list[Effect]:
        """Takes a back-end connection that was opened."""
        owner = self._context.connection_owners.get(connection_id)
        if owner is not None:
            owner.opened(connection_id, now)
        return self._context.take_effects()

    def handle_connection_failed(
        self, connection_id: int, code: ErrorCode, now: float
    ) -> list[Effect]:
        """Notes that a back-end connection could not be opened."""
        owner = self._context.connection_owners.get(connection_id)
        if owner is not None:
            owner.failed(connection_id, code, now)
        return self._context.take_effects()

    def handle_job_result(self, result: JobResult, now: float) -> list[Effect]:
        """Takes a job's result; a late or doubled one is dropped."""
        owner = self._context.job_owners.get(result.job_id)
        if owner is not None:
            owner.handle_result(result, now)
        return self._context.take_effects()

    def handle_status_reading(
        self, round_id: int, reading: StatusReading, now: float
    ) -> list[Effect]:
        """Takes one reading of a status round; a late or doubled one is dropped."""
        owner = self._context.round_owners.get(round_id)
        if owner is not None:
            owner.handle_reading(round_id, reading, now)
        return self._context.take_effects()

    def leave(self, now: float) -> list[Effect]:
        """Refuses new work from now on; `is_idle` tells when the accepted work is finished."""
        self._routing.leaving = True
        for database in self._roster.databases.values():
            database.leave(now)
        return self._context.take_effects()

    def tick(self, now: float) -> list[Effect]:
        """Does what is due."""
        self._context.run_timers(now)
        return self._context.take_effects()

    def next_wake(self) -> float | None:
        """Returns when `tick` has something to do, or None."""
        return self._context.next_wake()

    def _lose_peer(self, peer: str) -> None:
        for request in self._registry.of_peer(peer):
            request.peer_lost = True
            if self._withdraw(request):
                self._registry.drop(request)
        for monitor in self._roster.monitors.values():
            monitor.forget_peer(peer)

    def _withdraw(self, request: GatewayRequest) -> bool:
        database = self._roster.databases.get(request.message.database)
        return database is not None and database.withdraw(request)
