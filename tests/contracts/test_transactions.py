"""Statements of one caller's transaction never land in another's, and a transaction is whole."""

from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.violations import Promise
from dewledge.simulation.workloads import Action
from tests.contracts.fault_table import ContractTestCase, Expected, Row, workload
from tests.contracts.naive_ways import SharesTransactionConnection

ROWS = (
    Row("no fault", (), (Expected.ALL_DONE,)),
    Row("messages doubled", (Fault(FaultKind.MESSAGES_DOUBLED, 0.5, 4.0),)),
    Row("messages reordered", (Fault(FaultKind.MESSAGES_REORDERED, 0.5, 4.0),)),
    Row("messages lost", (Fault(FaultKind.MESSAGES_LOST, 0.5, 4.0),), (Expected.UNKNOWN,)),
    Row("gateway killed inside", (Fault(FaultKind.GATEWAY_KILLED, 1.0),), (Expected.NOT_RUN,)),
    Row("gateway frozen inside", (Fault(FaultKind.GATEWAY_FROZEN, 1.0),), (Expected.NOT_RUN,)),
    Row("another gateway stands in", (Fault(FaultKind.GATEWAY_CUT, 1.0),), (Expected.UNKNOWN,)),
    Row("entry killed inside", (Fault(FaultKind.PROXY_KILLED, 1.0),)),
    Row("connections reset inside", (Fault(FaultKind.CONNECTIONS_RESET, 1.0),)),
    Row("primary slow", (Fault(FaultKind.DATABASE_SLOW, 0.5, 4.0),), (Expected.NOT_RUN,)),
    Row("primary cut off inside", (Fault(FaultKind.PRIMARY_CUT, 1.0, 2.0),), (Expected.ELECTION,)),
    Row("primary frozen inside", (Fault(FaultKind.PRIMARY_FROZEN, 1.0),), (Expected.ELECTION,)),
    Row("primary drained inside", (Fault(FaultKind.PRIMARY_DRAINED, 1.0),), (Expected.ACCEPTED,)),
)


class TransactionsTest(ContractTestCase):
    workloads = (workload(Action.TRANSACTION, 0.2), workload(Action.APPEND, 0.8))

    def test_faults(self) -> None:
        self.check_rows(ROWS)

    def test_a_shared_connection_is_found(self) -> None:
        self.check_naive((), Promise.TRANSACTIONS_NEVER_MIX, SharesTransactionConnection)
