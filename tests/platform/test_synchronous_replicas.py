"""With synchronous replicas, a promoted database holds every commit that a client was told of."""

import threading
import time

from tests.platform.test_pooler_process import PoolerCase
from tests.platform.wire_databases import WireClient, WireDatabase, wait_until

FAILOVER_SECONDS = 15.0


class Writer:
    """A client that writes one value after another until it is stopped."""

    def __init__(self, client: WireClient) -> None:
        self._client = client
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.acknowledged: list[str] = []
        self._thread.start()

    def _run(self) -> None:
        number = 0
        while not self._stopped.is_set():
            number += 1
            if self._client.ask(f"WRITE fish v{number}")[0].startswith("DATAROW"):
                self.acknowledged.append(f"v{number}")
            time.sleep(0.002)

    def stop(self) -> None:
        self._stopped.set()
        self._thread.join(10.0)


class SynchronousReplicasCase(PoolerCase):
    synchronous_replicas = 1
    promote_seconds = 0.5

    def setUp(self) -> None:
        super().setUp()
        self.writer = Writer(self.client("orders"))
        self.addCleanup(self.writer.stop)
        self.assertTrue(wait_until(lambda: len(self.writer.acknowledged) > 20))

    def database(self, name: str) -> WireDatabase:
        return next(each for each in self.group.databases.values() if each.name == name)

    def is_known_as_draining(self, name: str) -> bool:
        views = [process._services.groups["menus"].view for process in self.processes]
        return all(view.databases[name].draining for view in views)

    def await_new_primary(self) -> WireDatabase:
        replicas = [self.group.databases[zone] for zone in ("middle", "south")]
        is_led = wait_until(lambda: any(each.leads for each in replicas), FAILOVER_SECONDS)
        self.assertTrue(is_led, "no replica was promoted")
        return next(each for each in replicas if each.leads)

    def assert_holds_all(self, promoted: WireDatabase, acknowledged: list[str]) -> None:
        missing = sorted(set(acknowledged) - set(promoted.log))
        self.assertEqual(missing, [], f"{promoted.name} lacks acknowledged commits")


class PlannedChangeTest(SynchronousReplicasCase):
    def test_candidate_that_stops_receiving_before_its_promotion_lacks_no_commit(self) -> None:
        """Guards against a promotion while the old primary still acknowledges commits."""
        self.group.databases["north"].state = "draining"
        self.group.databases["north"].announce()
        self.assertTrue(wait_until(lambda: bool(self.store.promotions), FAILOVER_SECONDS))
        self.database(self.store.promotions[0][1]).receives = False
        promoted = self.await_new_primary()
        self.assert_holds_all(promoted, list(self.writer.acknowledged))
        before = len(self.writer.acknowledged)
        self.assertTrue(wait_until(lambda: len(self.writer.acknowledged) > before + 5))


class LostPrimaryTest(SynchronousReplicasCase):
    def fall_behind(self, zone: str) -> None:
        """Makes a replica miss the next commits, which the other one acknowledges."""
        self.group.databases[zone].receives = False
        before = len(self.writer.acknowledged)
        self.assertTrue(wait_until(lambda: len(self.writer.acknowledged) > before + 20))

    def test_replica_that_answers_late_is_awaited_if_it_may_hold_more(self) -> None:
        """Guards against a choice without the status of a replica that acknowledged commits."""
        self.fall_behind("south")
        self.group.databases["middle"].status_seconds = 0.7
        acknowledged = list(self.writer.acknowledged)
        self.group.databases["north"].crash()
        self.assert_holds_all(self.await_new_primary(), acknowledged)

    def test_draining_replica_is_promoted_if_it_alone_holds_all_commits(self) -> None:
        """Guards against leaving out a draining replica that acknowledged commits."""
        self.fall_behind("south")
        self.group.databases["middle"].state = "draining"
        self.group.databases["middle"].announce()
        self.assertTrue(wait_until(lambda: self.is_known_as_draining("i-middle")))
        acknowledged = list(self.writer.acknowledged)
        self.group.databases["north"].crash()
        self.assert_holds_all(self.await_new_primary(), acknowledged)


class UnfencedPlannedChangeTest(PlannedChangeTest):
    fences = False


class UnfencedLostPrimaryTest(LostPrimaryTest):
    fences = False
