"""Model processes with a gate and a grantor, and a network that delays and loses datagrams."""

import math
import random
from collections import defaultdict

from dewledge.core.pooler.rate_limits.admission import AdmissionRequest, Refusal
from dewledge.core.pooler.rate_limits.gate import QuotaGate
from dewledge.core.pooler.rate_limits.grantor import Grantor
from dewledge.core.pooler.rate_limits.limits import QuotaPolicy, RateLimit
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer, QuotaQuestion
from dewledge.core.pooler.rate_limits.token_reservations import KeptToken
from tests.core.pooler.harness import ModelScheduler, Timer


class ProcessScheduler:
    """Schedules the callbacks of one process; delays those that are due while it is frozen."""

    def __init__(self, scheduler: ModelScheduler) -> None:
        self._scheduler = scheduler
        self.frozen_until = 0.0
        self.is_stopped = False

    def now(self) -> float:
        return self._scheduler.now()

    def call_later(self, delay: float, callback: object) -> Timer:
        def run() -> None:
            if self.is_stopped:
                return
            if self.now() < self.frozen_until:
                self._scheduler.call_later(self.frozen_until - self.now(), run)
                return
            callback()  # type: ignore[operator]

        return self._scheduler.call_later(delay, run)


class ModelProcess:
    """A process with a gate and a grantor."""

    def __init__(self, network: "ModelNetwork", name: str) -> None:
        self.network = network
        self.name = name
        self.scheduler = ProcessScheduler(network.scheduler)
        now = self.scheduler.now()
        self.gate = QuotaGate(self.scheduler, name, network.policy, self._send, now)
        self.grantor = Grantor(name, network.policy)
        self.gate.set_members(network.names)
        self.grantor.set_members(network.names)
        self.set_limits()
        self._tick()

    def set_limits(self) -> None:
        limits = dict(self.network.limits)
        self.gate.set_limits(limits)
        self.grantor.set_limits(limits)

    def stop(self) -> None:
        self.scheduler.is_stopped = True

    def operate(
        self,
        caller: str,
        timeout: float = 0.35,
        redeemed: KeptToken | None = None,
        urgency: int | None = None,
    ) -> None:
        """Requests admission of an operation, with a statement timeout in seconds.

        urgency: None for the first attempt.
        """
        if self.scheduler.now() < self.scheduler.frozen_until:
            return
        if urgency is None:
            urgency = self.network.requested % self.network.urgency_count
        self.network.requested += 1
        arrived = self.scheduler.now()

        def on_decided(refusal: Refusal | None) -> None:
            if refusal is None:
                self.network.hold_seconds[caller].append(self.scheduler.now() - arrived)
            self.network.record_outcome(caller, refusal, redeemed)
            if refusal is not None and refusal.kept is not None and self.network.clients_retry:
                delay = refusal.come_back_ms / 1000
                new_reservation = refusal.kept
                self.scheduler.call_later(
                    delay, lambda: self.operate(caller, timeout, new_reservation, urgency)
                )

        target = self.network.target_latency
        wish = AdmissionRequest(caller, timeout, redeemed, target_latency=target, urgency=urgency)
        self.gate.submit(wish, on_decided)

    def _tick(self) -> None:
        self.scheduler.call_later(self.gate.tick(), self._tick)

    def _send(self, name: str, question: QuotaQuestion) -> None:
        self.network.transmit(self.name, name, question)

    def receive(self, sender: str, message: QuotaQuestion | QuotaAnswer) -> None:
        if isinstance(message, QuotaAnswer):
            self.gate.handle_answer(message)
            return
        answer = self.grantor.answer_question(message, self.scheduler.now())
        self.network.transmit(self.name, sender, answer)


class ModelNetwork:
    """All processes and the network between them.

    Processes in different `partition`s cannot reach each other.
    """

    def __init__(self, count: int, limits: dict[str, RateLimit], seed: int = 1) -> None:
        self.scheduler = ModelScheduler()
        self.random = random.Random(seed)
        self.policy = QuotaPolicy(5.0, 0.1, 20.0)
        self.limits = limits
        self.names = [f"process{number}" for number in range(count)]
        self.partition: dict[str, int] = dict.fromkeys(self.names, 0)
        self.loss = 0.0
        self.target_latency = math.inf
        """Target latency of the operations in seconds."""
        self.max_delay = 0.02
        self.admitted: dict[str, list[float]] = defaultdict(list)
        self.refused: dict[str, list[Refusal]] = defaultdict(list)
        self.hold_seconds: dict[str, list[float]] = defaultdict(list)
        """How long admitted operations were held, in seconds, by caller."""
        self.requested = 0
        self.clients_retry = False
        """Whether refused clients retry at the promised time."""
        self.urgency_count = 1
        """Number of urgencies that operations have in turn."""
        self.retry_outcomes: list[Refusal | None] = []
        """The outcome of each retry, None if it was admitted."""
        self.processes: dict[str, ModelProcess] = {}
        for name in self.names:
            self.processes[name] = ModelProcess(self, name)

    def restart(self, name: str) -> None:
        self.processes[name].stop()
        self.processes[name] = ModelProcess(self, name)

    def record_outcome(
        self, caller: str, refusal: Refusal | None, redeemed: KeptToken | None
    ) -> None:
        if redeemed is not None:
            self.retry_outcomes.append(refusal)
        if refusal is None:
            self.admitted[caller].append(self.scheduler.now())
        else:
            self.refused[caller].append(refusal)

    def transmit(self, sender: str, receiver: str, message: QuotaQuestion | QuotaAnswer) -> None:
        if self.partition[sender] != self.partition[receiver] or self.random.random() < self.loss:
            return
        process = self.processes.get(receiver)
        if process is None:
            return

        def arrive() -> None:
            process.scheduler.call_later(0.0, lambda: process.receive(sender, message))

        self.scheduler.call_later(self.random.uniform(0.001, self.max_delay), arrive)

    def run(self, seconds: float, rates: dict[str, float], timeout: float = 0.35) -> None:
        """Requests operations of each caller at random processes."""
        end = self.scheduler.now() + seconds
        while self.scheduler.now() < end:
            self.scheduler.advance(0.01)
            for caller, rate in rates.items():
                for _ in range(self._arrivals(rate * 0.01)):
                    self.processes[self.random.choice(self.names)].operate(caller, timeout)

    def _arrivals(self, mean: float) -> int:
        whole = int(mean)
        return whole + (self.random.random() < mean - whole)

    def max_bound_ratio(self, caller: str) -> float:
        """Returns the maximum number admitted in a window, relative to the bound."""
        admitted = self.admitted[caller]
        max_count = first = 0
        for last, at in enumerate(admitted):
            while admitted[first] <= at - self.policy.window:
                first += 1
            max_count = max(max_count, last - first + 1)
        return max_count / self.policy.bound(self.limits[caller])
