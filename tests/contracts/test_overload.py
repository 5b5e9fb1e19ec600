"""Ten times what the slots serve, for long: refusals come at once, nobody starves, work goes on."""

import unittest
from collections import Counter
from collections.abc import Iterable

import msgspec

from dewledge.core.proxy.assembly.effects import ProxyEffect
from dewledge.core.proxy.calls import Outcome
from dewledge.core.proxy.effects import SendToPeer
from dewledge.core.proxy.messages import StatementRequest
from dewledge.errors import ErrorCode
from dewledge.simulation.deployments import PERMITS
from dewledge.simulation.history import RequestRecord
from dewledge.simulation.interceptor import Interceptor
from dewledge.simulation.population import PopulationSettings
from dewledge.simulation.scenario import SMALL, Scenario, ScenarioRun
from dewledge.simulation.simulated_proxy import ProcessState
from dewledge.simulation.workloads import Action, Workload

SEED = 1
SERVICE_TIME = 0.050
CAPACITY = SMALL.slots / SERVICE_TIME
"""Writes a second that the primary's slots can serve."""

LOAD_TIME = 6.0
TIME_LIMIT = 1.0
STEADY_FROM = 1.5
"""Seconds of load after which throughput is looked at."""

MODERATE_FACTORS = (1.5, 3.0)
"""Load as a multiple of the capacity; what is late, and not only what is too much, is let in."""

LEAST_THROUGHPUT = 0.9
"""Share of the capacity that must be served, however much is asked for."""

REFUSAL_TIME = 0.150
"""Seconds in which a caller must know that the queue is full: hops between regions, and no wait."""

RETRY_RATIO, RETRY_RESERVE = 0.1, 50.0

FLOOD = (
    Workload("flood", "applicants", Action.APPEND, 0.9),
    Workload("trickle", "officers", Action.APPEND, 0.1),
)


class CountsSendings(Interceptor):
    """Counts the statements that entries send to gateways of other proxies."""

    counted: Counter[str] = Counter()

    def effect(self, effect: ProxyEffect) -> Iterable[ProxyEffect]:
        if isinstance(effect, SendToPeer) and isinstance(effect.message, StatementRequest):
            self.counted["sent"] += 1
        return (effect,)


class OverloadRun:
    """A run of one group whose primary is asked for `factor` times what it can serve."""

    def __init__(self, factor: float) -> None:
        deployment = msgspec.structs.replace(
            SMALL, read_service_time=SERVICE_TIME, write_service_time=SERVICE_TIME
        )
        population = PopulationSettings(
            rate=factor * CAPACITY, time_limit=TIME_LIMIT, sessions=200, workloads=FLOOD
        )
        scenario = Scenario(
            deployment=deployment, population=population, load_time=LOAD_TIME, settle=3.0
        )
        CountsSendings.counted = Counter()
        self.run = ScenarioRun(scenario, SEED, CountsSendings)
        self.most_in_flight = 0
        self._watch()
        self.verdict = self.run.run()
        self.sent = CountsSendings.counted["sent"]
        self.load_begins = scenario.warm_up
        self.load_ends = scenario.warm_up + LOAD_TIME

    def _watch(self) -> None:
        for proxy in self.run.world.proxies.values():
            if proxy.state is ProcessState.RUNNING:
                self.most_in_flight = max(self.most_in_flight, proxy.core.in_flight)
        self.run.world.queue.call_after(0.1, self._watch)

    @property
    def requests(self) -> list[RequestRecord]:
        return self.verdict.history.requests

    def answered(self, outcome: Outcome) -> list[RequestRecord]:
        """Requests with this outcome, answered while load was steady."""
        begin = self.load_begins + STEADY_FROM
        return [
            request
            for request in self.requests
            if request.outcome is outcome and begin <= (request.answered_at or 0.0) < self.load_ends
        ]

    @property
    def throughput(self) -> float:
        return len(self.answered(Outcome.DONE)) / (LOAD_TIME - STEADY_FROM)


class OverloadTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.overload = OverloadRun(10.0)

    def test_no_promise_breaks(self) -> None:
        self.assertEqual(self.overload.verdict.violations, (), self.overload.verdict.describe())

    def test_throughput_stays_at_its_peak(self) -> None:
        for factor in MODERATE_FACTORS:
            with self.subTest(factor=factor):
                throughput = OverloadRun(factor).throughput
                self.assertGreaterEqual(throughput, LEAST_THROUGHPUT * CAPACITY)

    def test_throughput_stays_at_its_peak_for_ten_times_the_load(self) -> None:
        self.assertGreaterEqual(self.overload.throughput, LEAST_THROUGHPUT * CAPACITY)

    def test_refusals_come_at_once_with_a_time_to_come_back(self) -> None:
        refused = [
            request
            for request in self.overload.answered(Outcome.NOT_RUN)
            if request.code is ErrorCode.OVERLOADED
        ]
        self.assertGreater(len(refused), 100)
        took = sorted((request.answered_at or 0.0) - request.sent_at for request in refused)
        self.assertLess(took[len(took) // 2], REFUSAL_TIME)
        without = [request.marker for request in refused if not request.retry_after]
        self.assertEqual(without, [])

    def test_what_waits_is_bounded(self) -> None:
        # What can be served before the deadline, and requests on their way: no queue grows beyond.
        bound = 2 * CAPACITY * TIME_LIMIT
        self.assertLess(self.overload.most_in_flight, bound)

    def test_retries_stay_under_their_budget(self) -> None:
        proxies = len(self.overload.run.world.proxies)
        bound = (1.0 + RETRY_RATIO) * len(self.overload.requests) + RETRY_RESERVE * proxies
        self.assertLess(self.overload.sent, bound)

    def test_a_caller_that_asks_for_less_than_its_share_is_served(self) -> None:
        served = Counter(request.caller for request in self.overload.answered(Outcome.DONE))
        share = served["officers"] / sum(served.values())
        self.assertGreater(share, 0.3, served)


class SlowNeighbourTest(unittest.TestCase):
    """A slow database beside a healthy one, which must not feel it."""

    def usual_latency(self, slow: bool) -> float:
        """Returns the 90th percentile of the healthy group's writes, in seconds."""
        deployment = msgspec.structs.replace(
            SMALL, groups=PERMITS.groups[:2], write_service_time=0.004
        )
        population = PopulationSettings(rate=120, sessions=60, workloads=FLOOD)
        scenario = Scenario(
            deployment=deployment, population=population, load_time=LOAD_TIME, settle=3.0
        )
        run = ScenarioRun(scenario, SEED)
        slow_group, healthy_group = deployment.groups
        if slow:
            for name in deployment.databases(slow_group):
                run.world.servers[name].slowness = 100.0
        verdict = run.run()
        self.assertEqual(verdict.violations, (), verdict.describe())
        took = sorted(
            (request.answered_at or 0.0) - request.sent_at
            for request in verdict.history.requests
            if request.group == healthy_group and request.outcome is Outcome.DONE
        )
        self.assertGreater(len(took), 100)
        return took[int(len(took) * 0.9)]

    def test_the_healthy_group_does_not_feel_it(self) -> None:
        self.assertLess(self.usual_latency(slow=True), 1.2 * self.usual_latency(slow=False))
