"""Where a request goes at a gateway: to a database, to its transaction, or back refused."""

from dewledge.core.proxy.calls import Access, Operation
from dewledge.core.proxy.gateway.context import GatewayContext
from dewledge.core.proxy.gateway.database import GatewayDatabase
from dewledge.core.proxy.gateway.request import GatewayRequest, RequestRegistry
from dewledge.core.proxy.gateway.roster import GatewayRoster
from dewledge.core.proxy.gateway.transactions import TransactionTable
from dewledge.core.proxy.messages import StatementRequest
from dewledge.core.proxy.transaction_ids import gateway_of_transaction
from dewledge.errors import ErrorCode


def _fault_outside_transaction(message: StatementRequest) -> str | None:
    if message.operation in (Operation.COMMIT, Operation.ROLLBACK):
        return "this operation needs a transaction"
    if message.operation is Operation.EXECUTE and message.statement is None:
        return "a statement is missing"
    return None


def _fault_in_transaction(message: StatementRequest) -> str | None:
    if message.operation is Operation.BEGIN:
        return "a transaction cannot begin inside another"
    if message.operation is not Operation.EXECUTE:
        return None
    if message.statement is None:
        return "a statement is missing"
    if message.idempotency_key is not None:
        return "an idempotency key cannot be used inside a transaction"
    return None


class GatewayRouting:
    """Routes requests. serving, leaving: whether new work is taken at all."""

    def __init__(
        self,
        context: GatewayContext,
        registry: RequestRegistry,
        table: TransactionTable,
        roster: GatewayRoster,
    ) -> None:
        self._context = context
        self._registry = registry
        self._table = table
        self._roster = roster
        self.serving = True
        self.leaving = False

    def route(self, request: GatewayRequest, now: float) -> None:
        """Hands a request on, or refuses it."""
        if request.message.transaction is not None:
            self._route_in_transaction(request, request.message.transaction, now)
        elif not self._refuse(request):
            self._submit(request, now)

    def _submit(self, request: GatewayRequest, now: float) -> None:
        message = request.message
        database = self._roster.database(message.database, message.group, now)
        if database is None:
            self._registry.not_run(request, ErrorCode.NOT_READY, "the database is being taken over")
            return
        if database.drained:
            status = self._roster.monitor(message.group, now).statuses.status(database.name)
            self._registry.not_run(request, ErrorCode.DATABASE_DRAINED, status=status)
            return
        self._note_use(request, database, now)
        database.submit(request, now)

    def _note_use(self, request: GatewayRequest, database: GatewayDatabase, now: float) -> None:
        monitor = self._roster.monitor(database.group, now)
        monitor.note_use(now)
        request.round_at_arrival = monitor.newest_round
        if request.message.confirm and request.message.access is Access.READ:
            monitor.request_round(now)

    def _refuse(self, request: GatewayRequest) -> bool:
        """Refuses what this gateway does not take; False if it takes the request."""
        message = request.message
        fault = _fault_outside_transaction(message)
        spec = self._roster.spec(message.database)
        active = self._roster.active_gateway(message.database)
        if fault is not None:
            self._registry.not_run(request, ErrorCode.MALFORMED_REQUEST, fault)
        elif not self.serving:
            self._registry.not_run(request, ErrorCode.ISOLATED, "this proxy is cut off")
        elif not self._roster.is_ready:
            self._registry.not_run(request, ErrorCode.NOT_READY, "no configuration yet")
        elif spec is None or spec.group != message.group:
            self._registry.not_run(request, ErrorCode.UNKNOWN_GROUP, "no such database here")
        elif self.leaving:
            gateway = self._roster.other_gateway(message.database)
            self._registry.not_run(request, ErrorCode.LEAVING, gateway=gateway)
        elif active != self._context.me and not self._stands_in(message):
            self._registry.not_run(request, ErrorCode.WRONG_GATEWAY, gateway=active)
        elif message.remaining <= 0:
            self._registry.not_run(request, ErrorCode.DEADLINE_EXCEEDED)
        else:
            return False
        return True

    def _stands_in(self, message: StatementRequest) -> bool:
        return message.fallback and self._roster.is_next_gateway(message.database)

    def _route_in_transaction(
        self, request: GatewayRequest, transaction_id: str, now: float
    ) -> None:
        gateway = gateway_of_transaction(transaction_id)
        fault = _fault_in_transaction(request.message)
        transaction = self._table.find(transaction_id, request.message.caller)
        if gateway is not None and gateway != self._context.me:
            self._registry.not_run(request, ErrorCode.WRONG_GATEWAY, gateway=gateway)
        elif fault is not None:
            self._registry.not_run(request, ErrorCode.MALFORMED_REQUEST, fault)
        elif transaction is None:
            self._refuse_ended(request, transaction_id)
        elif not self.serving and request.message.operation is Operation.EXECUTE:
            self._registry.not_run(request, ErrorCode.ISOLATED, "this proxy is cut off")
        else:
            database = self._roster.databases[transaction.database]
            self._note_use(request, database, now)
            database.operate(request, transaction, now)

    def _refuse_ended(self, request: GatewayRequest, transaction_id: str) -> None:
        """A repeated COMMIT must not be told "not run" when an earlier one may have committed."""
        ended = self._table.find_ended(transaction_id, request.message.caller)
        if ended is None:
            self._registry.not_run(request, ErrorCode.UNKNOWN_TRANSACTION)
        elif ended.commit_sent and request.message.operation is Operation.COMMIT:
            message = "an earlier COMMIT of this transaction was answered already"
            self._registry.unknown(request, ErrorCode.TRANSACTION_LOST, message)
        else:
            self._registry.not_run(request, ended.code, "the transaction has ended")
