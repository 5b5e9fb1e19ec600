"""A model network that counts the datagrams and bytes of each process, with the real codec."""

from collections import Counter

import msgspec

from dewledge.core.pooler.rate_limits.limits import RateLimit
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer, QuotaQuestion
from dewledge.shell.pooler.links.peer_messages import encode
from tests.core.pooler.rate_limits.model_processes import ModelNetwork

HEADER_BYTES = 28
"""IP and UDP headers."""
EXTRA_NAME_BYTES = 14
"""Real process names have about 24 characters, the model's have 10."""


class Traffic(msgspec.Struct, frozen=True):
    """Datagrams and bytes that one process sent and received."""

    datagrams: int
    size: int


class TrafficCountingNetwork(ModelNetwork):
    """Counts the datagrams between processes, except those from a process to itself."""

    def __init__(self, count: int, limits: dict[str, RateLimit], seed: int = 1) -> None:
        self.datagrams: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        super().__init__(count, limits, seed)

    def transmit(self, sender: str, receiver: str, message: QuotaQuestion | QuotaAnswer) -> None:
        if sender != receiver:
            size = len(encode(message)) + EXTRA_NAME_BYTES + HEADER_BYTES
            for name in (sender, receiver):
                self.datagrams[name] += 1
                self.bytes[name] += size
            self.kinds[_kind_of(message)] += size
        super().transmit(sender, receiver, message)

    def count_traffic(self, seconds: float, rates: dict[str, float]) -> list[Traffic]:
        """Runs the network and returns the traffic of each process, the smallest first."""
        self.datagrams.clear()
        self.bytes.clear()
        self.kinds.clear()
        self.run(seconds, rates)
        return sorted(
            (Traffic(self.datagrams[name], self.bytes[name]) for name in self.names),
            key=lambda traffic: traffic.size,
        )


def _kind_of(message: QuotaQuestion | QuotaAnswer) -> str:
    if isinstance(message, QuotaAnswer):
        return "answer"
    if message.withdraws:
        return "withdrawal"
    if message.wants:
        return "token"
    return "vote" if message.votes else "question"
