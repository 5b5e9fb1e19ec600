"""A session reads its own writes, and never older data than it read before, on any proxy."""

from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.naive import NoFreshnessCheck
from dewledge.simulation.violations import Promise
from dewledge.simulation.workloads import Action
from tests.contracts.fault_table import ContractTestCase, Expected, Row, workload

LAG = Fault(FaultKind.REPLICAS_LAG, 0.5, 2.0)
APPLY_LATE = Fault(FaultKind.REPLICAS_APPLY_LATE, 0.5, 4.0)

ROWS = (
    Row("no fault", (), (Expected.ALL_DONE,)),
    Row("replicas apply late", (APPLY_LATE,), (Expected.ALL_DONE,)),
    Row("replicas receive late", (LAG,), (Expected.UNKNOWN,)),
    Row("messages reordered", (Fault(FaultKind.MESSAGES_REORDERED, 0.5, 4.0),)),
    Row("primary killed", (Fault(FaultKind.PRIMARY_KILLED, 1.0),), (Expected.ELECTION,)),
    Row(
        "primary cut off, then rejoining",
        (Fault(FaultKind.PRIMARY_CUT, 1.0, 2.0),),
        (Expected.ELECTION, Expected.LOST_COMMIT),
    ),
    Row(
        "primary cut off while replicas apply late",
        (APPLY_LATE, Fault(FaultKind.PRIMARY_CUT, 1.0, 2.0)),
        (Expected.ELECTION,),
    ),
    Row("gateway killed", (Fault(FaultKind.GATEWAY_KILLED, 1.0),)),
    Row("another gateway stands in", (Fault(FaultKind.GATEWAY_CUT, 1.0),)),
    Row("site cut off, with its callers", (Fault(FaultKind.SITE_CUT, 1.0),), (Expected.ELECTION,)),
    Row("site lost", (Fault(FaultKind.SITE_LOST, 1.0),), (Expected.ELECTION,)),
    Row("proxy cut off", (Fault(FaultKind.PROXY_CUT, 1.0),)),
)


class OwnWritesTest(ContractTestCase):
    workloads = (
        workload(Action.AMEND, 0.5),
        workload(Action.READ_OWN, 0.3),
        workload(Action.LOOK_UP, 0.2),
    )

    def test_faults(self) -> None:
        self.check_rows(ROWS)

    def test_reads_without_a_freshness_check_are_found(self) -> None:
        self.check_naive((APPLY_LATE,), Promise.OWN_WRITES_READ_BACK, NoFreshnessCheck)
