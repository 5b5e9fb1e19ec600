"""The contract of accepting changes, under faults of the store, singly, together and twice."""

import unittest
from collections.abc import Mapping
from random import Random

from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.configuration.acceptance import AcceptanceSettings, ConfigurationAcceptance
from dewledge.core.proxy.configuration.configuration import (
    EMPTY_CONFIGURATION,
    Configuration,
    ResourceKey,
)
from dewledge.core.proxy.configuration.resources import DatabaseSpec, GroupSpec, Kind, Resource
from dewledge.core.proxy.configuration.store import (
    ChangeLookedUp,
    ConfigurationLearned,
    LabelChange,
    ProposalFinished,
    ProposedChange,
    ReadRow,
    Transact,
)
from dewledge.errors import ErrorCode
from tests.core.proxy.configuration.store_harness import Cluster, Fault

DONE, NOT_RUN, UNKNOWN = Outcome.DONE, Outcome.NOT_RUN, Outcome.UNKNOWN
SEEDS = range(150)
LONG = 60.0


def group(name: str, **labels: str) -> Resource:
    return Resource(Kind.GROUP, name, tuple(sorted(labels.items())), GroupSpec())


def change(change_id: str, author: str = "ama", base: int | None = None) -> ProposedChange:
    return ProposedChange(change_id, author, base, (group(f"group-{change_id}"),))


def acceptance(cluster: Cluster, name: str) -> ConfigurationAcceptance:
    machine = ConfigurationAcceptance(AcceptanceSettings(), cluster.random)
    cluster.machines[name] = machine
    return machine


def propose(
    cluster: Cluster, name: str, proposal: ProposedChange, known: Configuration | None = None
) -> None:
    machine = cluster.machines.get(name) or acceptance(cluster, name)
    effects = machine.propose(proposal, known or EMPTY_CONFIGURATION, cluster.now)
    cluster.carry_out(name, effects)


def finished(cluster: Cluster) -> dict[str, ProposalFinished]:
    return {effect.change_id: effect for effect in cluster.effects(ProposalFinished)}


TRANSACT_1, TRANSACT_2 = (Transact, 1), (Transact, 2)
READ_1, READ_2, READ_3 = (ReadRow, 1), (ReadRow, 2), (ReadRow, 3)

# name, faults by call, expected outcome, does the change stand in the end
FAULT_TABLE: list[tuple[str, dict[tuple[type, int], Fault], Outcome, bool]] = [
    ("no fault", {}, DONE, True),
    ("head read down", {READ_1: Fault.DOWN}, DONE, True),
    ("head read lost", {READ_1: Fault.LOST_AFTER}, DONE, True),
    ("change read down twice", {READ_2: Fault.DOWN, READ_3: Fault.DOWN}, DONE, True),
    ("change read rate limited", {READ_2: Fault.RATE_LIMITED}, DONE, True),
    ("change read never reported", {READ_2: Fault.SILENT}, DONE, True),
    ("transaction refused", {TRANSACT_1: Fault.DOWN}, DONE, True),
    ("transaction refused twice", {TRANSACT_1: Fault.DOWN, TRANSACT_2: Fault.DOWN}, DONE, True),
    ("transaction rate limited", {TRANSACT_1: Fault.RATE_LIMITED}, DONE, True),
    ("transaction slow", {TRANSACT_1: Fault.SLOW}, DONE, True),
    ("answer lost, no effect", {TRANSACT_1: Fault.LOST_BEFORE}, DONE, True),
    ("answer lost after effect", {TRANSACT_1: Fault.LOST_AFTER}, DONE, True),
    ("answer never reported", {TRANSACT_1: Fault.SILENT}, DONE, True),
    ("effect comes late", {TRANSACT_1: Fault.LATE}, DONE, True),
    (
        "lost twice, first with effect",
        {TRANSACT_1: Fault.LOST_AFTER, TRANSACT_2: Fault.LOST_AFTER},
        DONE,
        True,
    ),
    (
        "lost, then read-back down and rate limited",
        {TRANSACT_1: Fault.LOST_AFTER, READ_3: Fault.DOWN, (ReadRow, 4): Fault.RATE_LIMITED},
        DONE,
        True,
    ),
    (
        "late, then lost before",
        {TRANSACT_1: Fault.LATE, TRANSACT_2: Fault.LOST_BEFORE},
        DONE,
        True,
    ),
    (
        "store down for the whole bound",
        {(ReadRow, number): Fault.DOWN for number in range(1, 200)},
        NOT_RUN,
        False,
    ),
    (
        "transactions down for the whole bound",
        {(Transact, number): Fault.DOWN for number in range(1, 200)},
        NOT_RUN,
        False,
    ),
    (
        "first lost with effect, then nothing but silence",
        {
            TRANSACT_1: Fault.LOST_AFTER,
            **{(Transact, number): Fault.LOST_BEFORE for number in range(2, 200)},
        },
        UNKNOWN,
        True,
    ),
    (
        "every answer lost, no effect",
        {(Transact, number): Fault.LOST_BEFORE for number in range(1, 200)},
        UNKNOWN,
        False,
    ),
    (
        "effect, then the read-back down for good",
        {
            TRANSACT_1: Fault.LOST_AFTER,
            **{(ReadRow, number): Fault.DOWN for number in range(3, 200)},
        },
        UNKNOWN,
        True,
    ),
]


class FaultTableTest(unittest.TestCase):
    def test_each_fault(self) -> None:
        for name, faults, outcome, stands in FAULT_TABLE:
            for seed in range(5):
                with self.subTest(name=name, seed=seed):
                    cluster = Cluster(faults, seed)
                    propose(cluster, "proxy-1", change("c1"))
                    cluster.run(LONG)
                    self.assertEqual(len(cluster.effects(ProposalFinished)), 1)
                    result = finished(cluster)["c1"]
                    self.assertEqual(result.outcome, outcome)
                    self.assertEqual(cluster.store.change("c1") is not None, stands)
                    self.assertEqual(cluster.store.head(), 1 if stands else 0)
                    if outcome is DONE:
                        self.assertEqual(result.revision, 1)

    def test_every_proposal_ends_within_its_bound(self) -> None:
        silence: Mapping[tuple[type, int], Fault] = {
            (kind, number): Fault.SILENT for kind in (ReadRow, Transact) for number in range(200)
        }
        cluster = Cluster(silence)
        propose(cluster, "proxy-1", change("c1"))
        propose(cluster, "proxy-1", change("c2"))
        cluster.run(AcceptanceSettings().proposal_bound + 2.0)
        self.assertEqual(set(finished(cluster)), {"c1", "c2"})
        self.assertIsNone(cluster.machines["proxy-1"].next_wake())


class TwoOperatorsTest(unittest.TestCase):
    def test_of_two_at_once_one_wins_and_the_other_is_told_who(self) -> None:
        for faults in ({}, {TRANSACT_1: Fault.LOST_AFTER}, {TRANSACT_2: Fault.LOST_AFTER}):
            for seed in SEEDS:
                with self.subTest(faults=faults, seed=seed):
                    cluster = Cluster(faults, seed)
                    propose(cluster, "proxy-1", change("c1", "ama", base=0))
                    propose(cluster, "proxy-2", change("c2", "kofi", base=0))
                    cluster.run(LONG)
                    results = sorted(finished(cluster).values(), key=lambda item: item.outcome)
                    winner, loser = results
                    self.assertEqual((winner.outcome, loser.outcome), (DONE, NOT_RUN))
                    self.assertEqual(loser.code, ErrorCode.REVISION_CONFLICT)
                    self.assertEqual(loser.winner, winner.change)
                    self.assertIsNone(cluster.store.change(loser.change_id))
                    self.assertEqual(cluster.store.head(), 1)

    def test_a_late_transaction_of_the_loser_changes_nothing(self) -> None:
        cluster = Cluster({TRANSACT_1: Fault.LATE})
        propose(cluster, "proxy-1", change("c1", base=0))
        cluster.at(1.0, lambda: propose(cluster, "proxy-2", change("c2", "kofi", base=0)))
        cluster.run(LONG)
        self.assertEqual(finished(cluster)["c2"].outcome, DONE)
        self.assertEqual(finished(cluster)["c1"].outcome, NOT_RUN)
        self.assertIsNone(cluster.store.change("c1"))

    def test_changes_without_a_base_follow_each_other(self) -> None:
        cluster = Cluster()
        for number in range(4):
            propose(cluster, "proxy-1", change(f"c{number}"))
        cluster.run(LONG)
        revisions = [finished(cluster)[f"c{number}"].revision for number in range(4)]
        self.assertEqual(revisions, [1, 2, 3, 4])

    def test_labels_are_changed_on_the_newest_resource(self) -> None:
        cluster = Cluster()
        propose(cluster, "proxy-1", ProposedChange("c0", "ama", None, (group("g", zone="a"),)))
        cluster.run(1.0)
        stale = cluster.store.configuration()
        key = ResourceKey(Kind.GROUP, "g")
        first = LabelChange(key, (("tier", "gold"),))
        propose(cluster, "proxy-1", ProposedChange("c1", "ama", None, labels=(first,)))
        cluster.run(2.0)
        second = LabelChange(key, (("team", "permits"),), ("zone",))
        propose(cluster, "proxy-2", ProposedChange("c2", "kofi", None, labels=(second,)), stale)
        cluster.run(3.0)
        labels = cluster.store.configuration().resources[key].labels
        self.assertEqual(labels, (("team", "permits"), ("tier", "gold")))
        learned = cluster.effects(ConfigurationLearned)
        self.assertEqual([item.change_id for item in learned[-1].changes], ["c1"])


class RepeatTest(unittest.TestCase):
    def test_the_same_change_on_two_proxies_takes_effect_once(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = Cluster(seed=seed)
                propose(cluster, "proxy-1", change("c1", base=0))
                propose(cluster, "proxy-2", change("c1", base=0))
                cluster.run(LONG)
                results = cluster.effects(ProposalFinished)
                self.assertEqual([item.outcome for item in results], [DONE, DONE])
                self.assertEqual([item.revision for item in results], [1, 1])
                self.assertEqual(cluster.store.head(), 1)

    def test_a_conflict_that_cannot_be_resolved_is_unknown(self) -> None:
        reads_down = {(ReadRow, number): Fault.DOWN for number in range(5, 200)}
        cluster = Cluster(reads_down)
        propose(cluster, "proxy-1", change("c1"))
        propose(cluster, "proxy-2", change("c1"))
        cluster.run(LONG)
        outcomes = [item.outcome for item in cluster.effects(ProposalFinished)]
        self.assertEqual(outcomes, [DONE, UNKNOWN])

    def test_the_proposer_dies_and_another_proxy_tells_what_became_of_it(self) -> None:
        for moment, stands in ((0.0, False), (0.025, None), (0.1, True)):
            with self.subTest(moment=moment):
                cluster = Cluster()
                propose(cluster, "proxy-1", change("c1"))
                cluster.at(moment, lambda cluster=cluster: cluster.kill("proxy-1"))
                cluster.run(LONG)
                machine = acceptance(cluster, "proxy-2")
                cluster.carry_out("proxy-2", machine.look_up("c1", cluster.now))
                cluster.run(2 * LONG)
                (found,) = cluster.effects(ChangeLookedUp)
                self.assertEqual(found.accepted, cluster.store.change("c1") is not None)
                if stands is not None:
                    self.assertEqual(found.accepted, stands)

    def test_a_look_up_without_the_store_says_so(self) -> None:
        cluster = Cluster()
        cluster.store.is_down = True
        machine = acceptance(cluster, "proxy-1")
        cluster.carry_out("proxy-1", machine.look_up("c1", cluster.now))
        cluster.run(LONG)
        (found,) = cluster.effects(ChangeLookedUp)
        self.assertIsNone(found.accepted)

    def test_an_id_used_for_another_change_is_refused(self) -> None:
        for proposal in (
            change("c1", "kofi"),
            ProposedChange("c1", "ama", None, (group("other"),)),
            ProposedChange("c1", "ama", None, deleted=(ResourceKey(Kind.GROUP, "group-c1"),)),
        ):
            with self.subTest(proposal=proposal):
                cluster = Cluster()
                propose(cluster, "proxy-1", change("c1", "ama"))
                cluster.run(1.0)
                propose(cluster, "proxy-2", proposal)
                cluster.run(LONG)
                result = cluster.effects(ProposalFinished)[-1]
                expected = (NOT_RUN, ErrorCode.IDEMPOTENCY_MISMATCH)
                self.assertEqual((result.outcome, result.code), expected)
                self.assertEqual(cluster.store.head(), 1)

    def test_a_repeated_label_change_is_told_done(self) -> None:
        cluster = Cluster()
        labels = LabelChange(ResourceKey(Kind.GROUP, "group-c0"), (("a", "b"),))
        propose(cluster, "proxy-1", change("c0"))
        cluster.run(1.0)
        for name in ("proxy-1", "proxy-2"):
            propose(cluster, name, ProposedChange("c1", "ama", None, labels=(labels,)))
            cluster.run(cluster.now + 1.0)
        outcomes = [item.revision for item in cluster.effects(ProposalFinished)]
        self.assertEqual(outcomes, [1, 2, 2])


class RefusalTest(unittest.TestCase):
    def test_all_findings_come_together_and_nothing_is_changed(self) -> None:
        cluster = Cluster()
        database = Resource(Kind.DATABASE, "d", (), DatabaseSpec("none", "x:1", "accra"))
        missing = ResourceKey(Kind.RULE, "missing")
        labels = LabelChange(ResourceKey(Kind.GROUP, "g"), (("a", "b"),), ("a",))
        proposal = ProposedChange("c1", "ama", None, (database, database), (missing,), (labels,))
        propose(cluster, "proxy-1", proposal)
        cluster.run(LONG)
        result = finished(cluster)["c1"]
        codes = {finding.code for finding in result.findings}
        expected = {
            ErrorCode.DUPLICATE_NAME,
            ErrorCode.NOT_FOUND,
            ErrorCode.INVALID_RESOURCE,
            ErrorCode.DANGLING_REFERENCE,
            ErrorCode.MALFORMED_REQUEST,
        }
        self.assertEqual((result.outcome, codes), (NOT_RUN, expected))
        self.assertEqual(cluster.store.rows, {})

    def test_a_store_behind_this_proxy_is_not_written_to(self) -> None:
        cluster = Cluster()
        known = Configuration(7, ())
        propose(cluster, "proxy-1", change("c1"), known)
        cluster.run(LONG)
        result = finished(cluster)["c1"]
        self.assertEqual((result.outcome, result.code), (NOT_RUN, ErrorCode.STORE_UNAVAILABLE))
        self.assertEqual(cluster.store.head(), 0)

    def test_too_many_waiting_are_refused_at_once(self) -> None:
        cluster = Cluster()
        for number in range(AcceptanceSettings().max_pending + 2):
            propose(cluster, "proxy-1", change(f"c{number}"))
        refused = finished(cluster).values()
        self.assertEqual([item.code for item in refused], [ErrorCode.OVERLOADED])


class SeededFaultsTest(unittest.TestCase):
    """Random faults, proposers that die, three proxies at once: the promises hold."""

    def test_each_answer_is_true(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check_seed(seed)

    def check_seed(self, seed: int) -> None:
        random = Random(seed)
        kinds = (ReadRow, Transact)
        faults = {
            (random.choice(kinds), random.randint(1, 30)): random.choice(list(Fault))
            for _ in range(random.randint(0, 12))
        }
        cluster = Cluster(faults, seed)
        names = ["proxy-1", "proxy-2", "proxy-3"]
        for number in range(8):
            proposal = change(f"c{number}", base=random.choice([None, None, number // 2]))
            name = random.choice(names)
            cluster.at(random.uniform(0, 4), lambda p=proposal, n=name: propose(cluster, n, p))
        if random.random() < 0.3:
            cluster.at(2.0, lambda: cluster.machines.pop("proxy-1", None))
        cluster.run(LONG)
        for result in cluster.effects(ProposalFinished):
            stored = cluster.store.change(result.change_id)
            if result.outcome is DONE:
                self.assertEqual(stored, result.change)
            if result.outcome is NOT_RUN:
                self.assertIsNone(stored, result)
        configuration = cluster.store.configuration()
        self.assertEqual(configuration.revision, len(configuration.resources))


if __name__ == "__main__":
    unittest.main()
