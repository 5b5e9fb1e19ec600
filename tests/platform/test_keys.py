"""Tenants' keys on the wire: who is let in, what databases are told, where no key is found."""

import io
import socket
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from loguru import logger

from dewledge.core.pooler.rate_limits.limits import RateLimit
from dewledge.errors import ProtocolError
from dewledge.platform.operator_records import hash_api_keys, parse_configuration
from tests.platform.test_pooler_process import PoolerCase
from tests.platform.wire_databases import wait_until

NORTH_KEY, SECOND_KEY, SOUTH_KEY = "k3ynorth0001", "k3ynorth0002", "k3ysouth0003"
WEST_KEY = "k3ywest00004"
CLIENTS = 60
ODD_STARTUPS = (
    b"STARTUP lists",
    b"STARTUP lists ",
    b"STARTUP lists  " + NORTH_KEY.encode(),
    b"STARTUP lists " + NORTH_KEY.encode() + b" more",
    b"STARTUP lists " + NORTH_KEY[:-1].encode(),
    b"STARTUP lists " + NORTH_KEY.upper().encode(),
    b"STARTUP lists \xff\xfe\x00",
    b"STARTUP lists " + b"x" * 100_000,
    b"STARTUP lists north",
    b"STARTUP  " + NORTH_KEY.encode(),
)


def tenant(name: str, *keys: str, rate: float = 500, burst: float = 500) -> dict[str, object]:
    return {"name": name, "apiKeys": list(keys), "priority": 1, "ratePerS": rate, "burst": burst}


class ConfigurationTest(unittest.TestCase):
    VALUE = (
        b'{"version":7,"routes":[],"services":[],"tenants":[{"name":"north",'
        b'"apiKeys":["k3ynorth0001","k3ynorth0002"],"ratePerS":101,"burst":50}]}'
    )

    def test_keys_are_replaced_by_digests_as_soon_as_they_are_read(self) -> None:
        value = hash_api_keys(self.VALUE)
        self.assertNotIn(NORTH_KEY.encode(), value)
        table = parse_configuration(value)
        assert table.callers is not None
        self.assertEqual(set(table.callers.values()), {"north"})
        self.assertEqual(len(table.callers), 2)
        self.assertEqual(table.rate_limits, {"north": RateLimit(101, 50)})

    def test_no_tenants_at_all_and_an_empty_list_are_not_the_same(self) -> None:
        value = b'{"version":7,"routes":[],"services":[]%s}'
        self.assertIsNone(parse_configuration(hash_api_keys(value % b"")).callers)
        self.assertEqual(parse_configuration(hash_api_keys(value % b',"tenants":[]')).callers, {})

    def test_what_cannot_be_read_holds_no_key_and_is_refused(self) -> None:
        for value in (b"", b'["k3ynorth0001"]', b'{"tenants":[{"apiKeys":7}]}', b"k3ynorth0001"):
            with self.subTest(value):
                left = hash_api_keys(value)
                self.assertNotIn(NORTH_KEY.encode(), left)
                with self.assertRaises(ProtocolError):
                    parse_configuration(left)


GUESSERS = 200


class KeysTest(PoolerCase):
    tenants = [tenant("north", NORTH_KEY, SECOND_KEY), tenant("south", SOUTH_KEY)]

    def setUp(self) -> None:
        self.output = io.StringIO()
        sink = logger.add(self.output, level="TRACE", format="{message} {extra}")
        self.addCleanup(logger.remove, sink)
        super().setUp()

    def told(self) -> set[str]:
        return {caller for database in self.group.databases.values() for caller in database.callers}

    def test_a_database_is_told_the_tenant_and_never_the_key(self) -> None:
        for key in (NORTH_KEY, SECOND_KEY, SOUTH_KEY):
            client = self.client("lists", key=key)
            self.assertTrue(wait_until(lambda c=client: "COMPLETE" in c.ask("WRITE fish v")[1]))  # type: ignore[misc]
        self.assertLessEqual({"north", "south"}, self.told())
        self.assertFalse(self.told() & {NORTH_KEY, SECOND_KEY, SOUTH_KEY})

    def test_odd_startups_are_denied_and_the_process_serves_on(self) -> None:
        host, port = self.processes[0].client_address.rsplit(":", 1)
        for line in ODD_STARTUPS:
            with self.subTest(line[:40]), socket.create_connection((host, int(port)), 5) as client:
                client.sendall(line + b"\r\n")
                answer = client.makefile("rb").readline()
                self.assertTrue(answer.startswith((b"ERROR DENIED", b"ERROR NODB")), answer)
                self.assertNotIn(NORTH_KEY.encode(), answer)
        self.assertEqual(self.client("lists", key=NORTH_KEY).greeting, "READY I -")

    def test_many_guesses_at_once_cost_little_and_hold_up_no_client_with_a_key(self) -> None:
        def guess(number: int) -> str:
            return self.client("lists", key=f"guess{number}").greeting

        began = time.monotonic()
        with ThreadPoolExecutor(GUESSERS) as guessers:
            answers = guessers.map(guess, range(GUESSERS))
            asked = time.monotonic()
            self.assertEqual(self.client("lists", key=NORTH_KEY).greeting, "READY I -")
            self.assertLess(time.monotonic() - asked, 1.0)
            for answer in answers:
                self.assertTrue(answer.startswith("ERROR DENIED"), answer)
        self.assertLess(time.monotonic() - began, 5.0)

    def test_a_guesser_that_comes_back_at_once_is_slowed(self) -> None:
        began = time.monotonic()
        for number in range(60):
            self.assertTrue(
                self.client("lists", key=f"guess{number}").greeting.startswith("ERROR DENIED")
            )
        self.assertGreater(time.monotonic() - began, 1.0)

    def test_a_key_taken_away_ends_its_sessions_work_and_no_others(self) -> None:
        gone, kept = self.client("orders", key=NORTH_KEY), self.client("orders", key=SECOND_KEY)
        for client in (gone, kept):
            client.ask("BEGIN")
            self.assertTrue(client.ask("WRITE fish v1")[1].startswith("COMPLETE signed."))
        self.tenants = [tenant("north", SECOND_KEY), tenant("south", SOUTH_KEY)]
        self.put_configuration()
        fresh = lambda: self.client("lists", key=NORTH_KEY).greeting  # noqa: E731
        self.assertTrue(wait_until(lambda: fresh().startswith("ERROR DENIED"), 2.0))
        self.assertTrue(gone.ask("COMMIT")[0].startswith("ERROR ABORTED"))
        self.assertTrue(gone.ask("READ fish")[0].startswith("ERROR DENIED"))
        self.assertIn("COMPLETE signed.", " ".join(kept.ask("COMMIT")))

    def add_small_tenant(self) -> None:
        """One that may ask for five operations a second; both processes know it afterwards."""
        self.tenants = [*self.tenants, tenant("west", WEST_KEY, rate=5, burst=5)]
        self.put_configuration()
        for number in (0, 1):
            self.assertTrue(wait_until(lambda at=number: self.is_let_in(at), 3.0))  # type: ignore[misc]

    def is_let_in(self, number: int) -> bool:
        return self.client("lists", number, WEST_KEY).greeting.startswith("READY")

    def test_beyond_its_limit_a_tenant_is_refused_and_others_are_not(self) -> None:
        self.add_small_tenant()
        clients = [self.client("lists", key=WEST_KEY) for _ in range(CLIENTS)]
        other = self.client("lists", key=SOUTH_KEY)
        with ThreadPoolExecutor(CLIENTS) as threads:
            found = threads.map(lambda client: " ".join(client.ask("WRITE fish v")), clients)
            self.assertIn("COMPLETE", other.ask("WRITE fish v")[1])
            answers = list(found)
        refused = [answer for answer in answers if "ERROR BUSY" in answer]
        served = [answer for answer in answers if "COMPLETE" in answer]
        self.assertEqual(len(refused) + len(served), CLIENTS)
        self.assertTrue(all("come back in" in answer for answer in refused))
        self.assertTrue(refused, "never refused")
        self.assertTrue(served, "never served")

    def test_one_that_asks_again_and_again_is_held_to_its_limit_and_never_refused(self) -> None:
        self.add_small_tenant()
        client = self.client("lists", key=WEST_KEY)
        began, asked = time.monotonic(), 0
        while time.monotonic() < began + 4.0:
            self.assertIn("COMPLETE", client.ask("WRITE fish v")[1])
            asked += 1
        self.assertLess(asked, 5 * 4.0 + 5 + 20 + 5)

    def tearDown(self) -> None:
        """No key is found in anything that was logged, whatever the test did."""
        for key in (NORTH_KEY, SECOND_KEY, SOUTH_KEY, WEST_KEY):
            self.assertNotIn(key, self.output.getvalue())


if __name__ == "__main__":
    unittest.main()
