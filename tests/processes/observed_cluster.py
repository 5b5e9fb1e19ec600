"""A cluster of processes that notes the faults done to it, and can be made whole again."""

import contextlib
import math
import signal
import sys
import time
import unittest
from collections.abc import Sequence

from dewledge.cli.http_client import HttpAnswer
from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.simulation.history import AbsenceRecord, History
from dewledge.simulation.promises import check_all
from dewledge.simulation.promises_reads import ANSWER_GRACE
from dewledge.simulation.violations import Violation
from dewledge.simulation.workloads import SCHEMA
from dewledge.standin.deployment_resources import demonstration_token
from dewledge.standin.platform_server import PlatformFaults
from tests.machine_stalls import MachineStalls
from tests.process_cluster import ProcessCluster, ProxyProcess, await_state
from tests.processes.group_observer import GroupObserver
from tests.processes.mixed_load import SESSIONS, MixedLoad
from tests.processes.recorded_caller import (
    PATIENCE_PAST_DEADLINE,
    TIME_LIMIT,
    RecordedCaller,
    Target,
)

LOG_LINES_SHOWN = 50
"""Of each process when a promise is broken."""
CALLER = demonstration_token(ProcessCluster.deployment, "applicants")


class ObservedCluster(ProcessCluster):
    """Adds faults of proxies, which it notes, and repair."""

    def __init__(self, proxies: int = 3) -> None:
        self.absences: list[AbsenceRecord] = []
        self._frozen: dict[str, tuple[ProxyProcess, float]] = {}
        super().__init__(proxies)
        self.group_client = self.group_faults()
        self.platform = self.platform_faults()
        for statement in SCHEMA:
            await_state(
                "the tables are made",
                lambda sql=statement.sql: self.ask(sql).outcome is Outcome.DONE,
            )

    def close(self) -> None:
        """Ends every process."""
        for proxy, _ in self._frozen.values():
            proxy.send(signal.SIGCONT)
        if hasattr(self, "platform"):
            self.group_client.close()
            self.platform.close()
        super().close()

    def targets(self) -> Sequence[Target]:
        """The proxies that callers know of."""
        return [Target(it.name, it.caller_address) for it in list(self.proxies.values())]

    def ask(self, sql: str, proxy: ProxyProcess | None = None, **more: str) -> HttpAnswer:
        """Sends one statement as a caller."""
        chosen = proxy or next(iter(self.proxies.values()))
        body = {"group": self.group, "sql": sql, **more}
        return chosen.client(CALLER).post("/v1/statements", body)

    def current_primary(self) -> str:
        """The primary of the newest term, or "" while there is none."""
        found = [it for it in self.group_client.statuses() if it.role is DatabaseRole.PRIMARY]
        return max(found, key=lambda it: it.term).database if found else ""

    def gateway_of(self, database: str) -> ProxyProcess:
        """Waits until some proxy is its gateway; after a kill there is none for a moment."""
        found: list[ProxyProcess] = []

        def is_found() -> bool:
            with contextlib.suppress(AssertionError):
                found.append(super(ObservedCluster, self).gateway_of(database))
            return bool(found)

        await_state(f"{database} has a gateway", is_found)
        return found[-1]

    def await_new_primary(self, old: str) -> None:
        """Waits until another database is primary."""
        await_state("another primary", lambda: self.current_primary() not in ("", old))

    def kill_proxy(self, proxy: ProxyProcess) -> None:
        """SIGKILL; callers that reach for it are refused."""
        self.absences.append(AbsenceRecord(proxy.name, time.monotonic(), math.inf))
        proxy.send(signal.SIGKILL)
        proxy.wait()
        del self.proxies[proxy.name]

    def freeze_proxy(self, proxy: ProxyProcess) -> None:
        """SIGSTOP; callers go on trying it."""
        self._frozen[proxy.name] = (proxy, time.monotonic())
        proxy.send(signal.SIGSTOP)

    def answering_proxies(self) -> list[ProxyProcess]:
        """The proxies that are not stopped."""
        return [it for it in self.proxies.values() if it.name not in self._frozen]

    def thaw_proxies(self) -> None:
        """SIGCONT to all that were stopped."""
        for name, (proxy, since) in self._frozen.items():
            proxy.send(signal.SIGCONT)
            self.absences.append(AbsenceRecord(name, since, time.monotonic()))
        self._frozen.clear()

    def heal_group(self) -> None:
        """Ends every fault of the databases and waits for one primary that all follow."""
        for database in self.deployment.databases_of(self.group):
            self.group_client.heal(database)
            self.group_client.thaw(database)
            self.group_client.restart(database)
            self.group_client.lag(database, 0.0)
            self.group_client.lose_answers(database, 0)
        await_state("the group is whole", self._is_group_whole)

    def repair(self, proxies: int = 3) -> None:
        """Ends all faults and replaces the proxies that are gone."""
        self.platform.set_faults(PlatformFaults(down=False, slowness=0.0, lose_answers=0))
        self.heal_group()
        self.thaw_proxies()
        while len(self.proxies) < proxies:
            self.add_proxy()
        for proxy in self.proxies.values():
            await_state(f"{proxy.name} is ready", proxy.is_ready)
            await_state(
                f"writes succeed through {proxy.name}",
                lambda proxy=proxy: (
                    self.ask("DELETE FROM events WHERE 0", proxy).outcome is Outcome.DONE
                ),
            )

    def _is_group_whole(self) -> bool:
        statuses = self.group_client.statuses()
        primaries = [it for it in statuses if it.role is DatabaseRole.PRIMARY]
        size = len(self.deployment.databases_of(self.group))
        return (
            len(statuses) == size
            and len(primaries) == 1
            and all(it.applied == primaries[0].applied for it in statuses)
        )


class Observation:
    """A span in which everything is recorded; `sessions` work by themselves."""

    def __init__(self, cluster: ObservedCluster, name: str, sessions: int = SESSIONS) -> None:
        self.cluster = cluster
        self.history = History()
        self.observer = GroupObserver(cluster.group, cluster.group_faults(), self.history)
        self.load = MixedLoad(self.history, cluster.targets, name, sessions)
        self._callers: list[RecordedCaller] = []

    def caller(self, name: str, time_limit: float = TIME_LIMIT) -> RecordedCaller:
        """Returns one more session, driven by the test itself."""
        targets = self.cluster.targets
        caller = RecordedCaller(self.history, targets, name, time_limit=time_limit)
        self._callers.append(caller)
        return caller

    def finish(self) -> History:
        """Ends the load and completes the history."""
        self.load.finish()
        for caller in self._callers:
            caller.roam()
        self.cluster.heal_group()
        self.observer.finish()
        self.cluster.thaw_proxies()
        self.history.absences = list(self.cluster.absences)
        self.history.ended_at = time.monotonic()
        return self.history


class ClusterTestCase(unittest.TestCase):
    """Shares one cluster among a class's tests; each leaves it whole."""

    cluster_type: type[ObservedCluster] = ObservedCluster
    cluster: ObservedCluster

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = cls.cluster_type()
        cls.addClassCleanup(cls.cluster.close)

    def setUp(self) -> None:
        self._pids = {it.name: it.pid for it in self.cluster.processes}
        self.stalls = MachineStalls(self._pids)
        self.addCleanup(self.stalls.finish)

    def check_promises(self, history: History) -> None:
        """Fails with every broken promise, and with how long processes waited for a processor."""
        broken = check_all(history)
        if broken:
            self._print_logs()
        self.assertEqual([str(it) for it in broken], [], self._waits_before(broken))

    def allow_for_the_machine(self, history: History) -> None:
        """Adds to deadlines what the machine kept the proxy asked, or this process, waiting."""
        for request in history.requests:
            gave_up_at = request.deadline + PATIENCE_PAST_DEADLINE
            ended_at = gave_up_at if request.answered_at is None else request.answered_at
            request.deadline += self.stalls.waited(request.proxy, request.sent_at, ended_at)
            if request.answered_at is None and request.deadline + ANSWER_GRACE > gave_up_at:
                request.deadline = math.inf  # its caller left before it was due

    def _print_logs(self) -> None:
        for process in self.cluster.processes:
            lines = process.log.splitlines()[-LOG_LINES_SHOWN:]
            print(f"log of {process.name}:", *lines, sep="\n", file=sys.stderr)

    def _waits_before(self, broken: Sequence[Violation]) -> str:
        """Tells a fault of the proxies from a machine that kept them waiting."""
        lines = []
        for at in sorted({it.at for it in broken}):
            waited = {name: self.stalls.waited(name, at - TIME_LIMIT, at) for name in self._pids}
            text = " ".join(f"{name}={seconds:.2f}" for name, seconds in waited.items())
            lines.append(f"waits for a processor in {TIME_LIMIT} s before {at:.3f}: {text}")
        return "\n".join(lines)
