"""A planned stop of a proxy cuts no request in flight."""

from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.violations import Promise
from tests.contracts.fault_table import ContractTestCase, Expected, Row
from tests.contracts.naive_ways import EndsAtOnce

STOP = Fault(FaultKind.PROXY_STOPPED, 1.0, 2.0)
STOPPED = (Expected.STOPPED,)

ROWS = (
    Row("stopped under load", (STOP,), STOPPED),
    Row(
        "two stopped one after the other", (STOP, Fault(FaultKind.PROXY_STOPPED, 3.0, 1.0)), STOPPED
    ),
    Row(
        "stopped while the primary is slow",
        (Fault(FaultKind.DATABASE_SLOW, 0.9, 1.0), STOP),
        STOPPED,
    ),
    Row(
        "stopped while messages are doubled",
        (Fault(FaultKind.MESSAGES_DOUBLED, 0.5), STOP),
        STOPPED,
    ),
    Row(
        "stopped while messages are reordered",
        (Fault(FaultKind.MESSAGES_REORDERED, 0.5), STOP),
        STOPPED,
    ),
    Row("stopped while the store is down", (Fault(FaultKind.STORE_DOWN, 0.5), STOP), STOPPED),
    Row("gateway of the primary stopped", (Fault(FaultKind.GATEWAY_STOPPED, 1.0, 2.0),), STOPPED),
)


class PlannedStopTest(ContractTestCase):
    def test_faults(self) -> None:
        self.check_rows(ROWS)

    def test_ending_at_once_is_found(self) -> None:
        self.check_naive((STOP,), Promise.PLANNED_STOP, EndsAtOnce)
