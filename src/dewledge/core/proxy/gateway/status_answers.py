"""Peers that asked for a group's status: answered from what is known, or after a later round."""

import msgspec

from dewledge.core.proxy.effects import SendToPeer
from dewledge.core.proxy.gateway.context import GatewayContext
from dewledge.core.proxy.gateway.status_cache import StatusCache
from dewledge.core.proxy.messages import GroupStatusAnswer, GroupStatusRequest


class _StatusWaiter(msgspec.Struct, frozen=True):
    """A peer's status request that waits for a round later than `after_round`."""

    peer: str
    message: GroupStatusRequest
    after_round: int


class StatusAnswers:
    """The status requests of peers that wait, oldest first."""

    def __init__(self, context: GatewayContext, statuses: StatusCache) -> None:
        self._context = context
        self._statuses = statuses
        self._waiters: list[_StatusWaiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def wait(self, peer: str, message: GroupStatusRequest, after_round: int) -> None:
        """Has a request wait for a round later than `after_round`."""
        self._waiters.append(_StatusWaiter(peer, message, after_round))

    def forget_peer(self, peer: str) -> None:
        """Drops the requests of a peer that is gone."""
        self._waiters = [item for item in self._waiters if item.peer != peer]

    def round_ended(self, round_id: int, now: float) -> None:
        """Answers the requests that this round is late enough for."""
        waiting, self._waiters = self._waiters, []
        for item in waiting:
            if item.after_round < round_id:
                self.send(item.peer, item.message, now)
            else:
                self._waiters.append(item)

    def send(self, peer: str, message: GroupStatusRequest, now: float) -> None:
        """Answers with all statuses known, and the age of each in seconds."""
        known = self._statuses.all()
        answer = GroupStatusAnswer(
            message.correlation,
            message.group,
            tuple(cached.status for cached in known),
            tuple(now - cached.asked_at for cached in known),
        )
        self._context.emit(SendToPeer(peer, answer))
