"""A model network that counts what each process sends and takes, with the real codec."""

from collections import Counter

import msgspec

from dewledge.core.pooler.rate_limits.limits import RateLimit
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer, QuotaQuestion
from dewledge.shell.pooler.links.peer_messages import encode
from tests.core.pooler.rate_limits.model_processes import ModelNetwork

HEADER_BYTES = 28
"""IP and UDP."""
LONGER_NAME_BYTES = 14
"""A process's name has some 24 letters, a model's ten."""


class Traffic(msgspec.Struct, frozen=True):
    """Of one process in a span: datagrams and bytes, sent and taken."""

    datagrams: int
    size: int


class CountingNetwork(ModelNetwork):
    """Counts datagrams between processes; what a process says to itself is none."""

    def __init__(self, count: int, limits: dict[str, RateLimit], seed: int = 1) -> None:
        self.datagrams: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        super().__init__(count, limits, seed)

    def carry(self, sender: str, receiver: str, message: QuotaQuestion | QuotaAnswer) -> None:
        if sender != receiver:
            size = len(encode(message)) + LONGER_NAME_BYTES + HEADER_BYTES
            for name in (sender, receiver):
                self.datagrams[name] += 1
                self.bytes[name] += size
            self.kinds[_kind_of(message)] += size
        super().carry(sender, receiver, message)

    def count(self, seconds: float, rates: dict[str, float]) -> list[Traffic]:
        """Returns what each process sent and took in a span, the busiest last."""
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
