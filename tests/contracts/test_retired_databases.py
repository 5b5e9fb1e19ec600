"""A database being retired receives no new work a few seconds after it starts leaving."""

from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.naive import DeafToChanges
from dewledge.simulation.violations import Promise
from tests.contracts.fault_table import ContractTestCase, Expected, Row

DRAIN = Fault(FaultKind.DATABASE_DRAINED, 1.0)
DRAIN_PRIMARY = Fault(FaultKind.PRIMARY_DRAINED, 1.0)
ACCEPTED = (Expected.ACCEPTED,)

ROWS = (
    Row("replica drained", (DRAIN,), ACCEPTED),
    Row("primary drained", (DRAIN_PRIMARY,), (Expected.ACCEPTED, Expected.NOT_RUN)),
    Row("drained while a proxy is frozen", (Fault(FaultKind.PROXY_FROZEN, 0.8, 7.0), DRAIN)),
    Row(
        "drained while the gateway of the primary is frozen",
        (Fault(FaultKind.GATEWAY_FROZEN, 0.8, 7.0), DRAIN_PRIMARY),
    ),
    Row("drained while a proxy is cut off", (Fault(FaultKind.PROXY_CUT, 0.8, 8.0), DRAIN)),
    Row("drained, then the store down", (DRAIN, Fault(FaultKind.STORE_DOWN, 1.1, 8.0)), ACCEPTED),
    Row("drained, then a proxy restarted", (DRAIN, Fault(FaultKind.PROXY_KILLED, 2.0)), ACCEPTED),
    Row(
        "drained while messages are lost",
        (Fault(FaultKind.MESSAGES_LOST, 0.5, 8.0), DRAIN),
        ACCEPTED,
    ),
)


class RetiredDatabasesTest(ContractTestCase):
    rate = 25.0
    load_time = 10.0

    def test_faults(self) -> None:
        self.check_rows(ROWS)

    def test_a_proxy_that_does_not_hear_of_the_drain_is_found(self) -> None:
        self.check_naive((DRAIN,), Promise.RETIRED_DATABASES, DeafToChanges)
