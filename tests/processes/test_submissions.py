"""A submission with a key whose outcome its caller did not learn, repeated through every proxy."""

from collections.abc import Callable

import msgspec

from dewledge.core.proxy.calls import Outcome
from dewledge.simulation.history import RequestRecord
from tests.process_cluster import await_state
from tests.processes.observed_cluster import ClusterTestCase, Observation, ObservedCluster
from tests.processes.recorded_caller import RecordedCaller

Step = Callable[[ObservedCluster], None]


class SubmissionRow(msgspec.Struct, frozen=True):
    """before, between: the faults before the first attempt, and before its repeats.

    recorded: whether the first repeat gets a recorded outcome, or must run it anew.
    """

    name: str
    before: Step
    between: Step
    recorded: bool = True


def _nothing(cluster: ObservedCluster) -> None:
    """No fault."""


def _lose_answer(cluster: ObservedCluster) -> None:
    cluster.group_client.lose_answers(cluster.current_primary())


def _kill_gateway(cluster: ObservedCluster) -> None:
    cluster.kill_proxy(cluster.gateway_of(cluster.current_primary()))


def _kill_another(cluster: ObservedCluster) -> None:
    gateway = cluster.gateway_of(cluster.current_primary())
    cluster.kill_proxy(next(it for it in cluster.proxies.values() if it is not gateway))


def _fail_over(cluster: ObservedCluster) -> None:
    old = cluster.current_primary()
    cluster.group_client.kill(old)
    cluster.await_new_primary(old)


def _kill_gateway_and_primary(cluster: ObservedCluster) -> None:
    _kill_gateway(cluster)
    _fail_over(cluster)


def _cut_primary(cluster: ObservedCluster) -> None:
    cluster.group_client.cut_off(cluster.current_primary())


def _freeze_gateway(cluster: ObservedCluster) -> None:
    cluster.freeze_proxy(cluster.gateway_of(cluster.current_primary()))


ROWS = (
    SubmissionRow("answer lost", _lose_answer, _nothing),
    SubmissionRow("answer lost, another proxy killed", _lose_answer, _kill_another),
    SubmissionRow("answer lost, gateway killed", _lose_answer, _kill_gateway),
    SubmissionRow("answer lost, primary killed", _lose_answer, _fail_over),
    SubmissionRow("answer lost, both killed", _lose_answer, _kill_gateway_and_primary),
    SubmissionRow("taken by a primary cut off", _cut_primary, _nothing, recorded=False),
    SubmissionRow("sent to a frozen gateway", _freeze_gateway, _nothing, recorded=False),
)


class SubmissionTest(ClusterTestCase):
    def test_takes_effect_once(self) -> None:
        for row in ROWS:
            with self.subTest(row.name):
                self._run(row)

    def _run(self, row: SubmissionRow) -> None:
        observation = Observation(self.cluster, row.name, sessions=0)
        try:
            first, done = self._submit(row, observation.caller(f"submitter {row.name}"))
            self.cluster.thaw_proxies()
            self.cluster.repair()
        finally:
            history = observation.finish()
            self.cluster.repair()
        self.check_promises(history)
        self.assertIsNot(first.outcome, Outcome.DONE, "the fault left no trace")
        self.assertEqual(done[0].repeated, row.recorded)
        self.assertTrue(all(it.repeated for it in done[1:]), done)
        commits = [it for it in history.commits if first.marker in it.markers]
        self.assertEqual(sum(it.survives for it in commits), 1)

    def _submit(
        self, row: SubmissionRow, caller: RecordedCaller
    ) -> tuple[RequestRecord, list[RequestRecord]]:
        """Returns the first attempt, and the repeat that was done through each proxy."""
        caller.append(keyed=True)
        gateway = self.cluster.gateway_of(self.cluster.current_primary())
        entry = next(it for it in self.cluster.proxies.values() if it is not gateway)
        row.before(self.cluster)
        caller.go_to(entry.name)
        first = caller.append(keyed=True)
        row.between(self.cluster)
        done = [self._repeat(it.name, caller, first) for it in self.cluster.answering_proxies()]
        return first, done

    def _repeat(self, proxy: str, caller: RecordedCaller, first: RequestRecord) -> RequestRecord:
        attempts: list[RequestRecord] = []

        def is_done() -> bool:
            caller.go_to(proxy)
            attempts.append(caller.append(first.marker, keyed=True))
            return attempts[-1].outcome is Outcome.DONE

        await_state(f"{first.marker} is done through {proxy}", is_done)
        return attempts[-1]
