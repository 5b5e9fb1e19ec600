"""A database that missed a change of the primary is not promoted while a newer log may return."""

import time

from tests.platform.test_pooler_process import PoolerCase
from tests.platform.wire_databases import wait_until


class OlderTermTest(PoolerCase):
    def test_returned_primary_of_an_older_term_does_not_replace_a_silent_one(self) -> None:
        """Guards against a failover that drops the newest term and restores a rolled-back one."""
        group = self.group.databases
        client = self.client("orders")
        client.ask("WRITE fish v1")
        group["south"].receives = False
        client.ask("WRITE fish rolled-back")
        group["middle"].receives = False
        client.ask("WRITE fish rolled-back-too")

        def is_written() -> bool:
            return client.ask("WRITE fish v2")[0].startswith("DATAROW")

        group["north"].crash()
        self.assertTrue(wait_until(is_written, 8.0))
        self.assertTrue(group["middle"].leads)
        group["south"].crash()
        group["middle"].fall_silent()
        group["north"].come_back()
        end = time.monotonic() + 4.0
        while time.monotonic() < end:
            client.ask("READ fish")
        self.assertFalse(group["north"].leads)
        group["middle"].wake()
        reader = self.client("orders", 1)
        self.assertTrue(wait_until(lambda: reader.ask("READ fish")[0] == "DATAROW v2", 8.0))
        self.assertTrue(group["middle"].leads)
