"""Membership and spread under faults: after each, all hold the same members and configuration."""

import unittest
from collections.abc import Callable

from dewledge.core.proxy.configuration.configuration import ChangeSet, Configuration
from dewledge.core.proxy.configuration.resources import Kind, ProxySpec, Resource
from tests.core.proxy.membership.hollow_cluster import HollowCluster
from tests.core.proxy.membership.hollow_network import NetworkFaults

SIZE = 18
SEEDS = (1, 2, 3)
SETTLE = 60.0
"""Simulated seconds within which a disturbed cluster agrees again."""

ABSENT_SEED = "10.9.9.9:7002"


def change(revision: int) -> ChangeSet:
    item = Resource(Kind.PROXY, "r", (("revision", str(revision)),), ProxySpec())
    return ChangeSet(revision, f"change-{revision}", "operator", (item,))


def accept_next(cluster: HollowCluster, index: int = 0) -> None:
    name = cluster.names[index]
    cluster.accept_change(name, change(cluster.node(name).revision + 1))


def nothing(cluster: HollowCluster) -> None:
    accept_next(cluster)


def lost(cluster: HollowCluster) -> None:
    cluster.network.faults = NetworkFaults(loss=0.1)
    accept_next(cluster)
    cluster.run(60.0)
    cluster.network.faults = NetworkFaults()


def delayed_doubled_and_reordered(cluster: HollowCluster) -> None:
    cluster.network.faults = NetworkFaults(duplicate=0.3, late=0.3, extra_delay=0.25)
    for _ in range(3):
        accept_next(cluster)
        cluster.run(0.01)
    cluster.run(60.0)


def killed(cluster: HollowCluster) -> None:
    cluster.kill(cluster.names[-1])
    accept_next(cluster)


def three_killed_under_loss(cluster: HollowCluster) -> None:
    cluster.network.faults = NetworkFaults(loss=0.05)
    for name in cluster.names[-3:]:
        cluster.kill(name)
    accept_next(cluster)
    cluster.run(20.0)
    cluster.network.faults = NetworkFaults()


def killed_and_restarted(cluster: HollowCluster) -> None:
    name = cluster.names[-1]
    cluster.kill(name)
    cluster.run(2.0)
    cluster.restart(name)


def restarted_with_an_old_configuration(cluster: HollowCluster) -> None:
    name = cluster.names[-1]
    old = cluster.node(name).spread.configuration
    cluster.kill(name)
    for _ in range(3):
        accept_next(cluster)
    cluster.run(30.0)
    cluster.restart(name, old)


def frozen_and_thawed(cluster: HollowCluster) -> None:
    name = cluster.names[-1]
    cluster.freeze(name)
    cluster.run(1.0)
    accept_next(cluster)
    cluster.run(40.0)
    cluster.thaw(name)


def joined_through_a_stale_list(cluster: HollowCluster) -> None:
    live = cluster.nodes[0].membership.me.gossip_address
    cluster.add(SIZE, (ABSENT_SEED, "10.9.9.8:7002", live))


def regions_cut_and_rejoined(cluster: HollowCluster) -> None:
    cluster.network.regions_are_cut = True
    accept_next(cluster)
    cluster.run(60.0)
    cluster.network.regions_are_cut = False


def regions_cut_for_a_moment(cluster: HollowCluster) -> None:
    cluster.network.regions_are_cut = True
    cluster.run(4.0)
    accept_next(cluster)
    cluster.network.regions_are_cut = False


def zone_lost(cluster: HollowCluster) -> None:
    for node in [item for item in cluster.nodes if item.place.zone == "south-2"]:
        cluster.kill(node.name)
    accept_next(cluster)


def planned_stop(cluster: HollowCluster) -> None:
    name = cluster.names[-1]
    cluster.leave(name)
    cluster.run(3.0)
    cluster.stop(name)


FAULTS: dict[str, Callable[[HollowCluster], None]] = {
    fault.__name__: fault
    for fault in (
        nothing,
        lost,
        delayed_doubled_and_reordered,
        killed,
        three_killed_under_loss,
        killed_and_restarted,
        restarted_with_an_old_configuration,
        frozen_and_thawed,
        joined_through_a_stale_list,
        regions_cut_and_rejoined,
        regions_cut_for_a_moment,
        zone_lost,
        planned_stop,
    )
}

NOBODY_DIES = ("nothing", "lost", "delayed_doubled_and_reordered", "planned_stop")
"""Faults during which no member may be declared dead."""


def new_cluster(seed: int) -> HollowCluster:
    cluster = HollowCluster(SIZE, seed)
    cluster.start_by_joining(Configuration(1, ()))
    cluster.run(20.0)
    return cluster


def disagreements(cluster: HollowCluster) -> list[str]:
    """Returns what differs from one view of members and one configuration."""
    expected = sorted(cluster.names)
    newest = max(node.revision for node in cluster.nodes)
    found = []
    for node in cluster.nodes:
        held = [member.name for member in node.membership.members]
        if held != expected:
            found.append(f"{node.name} holds {len(held)} members, not {len(expected)}")
        if node.revision != newest:
            found.append(f"{node.name} is at revision {node.revision}, not {newest}")
    return found


class FaultTest(unittest.TestCase):
    def test_all_agree_after_each_fault(self) -> None:
        for name, fault in FAULTS.items():
            for seed in SEEDS:
                with self.subTest(fault=name, seed=seed):
                    cluster = new_cluster(seed)
                    self.assertEqual(disagreements(cluster), [])
                    fault(cluster)
                    cluster.run(SETTLE)
                    self.assertEqual(disagreements(cluster), [], f"fault={name} seed={seed}")
                    if name in NOBODY_DIES:
                        dead = sum(node.log_counts.get("member_dead", 0) for node in cluster.nodes)
                        self.assertEqual(dead, 0, f"fault={name} seed={seed}")

    def test_a_thawed_process_declares_nobody_dead_and_does_not_serve_at_once(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = new_cluster(seed)
                name = cluster.names[3]
                cluster.freeze(name)
                cluster.run(30.0)
                cluster.thaw(name)
                node = cluster.node(name)
                self.assertFalse(node.guard.may_serve(cluster.now))
                cluster.run(30.0)
                self.assertTrue(node.guard.may_serve(cluster.now))
                self.assertEqual(node.log_counts.get("member_dead", 0), 0, f"seed={seed}")
                self.assertEqual(len(node.membership.members), SIZE)

    def test_only_the_greater_part_serves_without_the_store(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = new_cluster(seed)
                lone = cluster.names[0]
                for name in cluster.names[1:]:
                    if cluster.node(name).place.region == "north":
                        cluster.kill(name)
                cluster.network.regions_are_cut = True
                cluster.run(15.0)
                self.assertFalse(cluster.node(lone).guard.may_serve(cluster.now), f"seed={seed}")

    def test_a_run_follows_from_its_seed(self) -> None:
        def run() -> list[int]:
            cluster = new_cluster(7)
            regions_cut_for_a_moment(cluster)
            cluster.run(10.0)
            return [node.traffic.bytes_sent for node in cluster.nodes]

        self.assertEqual(run(), run())
