"""The whole path as separate processes, and what their callers see when processes fail."""

import signal
import unittest

from dewledge.cli.http_client import HttpAnswer
from dewledge.core.proxy.calls import Outcome
from dewledge.standin.deployment_resources import demonstration_token
from dewledge.standin.platform_server import PlatformFaults
from tests.load import Load
from tests.process_cluster import ProcessCluster, ProxyProcess, await_state

CALLER = demonstration_token(ProcessCluster.deployment, "applicants")
ENOUGH_ROWS = 40


class ProcessPathTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cluster = ProcessCluster()
        self.addCleanup(self.cluster.close)
        self.proxies = list(self.cluster.proxies.values())
        created = self.ask(self.proxies[0], "CREATE TABLE numbers (n INTEGER PRIMARY KEY)")
        self.assertEqual(created.outcome, Outcome.DONE, created.body)

    def ask(self, proxy: ProxyProcess, sql: str, access: str = "write", **more: str) -> HttpAnswer:
        body = {"group": self.cluster.group, "sql": sql, "access": access, **more}
        return proxy.client(CALLER).post("/v1/statements", body, 10.0)

    def stored(self) -> set[int]:
        """What a caller without a session reads: the confirmed primary's rows."""
        answers = []

        def is_answered() -> bool:
            proxy = next(iter(self.cluster.proxies.values()))
            answer = self.ask(proxy, "SELECT n FROM numbers", "read")
            answers.append(answer)
            return answer.outcome is Outcome.DONE

        await_state("the rows are read", is_answered)
        return {row[0] for row in answers[-1].body["rows"]}

    def start_load(self) -> Load:
        addresses = [proxy.caller_address for proxy in self.proxies]
        load = Load(addresses, self.cluster.group, CALLER)
        await_state("writes succeed", lambda: len(load.numbers(Outcome.DONE)) > ENOUGH_ROWS)
        return load

    def await_more(self, load: Load) -> None:
        enough = len(load.numbers(Outcome.DONE)) + ENOUGH_ROWS
        await_state("writes go on", lambda: len(load.numbers(Outcome.DONE)) > enough)

    def check_told_the_truth(self, load: Load) -> None:
        stored = self.stored()
        lost = load.numbers(Outcome.DONE) - stored
        self.assertEqual(lost, set(), "acknowledged and not there")
        ran = load.numbers(Outcome.NOT_RUN) & stored
        self.assertEqual(ran, set(), "told not run and there")

    def test_session_roams_over_proxies(self) -> None:
        session = ""
        for number in range(12):
            writer = self.proxies[number % 3]
            reader = self.proxies[(number + 1) % 3]
            more = {"session": session} if session else {}
            written = self.ask(writer, f"INSERT INTO numbers VALUES ({number})", **more)
            self.assertEqual(written.outcome, Outcome.DONE, written.body)
            session = written.body["session"]
            read = self.ask(reader, "SELECT max(n) FROM numbers", "read", session=session)
            self.assertEqual(read.body.get("rows"), [[number]], read.body)

    def test_killed_gateway(self) -> None:
        load = self.start_load()
        gateway = self.cluster.gateway_of(self.cluster.primary())
        gateway.send(signal.SIGKILL)
        del self.cluster.proxies[gateway.name]
        self.await_more(load)
        load.finish()
        self.check_told_the_truth(load)

    def test_frozen_and_thawed_gateway(self) -> None:
        load = self.start_load()
        gateway = self.cluster.gateway_of(self.cluster.primary())
        del self.cluster.proxies[gateway.name]
        gateway.send(signal.SIGSTOP)
        self.await_more(load)
        gateway.send(signal.SIGCONT)
        await_state("the thawed proxy serves again", gateway.is_ready)
        self.await_more(load)
        load.finish()
        self.check_told_the_truth(load)

    def test_planned_stop_under_load(self) -> None:
        load = self.start_load()
        gateway = self.cluster.gateway_of(self.cluster.primary())
        del self.cluster.proxies[gateway.name]
        gateway.send(signal.SIGTERM)
        self.assertEqual(gateway.wait(), 0, gateway.log[-2000:])
        self.await_more(load)
        load.finish()
        self.assertIn("unfinished=0", gateway.log)
        cut = [told for told in load.told if told.outcome is None]
        self.assertEqual(cut, [], "no request is cut, no reset is seen")
        unknown = [told for told in load.told if told.outcome is Outcome.UNKNOWN]
        self.assertEqual(unknown, [], "a planned stop leaves nothing in doubt")
        self.check_told_the_truth(load)

    def test_newcomer_starts_from_peers_while_the_store_is_down(self) -> None:
        faults = self.cluster.platform_faults()
        self.addCleanup(faults.close)
        faults.set_faults(PlatformFaults(down=True))
        newcomer = self.cluster.add_proxy()
        await_state("the newcomer has its configuration from peers", newcomer.is_ready)
        written = self.ask(newcomer, "INSERT INTO numbers VALUES (1)")
        self.assertEqual(written.outcome, Outcome.DONE, written.body)

    def test_first_proxy_of_all_starts_from_the_store(self) -> None:
        for proxy in self.proxies:
            proxy.send(signal.SIGKILL)
            proxy.wait()
        self.cluster.proxies.clear()
        lone = self.cluster.add_proxy()
        await_state("it has the configuration from the store", lone.is_ready)
        await_state(
            "it serves the databases",
            lambda: self.ask(lone, "INSERT INTO numbers VALUES (1)").outcome is Outcome.DONE,
        )


if __name__ == "__main__":
    unittest.main()
