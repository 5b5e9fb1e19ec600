"""Whole processes beside a store that comes back from an older copy, where nothing fences."""

import threading
import time

from dewledge.shell.pooler.pooler_process import PoolerProcess
from tests.platform.table_store import StoreCopy
from tests.platform.test_pooler_process import PoolerCase
from tests.platform.wire_databases import WireClient, wait_until

CLAIM = ("dewledge", "claim/menus")
REWRITE_SECONDS = 1.2
"""Seconds after a restore until the databases have written their entries again."""


class StoreRestoreTest(PoolerCase):
    """Guards against a second primary that a process promotes by an older copy of the store."""

    fences = False
    promote_seconds = 0.3

    def leader(self) -> str:
        """Returns the database that leads the newest term, empty while none leads."""
        leading = [d for d in self.group.databases.values() if d.alive and d.leads]
        return max(leading, key=lambda database: database.applied).name if leading else ""

    def tokens(self) -> list[int]:
        return [token for _, _, _, token in self.store.promotions]

    def write_until_done(self, client: WireClient, text: str, seconds: float = 10.0) -> bool:
        return wait_until(lambda: client.ask(text)[1].startswith("COMPLETE signed."), seconds)

    def write_for(self, client: WireClient, seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            client.ask("WRITE fish v")
            time.sleep(0.02)

    def replace_primary(self) -> None:
        """The first primary drains, is replaced, ends, and its entry goes."""
        first = self.group.databases["north"]
        first.state = "draining"
        first.announce()
        self.assertTrue(wait_until(lambda: self.leader() not in ("", first.name), 8.0))
        time.sleep(1.0)
        first.crash()
        first.leads = False
        self.store.remove("servers", first.name)

    def restore(self, copy: StoreCopy) -> None:
        """The store comes back; operator and databases write again a moment later."""
        self.store.restore(copy)
        self.store.refuse_status = 0
        self.put_configuration()
        end = time.monotonic() + REWRITE_SECONDS
        while time.monotonic() < end:
            # The counter of versions rises with other transactions too.
            self.store.put("other", "row", b"")
            time.sleep(0.1)
        for database in self.group.databases.values():
            if database.alive:
                database.announce()
        self.store.remove("servers", self.group.databases["north"].name)

    def start_during_restore(self, copy: StoreCopy) -> PoolerProcess:
        """Starts a process that reads the copy before the databases have written again."""
        self.store.refuse_status = 503
        added = self.start("node-9")
        time.sleep(0.5)
        restore = threading.Thread(target=self.restore, args=(copy,))
        restore.start()
        self.addCleanup(restore.join)
        self.assertTrue(wait_until(lambda: added.is_ready, 10.0))
        return added

    def test_process_that_starts_beside_a_restored_store_promotes_nothing(self) -> None:
        client = self.client("orders")
        self.assertTrue(self.write_until_done(client, "WRITE fish v0"))
        self.assertTrue(wait_until(lambda: CLAIM in self.store.rows))
        time.sleep(1.0)
        copy = self.store.copy()
        self.replace_primary()
        self.assertTrue(self.write_until_done(client, "WRITE fish v1"))
        leader = self.leader()
        added = self.start_during_restore(copy)
        other = WireClient(added.client_address, "orders", key="test")
        self.addCleanup(other.close)
        beside = threading.Thread(target=self.write_for, args=(client, 4.0))
        beside.start()
        self.assertTrue(self.write_until_done(other, "WRITE fish v2"))
        beside.join()
        self.write_for(client, 3.0)
        self.assertEqual(self.leader(), leader)
        self.assertEqual(self.group.committed_late, [])
        self.assertEqual(self.tokens(), sorted(self.tokens()))

    def test_lost_primary_is_replaced_under_a_higher_token_after_a_restore(self) -> None:
        client = self.client("orders")
        self.assertTrue(self.write_until_done(client, "WRITE fish v0"))
        self.assertTrue(wait_until(lambda: CLAIM in self.store.rows))
        time.sleep(1.0)
        copy = self.store.copy()
        self.replace_primary()
        self.assertTrue(self.write_until_done(client, "WRITE fish v1"))
        self.restore(copy)
        self.write_for(client, 3.0)
        lost = next(d for d in self.group.databases.values() if d.name == self.leader())
        lost.crash()
        lost.leads = False
        self.assertTrue(self.write_until_done(client, "WRITE fish v2", 12.0))
        self.assertEqual(self.tokens(), sorted(self.tokens()))
        self.assertEqual(client.ask("READ fish")[0], "DATAROW v2")

    def test_all_processes_that_restart_during_a_restore_serve_again(self) -> None:
        client = self.client("orders")
        self.assertTrue(self.write_until_done(client, "WRITE fish v0"))
        self.assertTrue(wait_until(lambda: CLAIM in self.store.rows))
        time.sleep(1.0)
        copy = self.store.copy()
        self.replace_primary()
        self.assertTrue(self.write_until_done(client, "WRITE fish v1"))
        for process in self.processes:
            process.leave()
        for process in self.processes:
            self.threads[process].join(10.0)
        self.processes = [self.start_during_restore(copy), self.start("node-1")]
        started_at = time.monotonic()
        again = self.client("orders")
        self.assertTrue(self.write_until_done(again, "WRITE fish v2", 12.0))
        self.assertLess(time.monotonic(), started_at + 12.0)
        self.assertEqual(self.group.committed_late, [])
        self.assertEqual(self.tokens(), sorted(self.tokens()))


class FencedStoreRestoreTest(StoreRestoreTest):
    """Guards against promotions that are refused until lost versions are given out again."""

    fences = True
