"""Some processes that admit operations, and a network that may hold back or lose datagrams."""

import math
import random
from collections import defaultdict

from dewledge.core.pooler.rate_limits.admission import Refusal, Wish
from dewledge.core.pooler.rate_limits.gate import QuotaGate
from dewledge.core.pooler.rate_limits.grantor import Grantor
from dewledge.core.pooler.rate_limits.kept_tokens import KeptToken
from dewledge.core.pooler.rate_limits.limits import QuotaPolicy, RateLimit
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer, QuotaQuestion
from tests.core.pooler.harness import ModelScheduler, Timer


class ProcessScheduler:
    """The clock of one process: it may stand still, and what is due then comes when it wakes."""

    def __init__(self, scheduler: ModelScheduler) -> None:
        self._scheduler = scheduler
        self.asleep_until = 0.0
        self.is_over = False

    def now(self) -> float:
        return self._scheduler.now()

    def call_later(self, delay: float, callback: object) -> Timer:
        def run() -> None:
            if self.is_over:
                return
            if self.now() < self.asleep_until:
                self._scheduler.call_later(self.asleep_until - self.now(), run)
                return
            callback()  # type: ignore[operator]

        return self._scheduler.call_later(delay, run)


class ModelProcess:
    """One process's gate and grantor."""

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

    def end(self) -> None:
        self.scheduler.is_over = True

    def operate(
        self,
        caller: str,
        timeout: float = 0.35,
        kept: KeptToken | None = None,
        urgency: int | None = None,
    ) -> None:
        """One operation of a client arrives, with a statement's timeout in seconds.

        urgency: None for one that comes for the first time.
        """
        if self.scheduler.now() < self.scheduler.asleep_until:
            return
        if urgency is None:
            urgency = self.network.asked % self.network.urgencies
        self.network.asked += 1
        arrived = self.scheduler.now()

        def decided(refusal: Refusal | None) -> None:
            if refusal is None:
                self.network.held[caller].append(self.scheduler.now() - arrived)
            self.network.note(caller, refusal, kept)
            if refusal is not None and refusal.kept is not None and self.network.clients_return:
                moment = refusal.come_back_ms / 1000
                again = refusal.kept
                self.scheduler.call_later(
                    moment, lambda: self.operate(caller, timeout, again, urgency)
                )

        target = self.network.target
        wish = Wish(caller, timeout, kept, target_latency=target, urgency=urgency)
        self.gate.apply(wish, decided)

    def _tick(self) -> None:
        self.scheduler.call_later(self.gate.tick(), self._tick)

    def _send(self, name: str, question: QuotaQuestion) -> None:
        self.network.carry(self.name, name, question)

    def take(self, sender: str, message: QuotaQuestion | QuotaAnswer) -> None:
        if isinstance(message, QuotaAnswer):
            self.gate.take_answer(message)
            return
        answer = self.grantor.take_question(message, self.scheduler.now())
        self.network.carry(self.name, sender, answer)


class ModelNetwork:
    """All processes. `cut`: pairs of sides that do not hear each other."""

    def __init__(self, count: int, limits: dict[str, RateLimit], seed: int = 1) -> None:
        self.scheduler = ModelScheduler()
        self.random = random.Random(seed)
        self.policy = QuotaPolicy(5.0, 0.1, 20.0)
        self.limits = limits
        self.names = [f"process{number}" for number in range(count)]
        self.side: dict[str, int] = dict.fromkeys(self.names, 0)
        self.loss = 0.0
        self.target = math.inf
        """In which clients want their answers, in seconds."""
        self.longest_delay = 0.02
        self.admitted: dict[str, list[float]] = defaultdict(list)
        self.refused: dict[str, list[Refusal]] = defaultdict(list)
        self.held: dict[str, list[float]] = defaultdict(list)
        """For how long those admitted were held, in seconds."""
        self.asked = 0
        self.clients_return = False
        self.urgencies = 1
        """Operations are of so many, by turns."""
        """Whether who is refused comes back at the moment that it was told."""
        self.returned: list[Refusal | None] = []
        """What those were told."""
        self.processes: dict[str, ModelProcess] = {}
        for name in self.names:
            self.processes[name] = ModelProcess(self, name)

    def restart(self, name: str) -> None:
        self.processes[name].end()
        self.processes[name] = ModelProcess(self, name)

    def note(self, caller: str, refusal: Refusal | None, kept: KeptToken | None) -> None:
        if kept is not None:
            self.returned.append(refusal)
        if refusal is None:
            self.admitted[caller].append(self.scheduler.now())
        else:
            self.refused[caller].append(refusal)

    def carry(self, sender: str, receiver: str, message: QuotaQuestion | QuotaAnswer) -> None:
        if self.side[sender] != self.side[receiver] or self.random.random() < self.loss:
            return
        process = self.processes.get(receiver)
        if process is None:
            return

        def arrive() -> None:
            process.scheduler.call_later(0.0, lambda: process.take(sender, message))

        self.scheduler.call_later(self.random.uniform(0.001, self.longest_delay), arrive)

    def run(self, seconds: float, rates: dict[str, float], timeout: float = 0.35) -> None:
        """Has operations of each caller arrive at processes drawn by chance."""
        end = self.scheduler.now() + seconds
        while self.scheduler.now() < end:
            self.scheduler.advance(0.01)
            for caller, rate in rates.items():
                for _ in range(self._arrivals(rate * 0.01)):
                    self.processes[self.random.choice(self.names)].operate(caller, timeout)

    def _arrivals(self, mean: float) -> int:
        whole = int(mean)
        return whole + (self.random.random() < mean - whole)

    def worst_share(self, caller: str) -> float:
        """Returns the most admitted in a window, as a share of the bound."""
        admitted = self.admitted[caller]
        worst = first = 0
        for last, at in enumerate(admitted):
            while admitted[first] <= at - self.policy.window:
                first += 1
            worst = max(worst, last - first + 1)
        return worst / self.policy.bound(self.limits[caller])
