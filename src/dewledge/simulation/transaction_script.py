"""A caller's transaction: begin, two writes and a read between them, then commit or rollback."""

from collections.abc import Callable
from random import Random

from dewledge.core.proxy.calls import Access, CallerAnswer, Operation, Outcome, Statement
from dewledge.simulation.callers import CallerCall, CallerClient, CallerSession
from dewledge.simulation.history import RequestRecord
from dewledge.simulation.workloads import append, read_record

ROLLBACK_SHARE = 0.2


class TransactionScript:
    """Runs one transaction to its end; a step that does not succeed leads to a rollback."""

    def __init__(
        self, client: CallerClient, session: CallerSession, workload: str, random: Random
    ) -> None:
        self._client = client
        self._session = session
        self._workload = workload
        self._tag = "t:" + client.next_marker()[2:]
        self._ends_with = (
            Operation.ROLLBACK if random.random() < ROLLBACK_SHARE else Operation.COMMIT
        )
        self._time_limit = 0.0
        self._transaction: str | None = None
        self._done: Callable[[], None] = lambda: None

    def start(self, time_limit: float, done: Callable[[], None]) -> None:
        """Begins; `done` is called when the transaction is over."""
        self._time_limit = time_limit
        self._done = done
        self._send(Operation.BEGIN, Access.WRITE, None, self._begun)

    def _begun(self, record: RequestRecord, answer: CallerAnswer | None) -> None:
        if answer is None or answer.outcome is not Outcome.DONE or answer.transaction is None:
            self._done()
            return
        self._transaction = answer.transaction
        self._send(Operation.EXECUTE, Access.WRITE, self._write, self._then_read)

    def _then_read(self, record: RequestRecord, answer: CallerAnswer | None) -> None:
        if not self._continues(answer):
            return
        read = lambda marker: read_record(self._session.record, marker)  # noqa: E731
        self._send(Operation.EXECUTE, Access.READ, read, self._then_write)

    def _then_write(self, record: RequestRecord, answer: CallerAnswer | None) -> None:
        if self._continues(answer):
            self._send(Operation.EXECUTE, Access.WRITE, self._write, self._then_end)

    def _then_end(self, record: RequestRecord, answer: CallerAnswer | None) -> None:
        if self._continues(answer):
            self._send(self._ends_with, Access.WRITE, None, self._ended)

    def _ended(self, record: RequestRecord, answer: CallerAnswer | None) -> None:
        self._done()

    def _continues(self, answer: CallerAnswer | None) -> bool:
        if answer is not None and answer.outcome is Outcome.DONE:
            return True
        self._send(Operation.ROLLBACK, Access.WRITE, None, self._ended)
        return False

    def _write(self, marker: str) -> Statement:
        return append(marker, self._tag)

    def _send(
        self,
        operation: Operation,
        access: Access,
        statement: Callable[[str], Statement] | None,
        then: Callable[[RequestRecord, CallerAnswer | None], None],
    ) -> None:
        call = CallerCall(
            workload=self._workload,
            operation=operation,
            access=access,
            time_limit=self._time_limit,
            statement=statement,
            transaction=self._transaction,
            transaction_tag=self._tag,
        )
        self._client.send(self._session, call, then)
