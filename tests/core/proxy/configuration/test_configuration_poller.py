"""The contract of polling: who polls, how a newcomer starts, never backwards, bounded traffic."""

import unittest

from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.configuration.acceptance import AcceptanceSettings, ConfigurationAcceptance
from dewledge.core.proxy.configuration.codec import (
    decode_change,
    decode_content,
    decode_snapshot,
    encode_snapshot,
)
from dewledge.core.proxy.configuration.configuration import EMPTY_CONFIGURATION, Configuration
from dewledge.core.proxy.configuration.poller import (
    ConfigurationPoller,
    PollerSettings,
    rank_pollers,
)
from dewledge.core.proxy.configuration.resources import GroupSpec, Kind, Resource
from dewledge.core.proxy.configuration.store import (
    SNAPSHOT_KEY,
    SNAPSHOT_SLOTS,
    ConfigurationLearned,
    GetObject,
    HeadRow,
    ProposalFinished,
    ProposedChange,
    PutObject,
    ReadRow,
    StoreReached,
    Transact,
    revision_key,
    snapshot_object,
)
from tests.core.proxy.configuration.store_harness import Cluster, Fault

SETTINGS = PollerSettings()
IN_FORCE_WITHIN = 6.0


def fill(cluster: Cluster, count: int) -> None:
    machine = ConfigurationAcceptance(AcceptanceSettings(), cluster.random)
    cluster.machines["operator"] = machine
    first = cluster.store.head()
    for number in range(first, first + count):
        resource = Resource(Kind.GROUP, f"group-{number}", (), GroupSpec())
        proposal = ProposedChange(f"c{number}", "ama", None, (resource,))
        effects = machine.propose(proposal, EMPTY_CONFIGURATION, cluster.now)
        cluster.carry_out("operator", effects)
        cluster.run(cluster.now + 0.2)
    done = [item.outcome for item in cluster.effects(ProposalFinished)]
    assert done == [Outcome.DONE] * (first + count), done


def poller(cluster: Cluster, name: str, expects_peers: bool = False) -> ConfigurationPoller:
    machine = ConfigurationPoller(name, SETTINGS, cluster.random)
    cluster.machines[name] = machine
    cluster.carry_out(name, machine.start(expects_peers, cluster.now))
    return machine


class RankingTest(unittest.TestCase):
    def test_all_agree_and_a_departure_moves_only_its_place(self) -> None:
        members = [f"proxy-{number}" for number in range(850)]
        ranked = rank_pollers(members, 4)
        self.assertEqual(rank_pollers(reversed(members), 4), ranked)
        left = [name for name in members if name != ranked[0]]
        self.assertEqual(rank_pollers(left, 3), ranked[1:])


class NewcomerTest(unittest.TestCase):
    def test_starts_from_rows_or_snapshot_and_learns_the_same(self) -> None:
        for count in (0, 1, 5, 32, 33, 70):
            with self.subTest(count=count):
                cluster = Cluster()
                fill(cluster, count)
                poller(cluster, "proxy-1")  # writes the snapshot when one is due
                cluster.run(cluster.now + 5.0)
                newcomer = poller(cluster, "proxy-2")
                cluster.run(cluster.now + 5.0)
                self.assertTrue(newcomer.is_started)
                learned = [e for name, e in cluster.seen if name == "proxy-2"]
                learned = [e for e in learned if isinstance(e, ConfigurationLearned)]
                self.assertEqual(len(learned), 1 if count else 0)
                if count:
                    expected = cluster.store.configuration()
                    self.assertEqual(learned[0].configuration.revision, count)
                    self.assertEqual(learned[0].configuration.resources, expected.resources)
                self.assertEqual(bool(cluster.store.objects), count >= SETTINGS.snapshot_every)

    def test_one_with_peers_asks_the_store_only_if_they_stay_silent(self) -> None:
        for peers_answer in (True, False):
            with self.subTest(peers_answer=peers_answer):
                cluster = Cluster()
                fill(cluster, 2)
                calls = cluster.store.calls
                machine = poller(cluster, "newcomer", expects_peers=True)
                machine.set_members([f"proxy-{number}" for number in range(100)], cluster.now)
                self.assertFalse(machine.is_poller)
                if peers_answer:
                    machine.note_configuration(cluster.store.configuration())
                cluster.run(cluster.now + 10.0)
                self.assertTrue(machine.is_started)
                self.assertEqual(cluster.store.calls > calls, not peers_answer)


class SnapshotSlotTest(unittest.TestCase):
    def test_snapshots_stay_bounded_and_the_newest_is_found(self) -> None:
        cluster = Cluster()
        poller(cluster, "proxy-1")
        for _ in range(SNAPSHOT_SLOTS + 2):
            fill(cluster, SETTINGS.snapshot_every)
            cluster.run(cluster.now + 5.0)
        self.assertEqual(len(cluster.store.objects), SNAPSHOT_SLOTS)
        newest = decode_snapshot(cluster.store.objects[newest_snapshot(cluster)])
        self.assertGreater(newest.revision, cluster.store.head() - SETTINGS.snapshot_every)

    def test_what_a_thawed_proxy_left_in_a_slot_is_taken_for_what_it_is(self) -> None:
        """Whatever the slot of the newest snapshot holds, a newcomer learns the same."""
        cluster = Cluster()
        poller(cluster, "proxy-1")
        fill(cluster, 40)
        cluster.run(cluster.now + 5.0)
        older = Configuration(0, ())
        for revision in range(1, 4):
            row = cluster.store.rows[revision_key(revision)]
            older = older.with_change(decode_change(row.value))
        name = newest_snapshot(cluster)
        newer = cluster.store.configuration()
        for found in (encode_snapshot(older), encode_snapshot(newer), None):
            with self.subTest(found=found and len(found)):
                if found is None:
                    del cluster.store.objects[name]
                else:
                    cluster.store.objects[name] = found
                newcomer = f"newcomer-{found and len(found)}"
                poller(cluster, newcomer)
                cluster.run(cluster.now + 5.0)
                learned = [e for who, e in cluster.seen if who == newcomer]
                (last,) = [e for e in learned if isinstance(e, ConfigurationLearned)]
                self.assertEqual(last.configuration.revision, newer.revision)
                self.assertEqual(last.configuration.resources, newer.resources)


def newest_snapshot(cluster: Cluster) -> str:
    """Returns the name of the object that the snapshot row points to."""
    row = decode_content(cluster.store.rows[SNAPSHOT_KEY].value, HeadRow)
    return snapshot_object(row.revision)


class FaultTest(unittest.TestCase):
    def test_an_accepted_change_is_learned_soon_whatever_one_call_does(self) -> None:
        for operation in (ReadRow, GetObject, Transact, PutObject):
            for fault in Fault:
                for seed in range(5):
                    with self.subTest(operation=operation, fault=fault, seed=seed):
                        self.check_fault(operation, fault, seed)

    def check_fault(self, operation: type, fault: Fault, seed: int) -> None:
        filling = Cluster()
        fill(filling, 40)
        cluster = Cluster({(operation, number): fault for number in (1, 2)}, seed)
        cluster.store.rows.update(filling.store.rows)
        machine = poller(cluster, "proxy-1")
        cluster.run(4 * IN_FORCE_WITHIN)
        self.assertTrue(machine.is_started)
        (learned,) = cluster.effects(ConfigurationLearned)
        self.assertEqual(learned.configuration.revision, 40)
        told = [
            type(effect)
            for _, effect in cluster.seen
            if isinstance(effect, ConfigurationLearned | StoreReached)
        ]
        self.assertIs(told[0], ConfigurationLearned, "up to date before it has caught up")

    def test_polling_goes_on_through_an_outage_and_recovers(self) -> None:
        cluster = Cluster()
        poller(cluster, "proxy-1")
        cluster.run(10.0)
        cluster.store.is_down = True
        calls = cluster.store.calls
        cluster.run(3610.0)
        self.assertLess(cluster.store.calls - calls, 3600 * 3)
        cluster.store.is_down = False
        fill(cluster, 1)
        cluster.run(cluster.now + SETTINGS.max_interval + SETTINGS.bound)
        self.assertEqual(cluster.effects(ConfigurationLearned)[-1].configuration.revision, 1)

    def test_an_older_store_is_never_learned(self) -> None:
        cluster = Cluster()
        fill(cluster, 3)
        machine = poller(cluster, "proxy-1")
        machine.note_configuration(Configuration(9, ()))
        cluster.run(60.0)
        self.assertEqual(cluster.effects(ConfigurationLearned), [])


class TrafficTest(unittest.TestCase):
    def test_few_poll_and_a_successor_takes_over(self) -> None:
        cluster = Cluster()
        names = [f"proxy-{number}" for number in range(60)]
        for name in names:
            machine = poller(cluster, name, expects_peers=True)
            cluster.carry_out(name, machine.set_members(names, cluster.now))
            machine.note_configuration(Configuration(1, ()))
        cluster.run(100.0)
        reached = {name for name, effect in cluster.seen if isinstance(effect, StoreReached)}
        self.assertEqual(reached, set(rank_pollers(names, SETTINGS.pollers)))
        self.assertLessEqual(cluster.store.calls, SETTINGS.pollers * 100 / SETTINGS.interval)
        dead = rank_pollers(names, 1)[0]
        cluster.kill(dead)
        cluster.seen.clear()
        left = [name for name in names if name != dead]
        for name in left:
            cluster.carry_out(name, cluster.machines[name].set_members(left, cluster.now))
        cluster.run(110.0)
        reached = {name for name, effect in cluster.seen if isinstance(effect, StoreReached)}
        self.assertEqual(reached, set(rank_pollers(left, SETTINGS.pollers)))


if __name__ == "__main__":
    unittest.main()
