"""Every caller gets one whole answer, its own, also when answers come late or out of order."""

from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.violations import Promise
from dewledge.simulation.workloads import Action
from tests.contracts.fault_table import ContractTestCase, Expected, Row, workload
from tests.contracts.naive_ways import AnswersByOrder

REORDERED = Fault(FaultKind.MESSAGES_REORDERED, 0.5, 4.0)
DOUBLED = Fault(FaultKind.MESSAGES_DOUBLED, 0.5, 4.0)
SLOW = Fault(FaultKind.DATABASE_SLOW, 0.5, 4.0)

ROWS = (
    Row("answers reordered", (REORDERED,)),
    Row("answers doubled", (DOUBLED,), (Expected.ALL_DONE,)),
    Row("answers late, after their deadline", (SLOW,), (Expected.NOT_RUN,)),
    Row("answers late and reordered", (SLOW, REORDERED), (Expected.NOT_RUN,)),
    Row(
        "entry killed and restarted under its old name", (Fault(FaultKind.PROXY_KILLED, 1.0, 0.3),)
    ),
    Row(
        "entry restarted while its gateway is frozen",
        (Fault(FaultKind.GATEWAY_FROZEN, 1.0, 2.0), Fault(FaultKind.PROXY_KILLED, 1.2, 0.3)),
    ),
    Row("proxy frozen and thawed", (Fault(FaultKind.PROXY_FROZEN, 1.0),)),
)


class OwnAnswerTest(ContractTestCase):
    workloads = (workload(Action.APPEND, 0.8), workload(Action.LOOK_UP, 0.2))

    def test_faults(self) -> None:
        self.check_rows(ROWS)

    def test_matching_answers_by_order_is_found(self) -> None:
        self.check_naive((REORDERED,), Promise.OWN_ANSWER, AnswersByOrder)
