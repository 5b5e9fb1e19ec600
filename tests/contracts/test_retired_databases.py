"""A database being retired receives no new work a few seconds after it starts leaving."""

from unittest import mock

from dewledge.core.proxy.configuration.spread import ConfigurationSpread
from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.scenario import run_scenario
from dewledge.simulation.violations import Promise
from tests.contracts.fault_table import FIRST_SEED, SEEDS, ContractTestCase, Expected, Row
from tests.contracts.naive_ways import DeafToChanges

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
        """Without the changes, and without the guard against peers that know later ones."""
        with mock.patch.object(ConfigurationSpread, "is_behind", False):
            self.check_naive((DRAIN,), Promise.RETIRED_DATABASES, DeafToChanges)

    def test_a_proxy_that_never_learns_the_drain_takes_no_new_work(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            with self.subTest(seed=seed):
                verdict = run_scenario(self.scenario((DRAIN,)), seed, DeafToChanges)
                broken = [
                    item for item in verdict.violations if item.promise is Promise.RETIRED_DATABASES
                ]
                self.assertEqual(broken, [], verdict.describe())
