"""Faults under load: what callers were told, judged by every checker against the databases."""

from collections.abc import Callable

import msgspec

from dewledge.standin.group_types import ActivityKind, LagStage
from dewledge.standin.platform_server import PlatformFaults
from tests.process_cluster import await_state
from tests.processes.observed_cluster import ClusterTestCase, Observation

LOST_ANSWERS = 30
LAG_SECONDS = 0.5
FAR_BEHIND = 10

Step = Callable[[Observation], None]
Evidence = Callable[[Observation], bool]


class FaultRow(msgspec.Struct, frozen=True):
    """A fault under load. evidence: what shows that it took hold."""

    name: str
    fault: Step
    evidence: Evidence


def _cut_primary(observation: Observation) -> None:
    cluster = observation.cluster
    old = cluster.current_primary()
    cluster.group_client.cut_off(old)
    cluster.await_new_primary(old)


def _cut_primary_and_its_callers(observation: Observation) -> None:
    cluster = observation.cluster
    old = cluster.current_primary()
    cluster.group_client.cut_off(old, from_callers=True)
    cluster.await_new_primary(old)


def _freeze_primary(observation: Observation) -> None:
    cluster = observation.cluster
    old = cluster.current_primary()
    cluster.group_client.freeze(old)
    cluster.await_new_primary(old)
    observation.load.await_progress()
    cluster.group_client.thaw(old)


def _kill_primary(observation: Observation) -> None:
    cluster = observation.cluster
    old = cluster.current_primary()
    cluster.group_client.kill(old)
    cluster.await_new_primary(old)
    cluster.group_client.restart(old)


def _freeze_gateway_over_failover(observation: Observation) -> None:
    cluster = observation.cluster
    old = cluster.current_primary()
    cluster.freeze_proxy(cluster.gateway_of(old))
    cluster.group_client.cut_off(old)
    cluster.await_new_primary(old)
    observation.load.await_progress()
    cluster.thaw_proxies()


def _kill_gateway_in_failover(observation: Observation) -> None:
    cluster = observation.cluster
    old = cluster.current_primary()
    cluster.group_client.cut_off(old)
    cluster.kill_proxy(cluster.gateway_of(old))
    cluster.await_new_primary(old)
    cluster.add_proxy()


def _fail_over_twice(observation: Observation) -> None:
    cluster = observation.cluster
    for _ in range(2):
        _cut_primary(observation)
        cluster.heal_group()


def _lose_answers(observation: Observation) -> None:
    cluster = observation.cluster
    cluster.group_client.lose_answers(cluster.current_primary(), LOST_ANSWERS)


def _reset_connections(observation: Observation) -> None:
    cluster = observation.cluster
    for database in cluster.deployment.databases_of(cluster.group):
        cluster.group_client.reset(database)


def _apply_late(observation: Observation) -> None:
    cluster = observation.cluster
    for database in _replicas(observation):
        cluster.group_client.lag(database, LAG_SECONDS, LagStage.APPLY)
    await_state("a replica is behind", lambda: _is_behind(observation))


def _receive_late(observation: Observation) -> None:
    """One replica only: a write waits until a majority has received it."""
    cluster = observation.cluster
    cluster.group_client.lag(_replicas(observation)[0], LAG_SECONDS, LagStage.RECEIVE)
    await_state("a replica is behind", lambda: _is_behind(observation))


def _replicas(observation: Observation) -> list[str]:
    primary = observation.cluster.current_primary()
    names = observation.cluster.deployment.databases_of(observation.cluster.group)
    return [name for name in names if name != primary]


def _is_behind(observation: Observation) -> bool:
    applied = [it.applied.offset for it in observation.cluster.group_client.statuses()]
    return max(applied) - min(applied) > FAR_BEHIND


def _store_down_and_failover(observation: Observation) -> None:
    observation.cluster.platform.set_faults(PlatformFaults(down=True))
    _cut_primary(observation)


def _primary_changed(observation: Observation) -> bool:
    return observation.observer.elections > 0


def _branch_was_lost(observation: Observation) -> bool:
    return any(not commit.survives for commit in observation.history.commits)


def _repeat_was_recognised(observation: Observation) -> bool:
    return any(request.repeated for request in observation.history.requests)


def _connections_were_opened(observation: Observation) -> bool:
    began = observation.history.requests[0].sent_at
    activity = observation.cluster.group_client.activity()
    return any(it.kind is ActivityKind.OPEN and it.time > began for it in activity)


def _served(observation: Observation) -> bool:
    return bool(observation.load.done())


ROWS = (
    FaultRow("primary cut off from its group, not from callers", _cut_primary, _branch_was_lost),
    FaultRow("primary cut off from all", _cut_primary_and_its_callers, _primary_changed),
    FaultRow("primary frozen, thawed after its successor", _freeze_primary, _primary_changed),
    FaultRow("primary killed and restarted", _kill_primary, _primary_changed),
    FaultRow("gateway frozen over a failover", _freeze_gateway_over_failover, _primary_changed),
    FaultRow("gateway killed in a failover", _kill_gateway_in_failover, _primary_changed),
    FaultRow("two failovers", _fail_over_twice, lambda it: it.observer.elections > 1),
    FaultRow("answers lost after taking effect", _lose_answers, _repeat_was_recognised),
    FaultRow("all database connections reset", _reset_connections, _connections_were_opened),
    FaultRow("one replica receives late", _receive_late, _served),
    FaultRow("all replicas apply late", _apply_late, _served),
    FaultRow("store down and primary cut off", _store_down_and_failover, _primary_changed),
)


class FaultsUnderLoadTest(ClusterTestCase):
    def test_callers_are_told_the_truth(self) -> None:
        for row in ROWS:
            with self.subTest(row.name):
                self._run(row)

    def _run(self, row: FaultRow) -> None:
        observation = Observation(self.cluster, row.name)
        try:
            observation.load.await_progress()
            row.fault(observation)
            observation.load.await_progress()
        finally:
            history = observation.finish()
            self.cluster.repair()
        self.check_promises(history)
        self.assertTrue(row.evidence(observation), "the fault left no trace")
