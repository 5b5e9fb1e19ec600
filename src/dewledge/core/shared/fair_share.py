"""Start-time fair queueing between callers: chooses whose request is served next.

Virtual time is the start tag of the last request served. A caller that starts to wait gets the
virtual time as its tag, or the end of its last request if that is later. Serving a request advances
the caller's tag by its cost over the caller's weight. The lowest tag is next, so callers that wait
share the capacity by weight, and a caller cannot save up unused capacity. A request is charged when
it is served, so a request that leaves the queue unserved needs no refund.
"""

import heapq

import msgspec

DEFAULT_WEIGHT = 1.0
"""Weight of a caller without a configured weight, relative to the others."""
MAX_STALE_FACTOR = 8
"""Factor by which heap entries may outnumber the remembered callers before the heap is rebuilt;
bounds the memory for callers that come and leave unserved."""


class _CallerShare(msgspec.Struct):
    """A caller's state.

    tag: the virtual time at which its next request starts. waiting: its number of waiting requests.
    """

    tag: float
    weight: float
    waiting: int = 0


class FairShares:
    """The tags of the callers that share one resource.

    A caller without waiting requests is remembered until virtual time has passed its tag. No caller
    is remembered while no request waits.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self._shares: dict[str, _CallerShare] = {}
        self._idle: list[tuple[float, str]] = []
        self._waiting = 0

    def __len__(self) -> int:
        """Number of remembered callers."""
        return len(self._shares)

    def start_tag(self, caller: str) -> float:
        """Returns the virtual time at which a caller's next request starts."""
        share = self._shares.get(caller)
        return self.virtual_time if share is None else share.tag

    def tag_increment(self, caller: str, cost: float) -> float:
        """Returns by how much serving a request would advance the caller's tag."""
        return cost / self._shares[caller].weight

    def join(self, caller: str, weight: float = DEFAULT_WEIGHT) -> None:
        """Adds a waiting request of a caller. weight: of the caller, above 0."""
        share = self._shares.setdefault(caller, _CallerShare(self.virtual_time, weight))
        share.weight = weight
        share.waiting += 1
        self._waiting += 1

    def leave(self, caller: str) -> None:
        """Removes a waiting request that was not served."""
        share = self._shares[caller]
        share.waiting -= 1
        self._waiting -= 1
        if not self._waiting:
            self._reset()
        elif not share.waiting:
            self._mark_idle(caller, share)

    def serve(self, caller: str, cost: float) -> None:
        """Removes a waiting request that is served at a cost, and advances the caller's tag."""
        share = self._shares[caller]
        self.virtual_time = max(self.virtual_time, share.tag)
        share.tag = self.virtual_time + cost / share.weight
        self._drop_passed()
        self.leave(caller)

    def adjust_cost(self, caller: str, extra_cost: float) -> None:
        """Corrects the cost of a request that was served; `extra` may be negative.

        Does nothing while no request waits.
        """
        if not self._waiting:
            return
        share = self._shares.get(caller)
        if share is None:
            if extra_cost <= 0:
                return
            share = self._shares[caller] = _CallerShare(self.virtual_time, DEFAULT_WEIGHT)
        min_tag = min(share.tag, self.virtual_time)
        share.tag = max(share.tag + extra_cost / share.weight, min_tag)
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
