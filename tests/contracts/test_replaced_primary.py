"""No write is acknowledged by a primary that has been replaced, and none of them is lost."""

from unittest.mock import patch

from dewledge.core.proxy.gateway.confirmation import Verdict as Confirmed
from dewledge.core.proxy.gateway.group_monitor import GroupMonitor
from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.violations import Promise
from dewledge.simulation.workloads import Action
from tests.contracts.fault_table import ContractTestCase, Expected, Row, workload

CUT = FaultKind.PRIMARY_CUT
LOST = (Expected.ELECTION, Expected.LOST_COMMIT)

ROWS = (
    Row("cut, callers still reach it", (Fault(CUT, 1.0, 3.0),), (*LOST, Expected.UNKNOWN)),
    Row("cut twice", (Fault(CUT, 1.0, 1.0), Fault(CUT, 2.8, 1.0)), LOST),
    Row("cut from all", (Fault(FaultKind.PRIMARY_CUT_FROM_ALL, 1.0),), (Expected.ELECTION,)),
    Row("killed", (Fault(FaultKind.PRIMARY_KILLED, 1.0),), (Expected.ELECTION,)),
    Row("frozen and thawed", (Fault(FaultKind.PRIMARY_FROZEN, 1.0),), (Expected.ELECTION,)),
    Row(
        "cut while its gateway is frozen, and thawed later",
        (Fault(CUT, 1.2, 2.0), Fault(FaultKind.GATEWAY_FROZEN, 1.0, 3.0)),
        (Expected.ELECTION,),
    ),
    Row(
        "cut while its gateway is frozen for a minute",
        (Fault(CUT, 1.02, 2.0), Fault(FaultKind.GATEWAY_FROZEN, 1.0, 60.0)),
        (Expected.ELECTION,),
    ),
    Row(
        "cut while replicas receive late",
        (Fault(FaultKind.REPLICAS_LAG, 0.8, 2.0), Fault(CUT, 1.0, 3.0)),
        (Expected.UNKNOWN,),
    ),
    Row(
        "site cut off, with its callers",
        (Fault(FaultKind.SITE_CUT, 1.0),),
        (Expected.ELECTION, Expected.UNKNOWN),
    ),
    Row(
        "cut while another gateway stands in",
        (Fault(FaultKind.GATEWAY_CUT, 0.8, 3.0), Fault(CUT, 1.5, 2.0)),
        (Expected.ELECTION,),
    ),
    Row("site lost", (Fault(FaultKind.SITE_LOST, 1.0),), (Expected.ELECTION,)),
    Row(
        "cut while messages are lost",
        (Fault(FaultKind.MESSAGES_LOST, 0.5, 4.0), Fault(CUT, 1.0, 3.0)),
        LOST,
    ),
)


def confirm_at_once(self, claim, after_round, deadline, on_verdict, now):  # type: ignore[no-untyped-def]
    """Takes the primary's word for every write."""
    on_verdict(Confirmed.CONFIRMED, now)


class ReplacedPrimaryTest(ContractTestCase):
    workloads = (workload(Action.APPEND, 0.7), workload(Action.AMEND, 0.3))

    def test_faults(self) -> None:
        self.check_rows(ROWS)

    def test_without_confirmation_the_harm_is_found(self) -> None:
        with patch.object(GroupMonitor, "confirm", confirm_at_once):
            for promise in (Promise.NO_REPLACED_PRIMARY, Promise.ACKNOWLEDGED_WRITES_STAND):
                with self.subTest(promise):
                    self.check_naive((Fault(CUT, 1.0, 3.0),), promise)
