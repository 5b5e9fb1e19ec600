"""Cut links, late answers and answers cut short between proxies and databases."""

from collections.abc import Callable

import msgspec

from tests.process_cluster import await_state
from tests.processes.observed_cluster import ClusterTestCase, Observation, ObservedCluster
from tests.processes.relay import Relay

CUT_AFTER_BYTES = 40


class RelayedCluster(ObservedCluster):
    """Proxies reach each database through a relay of the test's."""

    def close(self) -> None:
        """Ends every process, then the relays."""
        super().close()
        for relay in self.relays.values():
            relay.close()

    def _start_standins(self) -> None:
        super()._start_standins()
        self.relays = {name: Relay(at) for name, at in self._database_addresses.items()}
        self._database_addresses = {name: it.address for name, it in self.relays.items()}


Fault = Callable[[Relay], None]
Evidence = Callable[[Relay], bool]


class LinkRow(msgspec.Struct, frozen=True):
    """A fault of the links to every database at once. evidence: that it took hold."""

    name: str
    fault: Fault
    evidence: Evidence


ROWS = (
    LinkRow("answers late", Relay.hold_answers, lambda it: it.held > 0),
    LinkRow(
        "answers cut short",
        lambda it: it.cut_answers(CUT_AFTER_BYTES),
        lambda it: it.cut_short > 0,
    ),
    LinkRow("links cut", Relay.cut, lambda it: it.broken > 0),
)


class AnswersTest(ClusterTestCase):
    cluster_type = RelayedCluster

    def test_each_caller_gets_its_own_answer(self) -> None:
        for row in ROWS:
            with self.subTest(row.name):
                self._run(row)

    def _run(self, row: LinkRow) -> None:
        assert isinstance(self.cluster, RelayedCluster)
        relays = list(self.cluster.relays.values())
        observation = Observation(self.cluster, row.name)
        try:
            observation.load.await_progress()
            first = len(observation.history.requests)
            for relay in relays:
                relay.reset_counts()
                row.fault(relay)
            await_state("the fault takes hold", lambda: any(row.evidence(it) for it in relays))
            self._await_failures(observation, first)
            for relay in relays:
                relay.mend()
            observation.load.await_progress()
        finally:
            for relay in relays:
                relay.mend()
            history = observation.finish()
        self.allow_for_the_machine(history)
        self.check_promises(history)

    def _await_failures(self, observation: Observation, first: int) -> None:
        """Lets the fault last until some requests have not succeeded under it."""
        requests = observation.history.requests
        await_state(
            "requests fail",
            lambda: any(it.code is not None for it in list(requests)[first:]),
        )
