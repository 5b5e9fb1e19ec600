"""Ends of a request's way: every accepted request is answered here, once."""

from dewledge.core.proxy.calls import Access, CallerAnswer, CallerRequest, Operation, Outcome
from dewledge.core.proxy.entry.pending_requests import PendingRequest, RequestState
from dewledge.core.proxy.entry.session_token import SessionTokenCodec
from dewledge.core.proxy.entry.state import EntryState
from dewledge.core.proxy.messages import (
    CancelRequest,
    StatementDone,
    StatementNotRun,
    StatementRequest,
)
from dewledge.errors import ErrorCode

REMEMBERED_BEGINS = 1024
"""Statements: given-up BEGINs that are remembered, to roll back those that succeed late."""

LATE_ROLLBACK_TIME = 1.0
"""Seconds that a gateway is given to roll back a transaction that nobody asked for any more."""


class RequestFinisher:
    """Answers requests, and cancels what is still in flight for them."""

    def __init__(self, state: EntryState, codec: SessionTokenCodec) -> None:
        self._state = state
        self._codec = codec
        self._given_up_begins: dict[int, CallerRequest] = {}

    def done(self, pending: PendingRequest, message: StatementDone) -> None:
        """Answers DONE, with a token raised by what the request wrote or saw."""
        request = pending.request
        floors = pending.floors
        if self._raises_floor(pending):
            floors = floors.raised(request.group, message.position)
        session = None
        if floors is not pending.floors:
            session = self._codec.seal(request.caller, floors.by_group)
        begins = request.operation is Operation.BEGIN
        answer = CallerAnswer(
            Outcome.DONE,
            rows=message.rows,
            session=session,
            transaction=message.transaction if begins else request.transaction,
            served_by=message.database,
            repeated=message.repeated,
        )
        self._finish(pending, answer)

    def not_run(
        self,
        pending: PendingRequest,
        code: ErrorCode,
        message: str = "",
        retry_after: float | None = None,
    ) -> None:
        """Answers NOT_RUN, or UNKNOWN where an earlier attempt may have run.

        What came too late can be asked again, so its refusal always tells when.
        """
        outcome = Outcome.UNKNOWN if pending.outcome_is_open else Outcome.NOT_RUN
        is_late = outcome is Outcome.NOT_RUN and code is ErrorCode.DEADLINE_EXCEEDED
        if is_late and retry_after is None:
            retry_after = self._state.retry_after()
        self._finish(pending, CallerAnswer(outcome, code, message, retry_after=retry_after))

    def pass_on(self, pending: PendingRequest, message: StatementNotRun, code: ErrorCode) -> None:
        """Answers with a gateway's refusal."""
        self.not_run(pending, code, message.message, message.retry_after)

    def unknown(self, pending: PendingRequest, code: ErrorCode, message: str = "") -> None:
        """Answers UNKNOWN."""
        self._finish(pending, CallerAnswer(Outcome.UNKNOWN, code, message))

    def expire(self, pending: PendingRequest) -> None:
        """Answers a request whose deadline has come."""
        self.cancel(pending)
        self.not_run(pending, ErrorCode.DEADLINE_EXCEEDED, "the deadline came before the answer")

    def forget(self, pending: PendingRequest) -> None:
        """Drops a request whose caller is gone; nothing is answered."""
        self.cancel(pending)
        self._drop(pending)

    def cancel(self, pending: PendingRequest) -> None:
        """Gives up the attempt in flight, if there is one, and tells its gateway."""
        if pending.state is not RequestState.IN_FLIGHT:
            return
        self._state.send(pending.peer, CancelRequest(pending.correlation))
        if pending.request.operation is Operation.BEGIN:
            self._remember_begin(pending)
        self.detach(pending)
        pending.may_have_run = True

    def detach(self, pending: PendingRequest) -> None:
        """Ends the attempt in flight: its answer, should it still come, finds nothing."""
        if pending.state is not RequestState.IN_FLIGHT:
            return
        group = self._state.groups.get(pending.request.group)
        if group is not None:
            group.note_answered(pending)
        self._state.pending.detach(pending)
        pending.state = RequestState.HELD
        self._state.timers.clear(pending)

    def handle_late_done(self, peer: str, message: StatementDone) -> None:
        """Rolls back the transaction of a BEGIN that was given up and succeeded all the same."""
        request = self._given_up_begins.pop(message.correlation, None)
        if request is not None:
            self.roll_back(peer, request, message)

    def roll_back(self, peer: str, request: CallerRequest, message: StatementDone) -> None:
        """Ends a transaction that its caller will never hear of; the answer is not awaited."""
        rollback = StatementRequest(
            correlation=self._state.next_correlation(),
            caller=request.caller,
            group=request.group,
            database=message.database,
            operation=Operation.ROLLBACK,
            access=Access.WRITE,
            remaining=LATE_ROLLBACK_TIME,
            transaction=message.transaction,
        )
        self._state.send(peer, rollback)

    def _raises_floor(self, pending: PendingRequest) -> bool:
        """Statements of an open transaction are no promise yet: its commit is."""
        operation = pending.request.operation
        if operation is Operation.EXECUTE:
            return pending.transaction_gateway is None
        return operation is Operation.COMMIT

    def _remember_begin(self, pending: PendingRequest) -> None:
        self._given_up_begins[pending.correlation] = pending.request
        if len(self._given_up_begins) > REMEMBERED_BEGINS:
            del self._given_up_begins[next(iter(self._given_up_begins))]

    def _finish(self, pending: PendingRequest, answer: CallerAnswer) -> None:
        self._drop(pending)
        self._state.answer(pending.request.request_id, answer)

    def _drop(self, pending: PendingRequest) -> None:
        self.detach(pending)
        self._state.timers.clear(pending)
        group = self._state.groups.get(pending.request.group)
        if group is not None:
            group.wait.discard(pending)
        self._state.pending.remove(pending)
        pending.state = RequestState.ENDED
