"""An accepted change is in force on every proxy in time, and never reverts."""

from dewledge.core.proxy.calls import Outcome
from dewledge.errors import ErrorCode
from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.scenario import run_scenario
from dewledge.simulation.violations import Promise
from tests.contracts.fault_table import FIRST_SEED, SEEDS, ContractTestCase, Expected, Row
from tests.contracts.naive_ways import DeafToChanges

CHANGE = Fault(FaultKind.DATABASE_DRAINED, 1.0)
RACE = Fault(FaultKind.TWO_CHANGES, 1.0)
ACCEPTED = (Expected.ACCEPTED,)

ROWS = (
    Row("no fault", (CHANGE,), ACCEPTED),
    Row("two operators at once", (RACE,), ACCEPTED),
    Row("answer of the store lost", (Fault(FaultKind.STORE_ANSWER_LOST, 0.5), CHANGE), ACCEPTED),
    Row(
        "answer of the store lost, two operators at once",
        (Fault(FaultKind.STORE_ANSWER_LOST, 0.5), RACE),
        ACCEPTED,
    ),
    Row("store down right after", (CHANGE, Fault(FaultKind.STORE_DOWN, 1.1, 6.0)), ACCEPTED),
    Row("store slow", (CHANGE, Fault(FaultKind.STORE_SLOW, 0.5, 6.0)), ACCEPTED),
    Row("store down before", (Fault(FaultKind.STORE_DOWN, 0.5, 6.0), CHANGE)),
    Row("accepting proxy killed", (CHANGE, Fault(FaultKind.PROXY_KILLED, 1.05)), ACCEPTED),
    Row("proxy frozen meanwhile", (Fault(FaultKind.PROXY_FROZEN, 0.8), CHANGE)),
    Row("proxy cut off meanwhile", (Fault(FaultKind.PROXY_CUT, 0.8), CHANGE)),
    Row("messages lost", (Fault(FaultKind.MESSAGES_LOST, 0.5, 6.0), CHANGE), ACCEPTED),
    Row(
        "messages doubled and reordered",
        (Fault(FaultKind.MESSAGES_REORDERED, 0.5, 6.0), CHANGE, RACE),
        ACCEPTED,
    ),
)


class ConfigurationTest(ContractTestCase):
    rate = 25.0
    load_time = 2.0
    settle = 7.0

    def test_faults(self) -> None:
        self.check_rows(ROWS)

    def test_of_two_operators_at_once_one_is_told_who_was_first(self) -> None:
        for seed in range(FIRST_SEED, FIRST_SEED + SEEDS):
            with self.subTest(seed=seed):
                proposals = run_scenario(self.scenario((RACE,)), seed).history.proposals
                done = [item for item in proposals if item.outcome is Outcome.DONE]
                lost = [item for item in proposals if item.outcome is Outcome.NOT_RUN]
                self.assertEqual((len(done), len(lost)), (1, 1))
                self.assertIs(lost[0].code, ErrorCode.REVISION_CONFLICT)
                self.assertEqual(lost[0].winner, done[0].change_id)

    def test_a_proxy_that_does_not_hear_of_changes_is_found(self) -> None:
        self.check_naive((CHANGE,), Promise.CONFIGURATION_IN_FORCE, DeafToChanges)
