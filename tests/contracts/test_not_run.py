"""What a caller is told was "not run" really did not run, then or later."""

from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.violations import Promise
from dewledge.simulation.workloads import Action
from tests.contracts.fault_table import ContractTestCase, Expected, Row, workload
from tests.contracts.naive_ways import UnknownIsNotRun

SLOW = Fault(FaultKind.DATABASE_SLOW, 0.5, 4.0)

ROWS = (
    Row("primary slow, so that deadlines pass in the queue", (SLOW,), (Expected.NOT_RUN,)),
    Row(
        "primary slow and messages delayed, so that cancels come late",
        (SLOW, Fault(FaultKind.MESSAGES_DELAYED, 0.5, 4.0)),
        (Expected.NOT_RUN,),
    ),
    Row(
        "primary slow and messages lost",
        (SLOW, Fault(FaultKind.MESSAGES_LOST, 0.5, 4.0)),
        (Expected.NOT_RUN,),
    ),
    Row(
        "primary slow and answers of commits lost",
        (SLOW, Fault(FaultKind.COMMIT_ANSWERS_LOST, 1.0)),
        (Expected.UNKNOWN,),
    ),
    Row("gateway cut off", (Fault(FaultKind.GATEWAY_CUT, 1.0),), (Expected.NOT_RUN,)),
    Row("gateway frozen", (Fault(FaultKind.GATEWAY_FROZEN, 1.0),), (Expected.NOT_RUN,)),
    Row("gateway killed", (Fault(FaultKind.GATEWAY_KILLED, 1.0),), (Expected.NOT_RUN,)),
    Row("primary killed", (Fault(FaultKind.PRIMARY_KILLED, 1.0),), (Expected.ELECTION,)),
    Row("primary frozen", (Fault(FaultKind.PRIMARY_FROZEN, 1.0),), (Expected.ELECTION,)),
    Row("proxy cut off", (Fault(FaultKind.PROXY_CUT, 1.0),)),
)


class NotRunTest(ContractTestCase):
    workloads = (
        workload(Action.APPEND, 0.5),
        workload(Action.SUBMIT, 0.3),
        workload(Action.TRANSACTION, 0.2),
    )

    def test_faults(self) -> None:
        self.check_rows(ROWS)

    def test_calling_the_unknown_not_run_is_found(self) -> None:
        faults = (Fault(FaultKind.COMMIT_ANSWERS_LOST, 1.0),)
        self.check_naive(faults, Promise.NOT_RUN_IS_TRUE, UnknownIsNotRun)
