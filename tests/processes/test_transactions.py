"""Transactions whose proxy is killed or frozen: rolled back, refused with a code, slots back."""

from collections.abc import Callable

import msgspec

from dewledge.core.proxy.calls import Operation, Outcome
from dewledge.core.proxy.transaction_ids import gateway_of_transaction
from dewledge.simulation.history import RequestRecord
from dewledge.standin.group_types import ActivityEntry, ActivityKind
from tests.process_cluster import ProxyProcess, await_state
from tests.processes.observed_cluster import ClusterTestCase, Observation, ObservedCluster
from tests.processes.recorded_caller import RecordedCaller, new_marker

OPEN_TRANSACTIONS = 3
"""As many as the slots of one database allow at once."""

Fault = Callable[[ObservedCluster, ProxyProcess], None]


class TransactionRow(msgspec.Struct, frozen=True):
    """A fault of the proxy that holds open transactions. lost: they cannot go on."""

    name: str
    fault: Fault
    lost: bool = True


def _kill_another(cluster: ObservedCluster, gateway: ProxyProcess) -> None:
    cluster.kill_proxy(next(it for it in cluster.proxies.values() if it is not gateway))


ROWS = (
    TransactionRow("gateway killed", ObservedCluster.kill_proxy),
    TransactionRow("gateway frozen", ObservedCluster.freeze_proxy),
    TransactionRow("another proxy killed", _kill_another, lost=False),
)


class OpenTransaction:
    """One caller's transaction with one write in it."""

    def __init__(self, caller: RecordedCaller) -> None:
        self.caller = caller
        self.tag = "t:" + new_marker()

    def start(self) -> bool:
        """Begins and writes; tells whether both succeeded."""
        self.caller.roam()
        if self.caller.begin(self.tag).outcome is not Outcome.DONE:
            return False
        if self.caller.append_in_transaction(self.tag).outcome is Outcome.DONE:
            return True
        self.roll_back()
        return False

    @property
    def holder(self) -> str | None:
        """The proxy that holds it, which need not be the active gateway by now."""
        return gateway_of_transaction(self.caller.transaction or "")

    def write_through(self, proxy: ProxyProcess) -> RequestRecord:
        """Writes once more, through a proxy of choice."""
        self.caller.go_to(proxy.name)
        return self.caller.append_in_transaction(self.tag)

    def commit_through(self, proxy: ProxyProcess) -> RequestRecord:
        """Commits, through a proxy of choice."""
        self.caller.go_to(proxy.name)
        return self.commit()

    def commit(self) -> RequestRecord:
        """Commits."""
        return self.caller.finish(Operation.COMMIT, self.tag)

    def roll_back(self) -> RequestRecord:
        """Rolls back."""
        return self.caller.finish(Operation.ROLLBACK, self.tag)


class TransactionTest(ClusterTestCase):
    def test_lost_proxy(self) -> None:
        for row in ROWS:
            with self.subTest(row.name):
                self._run(row)

    def _run(self, row: TransactionRow) -> None:
        observation = Observation(self.cluster, row.name, sessions=0)
        try:
            before, transactions = self._open(observation)
            told = self._interrupt(row, transactions)
            self.cluster.repair()
            self._roll_back(transactions)
            self._fill_slots(observation, "again")
        finally:
            history = observation.finish()
            self.cluster.repair()
        self.check_promises(history)
        if not row.lost:
            self.assertEqual({it.outcome for it in told}, {Outcome.DONE})
            return
        self.assertNotIn(Outcome.DONE, {it.outcome for it in told})
        self.assertTrue(all(it.code is not None for it in told), told)
        self._check_closed(before)

    def _open(self, observation: Observation) -> tuple[list[ActivityEntry], list[OpenTransaction]]:
        """Returns what the database saw until all transactions were open, and those."""
        opened: list[OpenTransaction] = []

        def is_held_by_one() -> bool:
            self._roll_back(opened)
            opened[:] = self._fill_slots(observation, new_marker(), finish=False)
            return len({it.holder for it in opened}) == 1

        await_state("one proxy holds all transactions", is_held_by_one)
        return self.cluster.group_client.activity(), opened

    def _interrupt(
        self, row: TransactionRow, transactions: list[OpenTransaction]
    ) -> list[RequestRecord]:
        """Returns what callers were told after the fault."""
        (holder,) = {it.holder for it in transactions}
        assert holder is not None
        row.fault(self.cluster, self.cluster.proxies[holder])
        proxies = self.cluster.answering_proxies()
        told = [it.write_through(proxy) for it in transactions for proxy in proxies]
        return told + [it.commit_through(proxies[0]) for it in transactions]

    def _roll_back(self, transactions: list[OpenTransaction]) -> None:
        """A frozen gateway still holds them when it thaws, for callers who were told "unknown"."""
        for transaction in transactions:
            told: list[RequestRecord] = []

            def is_over(
                transaction: OpenTransaction = transaction, told: list[RequestRecord] = told
            ) -> bool:
                told.append(transaction.roll_back())
                return told[-1].outcome in (Outcome.DONE, Outcome.NOT_RUN)

            await_state(f"transaction {transaction.tag} is over", is_over)

    def _fill_slots(
        self, observation: Observation, name: str, finish: bool = True
    ) -> list[OpenTransaction]:
        """Opens as many transactions at once as the database has slots for."""
        opened = []
        for index in range(OPEN_TRANSACTIONS):
            caller = observation.caller(f"{name} {index}")

            def is_open(caller: RecordedCaller = caller) -> bool:
                attempt = OpenTransaction(caller)
                if not attempt.start():
                    return False
                opened.append(attempt)
                return True

            await_state(f"transaction {index} is open", is_open)
        if finish:
            self.assertEqual({it.commit().outcome for it in opened}, {Outcome.DONE})
        return opened

    def _check_closed(self, before: list[ActivityEntry]) -> None:
        """Every connection with a transaction open at the fault was closed by the database."""
        in_transaction: set[int] = set()
        for entry in before:
            if entry.kind is ActivityKind.BEGIN:
                in_transaction.add(entry.session)
            elif entry.kind in (ActivityKind.COMMIT, ActivityKind.ROLLBACK, ActivityKind.CLOSE):
                in_transaction.discard(entry.session)
        self.assertEqual(len(in_transaction), OPEN_TRANSACTIONS)
        ends = (ActivityKind.CLOSE, ActivityKind.ROLLBACK)
        activity = self.cluster.group_client.activity()
        ended = {it.session for it in activity[len(before) :] if it.kind in ends}
        self.assertEqual(in_transaction - ended, set())
