"""What waits before one database: statements and transaction begins, which take turns."""

from dewledge.core.proxy.gateway.admission import Refusal
from dewledge.core.proxy.gateway.request import GatewayRequest
from dewledge.core.proxy.gateway.waiting_room import WaitingRoom


class DatabaseQueues:
    """The two waiting rooms of a database."""

    def __init__(self, statements: WaitingRoom, begins: WaitingRoom) -> None:
        self._statements = statements
        self._begins = begins
        self._begin_next = True

    def __len__(self) -> int:
        return len(self._statements) + len(self._begins)

    @property
    def statement_count(self) -> int:
        """How many statements outside of transactions wait."""
        return len(self._statements)

    def room_of(self, request: GatewayRequest) -> WaitingRoom:
        """Returns the room in which a request waits."""
        return self._begins if request.begins_transaction else self._statements

    def refuse_all(self, refusal: Refusal) -> None:
        """Gives up everything that waits."""
        self._statements.refuse_all(refusal)
        self._begins.refuse_all(refusal)

    def next(self, may_begin: bool, now: float) -> GatewayRequest | None:
        """Takes a begin and a statement in turns; begins only while transactions may begin."""
        rooms = [self._statements]
        if may_begin:
            rooms.insert(0 if self._begin_next else 1, self._begins)
        for room in rooms:
            request = room.next(now)
            if request is not None:
                self._begin_next = room is self._statements
                return request
        return None
