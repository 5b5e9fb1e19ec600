"""Shares among callers: who is to be served next, by start-time fair queueing.

Virtual time is the start tag of what was served last. A caller that begins to wait gets the
virtual time as its tag, or the end of what it was served before if that is later; being served
moves its tag on by the cost over its weight. The lowest tag is next: callers that wait share what
is served by weight, whoever can use more gets what is left, and nobody saves up a share.
What waits costs nothing until it is served, so who leaves unserved needs no share back.
"""

import heapq

import msgspec

DEFAULT_WEIGHT = 1.0
"""Weight of a caller without a weight of its own, relative to the others."""
MAX_STALE_FACTOR = 8
"""Entries; notes for each remembered caller of when it can be forgotten, beyond which they are made
anew: so that callers who come and leave unserved are bounded by their number."""


class _CallerShare(msgspec.Struct):
    """tag: the virtual time at which the caller's next one starts. waiting: how many wait."""

    tag: float
    weight: float
    waiting: int = 0


class FairShares:
    """The tags of the callers before one thing that they share.

    A caller of whom nothing waits is remembered until virtual time has passed its tag, and nobody
    longer than anything waits.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self._shares: dict[str, _CallerShare] = {}
        self._idle: list[tuple[float, str]] = []
        self._waiting = 0

    def __len__(self) -> int:
        """How many callers are remembered."""
        return len(self._shares)

    def tag(self, caller: str) -> float:
        """Returns the virtual time at which the next one of a caller starts."""
        share = self._shares.get(caller)
        return self.virtual_time if share is None else share.tag

    def step(self, caller: str, cost: float) -> float:
        """Returns by how much the tag of a caller that waits moves for something served."""
        return cost / self._shares[caller].weight

    def join(self, caller: str, weight: float = DEFAULT_WEIGHT) -> None:
        """One more of a caller waits; `weight`: its share, above 0."""
        share = self._shares.setdefault(caller, _CallerShare(self.virtual_time, weight))
        share.weight = weight
        share.waiting += 1
        self._waiting += 1

    def leave(self, caller: str) -> None:
        """One of a caller waits no longer, and was not served."""
        share = self._shares[caller]
        share.waiting -= 1
        self._waiting -= 1
        if not self._waiting:
            self._reset()
        elif not share.waiting:
            self._mark_idle(caller, share)

    def serve(self, caller: str, cost: float) -> None:
        """One of a caller that waited is served, at a cost."""
        share = self._shares[caller]
        self.virtual_time = max(self.virtual_time, share.tag)
        share.tag = self.virtual_time + cost / share.weight
        self._drop_passed()
        self.leave(caller)

    def settle(self, caller: str, extra: float) -> None:
        """What a caller was served cost more than was charged; less if negative.

        Nothing is kept where nobody waits.
        """
        if not self._waiting:
            return
        share = self._shares.get(caller)
        if share is None:
            if extra <= 0:
                return
            share = self._shares[caller] = _CallerShare(self.virtual_time, DEFAULT_WEIGHT)
        least = min(share.tag, self.virtual_time)
        share.tag = max(share.tag + extra / share.weight, least)
        if not share.waiting:
            self._mark_idle(caller, share)

    def _mark_idle(self, caller: str, share: _CallerShare) -> None:
        if share.tag <= self.virtual_time:
            del self._shares[caller]
            return
        heapq.heappush(self._idle, (share.tag, caller))
        if len(self._idle) > MAX_STALE_FACTOR * len(self._shares) + MAX_STALE_FACTOR:
            self._idle = [
                (each.tag, name) for name, each in self._shares.items() if not each.waiting
            ]
            heapq.heapify(self._idle)

    def _drop_passed(self) -> None:
        while self._idle and self._idle[0][0] <= self.virtual_time:
            _, caller = heapq.heappop(self._idle)
            share = self._shares.get(caller)
            if share is not None and not share.waiting and share.tag <= self.virtual_time:
                del self._shares[caller]

    def _reset(self) -> None:
        self.virtual_time = 0.0
        self._shares.clear()
        self._idle.clear()
