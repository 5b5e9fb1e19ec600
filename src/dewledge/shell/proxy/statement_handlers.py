"""Statements and transactions: POST /v1/statements and /v1/transactions/..."""

import math

import msgspec

from dewledge.core.proxy.calls import (
    Access,
    CallerAnswer,
    CallerRequest,
    Operation,
    Outcome,
    Scalar,
    Statement,
)
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND
from dewledge.errors import ErrorCode, Finding, InvalidInput
from dewledge.shell.proxy.http_authentication import authenticate
from dewledge.shell.proxy.http_status import status_of
from dewledge.shell.proxy.proxy_services import ProxyServices
from dewledge.shell.proxy.request_bodies import BeginBody, FinishBody, StatementBody, read_body
from dewledge.shell.shared.http_messages import Exchange, Headers, json_response


class AnswerBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """The JSON answer to a statement or a step of a transaction."""

    outcome: Outcome
    code: ErrorCode | None = None
    message: str = ""
    columns: tuple[str, ...] | None = None
    rows: tuple[tuple[Scalar, ...], ...] | None = None
    affected: int | None = None
    retry_after_ms: int | None = None
    session: str | None = None
    transaction: str | None = None
    served_by: str | None = None
    repeated: bool = False


class StatementHandlers:
    """Hands callers' requests to the core and its answers back."""

    def __init__(self, services: ProxyServices) -> None:
        self._services = services

    def statement(self, exchange: Exchange) -> None:
        """POST /v1/statements."""
        caller = authenticate(exchange, self._services)
        if caller is None:
            return
        body = read_body(StatementBody, exchange.request.body)
        request = CallerRequest(
            request_id=self._services.next_request_id(),
            caller=caller,
            group=body.group,
            deadline=self._deadline(body.deadline_ms),
            operation=Operation.EXECUTE,
            access=body.access,
            statement=Statement(body.sql, body.parameters),
            session=body.session,
            transaction=body.transaction,
            idempotency_key=body.idempotency_key,
        )
        self._submit(exchange, request)

    def begin(self, exchange: Exchange) -> None:
        """POST /v1/transactions/begin."""
        caller = authenticate(exchange, self._services)
        if caller is None:
            return
        body = read_body(BeginBody, exchange.request.body)
        request = CallerRequest(
            request_id=self._services.next_request_id(),
            caller=caller,
            group=body.group,
            deadline=self._deadline(body.deadline_ms),
            operation=Operation.BEGIN,
            session=body.session,
        )
        self._submit(exchange, request)

    def commit(self, exchange: Exchange) -> None:
        """POST /v1/transactions/commit."""
        self._finish(exchange, Operation.COMMIT)

    def rollback(self, exchange: Exchange) -> None:
        """POST /v1/transactions/rollback."""
        self._finish(exchange, Operation.ROLLBACK)

    def _finish(self, exchange: Exchange, operation: Operation) -> None:
        caller = authenticate(exchange, self._services)
        if caller is None:
            return
        body = read_body(FinishBody, exchange.request.body)
        request = CallerRequest(
            request_id=self._services.next_request_id(),
            caller=caller,
            group=body.group,
            deadline=self._deadline(body.deadline_ms),
            operation=operation,
            access=Access.WRITE,
            session=body.session,
            transaction=body.transaction,
        )
        self._submit(exchange, request)

    def _deadline(self, deadline_ms: int | None) -> float:
        bounds = self._services.deadlines
        seconds = bounds.default if deadline_ms is None else deadline_ms / MILLISECONDS_PER_SECOND
        if seconds > bounds.longest:
            message = f"must be at most {bounds.longest * MILLISECONDS_PER_SECOND:.0f}"
            finding = Finding("body deadline_ms", ErrorCode.MALFORMED_REQUEST, message)
            raise InvalidInput([finding])
        return self._services.now() + seconds

    def _submit(self, exchange: Exchange, request: CallerRequest) -> None:
        services = self._services
        began = services.now()

        def answer(given: CallerAnswer) -> None:
            seconds = services.now() - began
            services.metrics.observe_answer(request.operation, request.access, given, seconds)
            _respond(exchange, given)

        exchange.on_gone = lambda: services.abandon_call(request.request_id)
        services.submit_call(request, answer)


def _respond(exchange: Exchange, answer: CallerAnswer) -> None:
    rows = answer.rows
    body = AnswerBody(
        outcome=answer.outcome,
        code=answer.code,
        message=answer.message,
        columns=rows.columns if rows else None,
        rows=rows.rows if rows else None,
        affected=rows.affected if rows else None,
        retry_after_ms=_milliseconds(answer.retry_after),
        session=answer.session,
        transaction=answer.transaction,
        served_by=answer.served_by,
        repeated=answer.repeated,
    )
    status = status_of(answer.outcome, answer.code)
    exchange.respond(json_response(status, body, _retry_headers(answer.retry_after)))


def _milliseconds(seconds: float | None) -> int | None:
    return None if seconds is None else math.ceil(seconds * MILLISECONDS_PER_SECOND)


def _retry_headers(seconds: float | None) -> Headers:
    # The header has whole seconds; the body says it to the millisecond.
    return () if seconds is None else (("Retry-After", str(math.ceil(seconds))),)
