"""A submission that may not be repeated takes effect at most once, whoever repeats it."""

from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.violations import Promise
from dewledge.simulation.workloads import Action
from tests.contracts.fault_table import ContractTestCase, Expected, Row, workload
from tests.contracts.naive_ways import ResendsUnknown

ANSWERS_LOST = Fault(FaultKind.COMMIT_ANSWERS_LOST, 1.0)
CUT = Fault(FaultKind.PRIMARY_CUT, 1.0, 1.0)

ROWS = (
    Row("answers of commits lost", (ANSWERS_LOST,), (Expected.UNKNOWN, Expected.REPEATED)),
    Row("messages lost", (Fault(FaultKind.MESSAGES_LOST, 0.5, 4.0),), (Expected.REPEATED,)),
    Row("messages doubled", (Fault(FaultKind.MESSAGES_DOUBLED, 0.5, 4.0),), (Expected.ALL_DONE,)),
    Row("messages reordered", (Fault(FaultKind.MESSAGES_REORDERED, 0.5, 4.0),)),
    Row("gateway killed", (Fault(FaultKind.GATEWAY_KILLED, 1.0),), (Expected.UNKNOWN,)),
    Row("gateway frozen", (Fault(FaultKind.GATEWAY_FROZEN, 1.0),), (Expected.UNKNOWN,)),
    Row("primary cut off", (CUT,), (Expected.UNKNOWN, Expected.ELECTION)),
    Row("primary frozen", (Fault(FaultKind.PRIMARY_FROZEN, 1.0),), (Expected.ELECTION,)),
    Row("site cut off", (Fault(FaultKind.SITE_CUT, 1.0, 2.0),), (Expected.UNKNOWN,)),
    Row("another gateway stands in", (Fault(FaultKind.GATEWAY_CUT, 1.0),), (Expected.UNKNOWN,)),
    Row(
        "another gateway stands in, answers of commits lost",
        (Fault(FaultKind.GATEWAY_CUT, 0.8), ANSWERS_LOST),
        (Expected.REPEATED,),
    ),
    Row("connections reset", (Fault(FaultKind.CONNECTIONS_RESET, 1.0),)),
    Row(
        "primary cut off after its gateway was killed",
        (Fault(FaultKind.GATEWAY_KILLED, 0.8), Fault(FaultKind.PRIMARY_CUT, 1.0, 1.0)),
        (Expected.UNKNOWN,),
    ),
    Row(
        "answers of commits lost twice, messages doubled",
        (
            ANSWERS_LOST,
            Fault(FaultKind.COMMIT_ANSWERS_LOST, 2.5),
            Fault(FaultKind.MESSAGES_DOUBLED, 0.5, 4.0),
        ),
        (Expected.REPEATED,),
    ),
)


class AtMostOnceTest(ContractTestCase):
    workloads = (workload(Action.SUBMIT, 0.6), workload(Action.APPEND, 0.4))

    def test_faults(self) -> None:
        self.check_rows(ROWS)

    def test_resending_what_is_unknown_is_found(self) -> None:
        self.check_naive((ANSWERS_LOST,), Promise.AT_MOST_ONCE, ResendsUnknown)
