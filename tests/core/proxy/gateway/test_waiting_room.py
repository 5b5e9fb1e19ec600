"""What has waited starts only if it can end by its deadline; else it is refused as not run."""

import unittest
from random import Random

from dewledge.core.proxy.calls import Access, Operation
from dewledge.core.proxy.gateway.admission import Refusal
from dewledge.core.proxy.gateway.context import GatewayContext
from dewledge.core.proxy.gateway.request import GatewayRequest, RequestKey
from dewledge.core.proxy.gateway.settings import GatewaySettings
from dewledge.core.proxy.gateway.waiting_room import START_MARGIN, TimeNeeded, WaitingRoom
from dewledge.core.proxy.messages import StatementRequest
from dewledge.core.shared.service_rate import ServiceRate

SERVICE_TIME = 0.1
CONFIRMATION_TIME = 0.07
TO_READ = START_MARGIN * SERVICE_TIME
TO_WRITE = TO_READ + CONFIRMATION_TIME
A_BIT = 0.01


class WaitingRoomTest(unittest.TestCase):
    def setUp(self) -> None:
        context = GatewayContext("here", GatewaySettings(), Random(1))
        self.refused: list[Refusal] = []
        self.expired: list[GatewayRequest] = []
        rate = ServiceRate(SERVICE_TIME, 0.05)
        self.room = WaitingRoom(
            context,
            rate,
            TimeNeeded(rate, lambda: CONFIRMATION_TIME),
            lambda _, refusal: self.refused.append(refusal),
            self.expired.append,
        )

    def admit(
        self,
        remaining: float,
        operation: Operation = Operation.EXECUTE,
        access: Access = Access.WRITE,
    ) -> GatewayRequest:
        message = StatementRequest(
            correlation=1,
            caller="officers",
            group="cases",
            database="cases-1",
            remaining=remaining,
            operation=operation,
            access=access,
        )
        request = GatewayRequest(RequestKey("peer", 1, 1), message, 0.0)
        self.room.admit(request, 1.0, 1, 0.0)
        return request

    def test_start(self) -> None:
        rows = (
            ("enough time left", Operation.EXECUTE, Access.READ, TO_READ + A_BIT, True),
            ("too little left to run", Operation.EXECUTE, Access.READ, TO_READ - A_BIT, False),
            ("enough to be confirmed", Operation.EXECUTE, Access.WRITE, TO_WRITE + A_BIT, True),
            ("too little for that", Operation.EXECUTE, Access.WRITE, TO_WRITE - A_BIT, False),
            ("past its deadline", Operation.EXECUTE, Access.READ, -A_BIT, False),
            ("a begin runs no statement", Operation.BEGIN, Access.WRITE, A_BIT, True),
        )
        for name, operation, access, left, starts in rows:
            with self.subTest(name):
                self.expired.clear()
                request = self.admit(1.0, operation, access)
                taken = self.room.next(1.0 - left)
                self.assertIs(taken, request if starts else None)
                self.assertEqual(self.expired, [] if starts else [request])

    def test_admission_counts_the_time_to_run(self) -> None:
        self.admit(SERVICE_TIME + TO_WRITE - A_BIT)
        self.assertEqual(len(self.refused), 1)
        self.admit(SERVICE_TIME + TO_WRITE + A_BIT)
        self.assertEqual(len(self.refused), 1)
        self.assertEqual(len(self.room), 1)


if __name__ == "__main__":
    unittest.main()
