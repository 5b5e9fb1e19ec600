"""What has waited starts only if it can end by its deadline; else it is refused as not run."""

import unittest
from random import Random

from dewledge.core.admission import Refusal, ServiceRate
from dewledge.core.calls import Access, Operation
from dewledge.core.gateway_context import GatewayContext
from dewledge.core.gateway_request import GatewayRequest, RequestKey
from dewledge.core.gateway_settings import GatewaySettings
from dewledge.core.messages import StatementRequest
from dewledge.core.waiting_room import START_MARGIN, WaitingRoom

SERVICE_TIME = 0.1
NEEDED = START_MARGIN * SERVICE_TIME
A_BIT = 0.01


class WaitingRoomTest(unittest.TestCase):
    def setUp(self) -> None:
        context = GatewayContext("here", GatewaySettings(), Random(1))
        self.refused: list[Refusal] = []
        self.expired: list[GatewayRequest] = []
        self.room = WaitingRoom(
            context,
            ServiceRate(SERVICE_TIME, 0.05),
            lambda _, refusal: self.refused.append(refusal),
            self.expired.append,
        )

    def admit(self, remaining: float, operation: Operation = Operation.EXECUTE) -> GatewayRequest:
        message = StatementRequest(
            correlation=1,
            caller="officers",
            group="cases",
            database="cases-1",
            remaining=remaining,
            operation=operation,
            access=Access.WRITE,
        )
        request = GatewayRequest(RequestKey("peer", 1, 1), message, 0.0)
        self.room.admit(request, 1.0, 1, 0.0)
        return request

    def test_start(self) -> None:
        rows = (
            ("enough time left", Operation.EXECUTE, NEEDED + A_BIT, True),
            ("too little left to run", Operation.EXECUTE, NEEDED - A_BIT, False),
            ("past its deadline", Operation.EXECUTE, -A_BIT, False),
            ("a begin runs no statement", Operation.BEGIN, A_BIT, True),
        )
        for name, operation, left, starts in rows:
            with self.subTest(name):
                self.expired.clear()
                request = self.admit(1.0, operation)
                taken = self.room.next(1.0 - left)
                self.assertIs(taken, request if starts else None)
                self.assertEqual(self.expired, [] if starts else [request])

    def test_admission_counts_the_time_to_run(self) -> None:
        self.admit(SERVICE_TIME + NEEDED - A_BIT)
        self.assertEqual(len(self.refused), 1)
        self.admit(SERVICE_TIME + NEEDED + A_BIT)
        self.assertEqual(len(self.refused), 1)
        self.assertEqual(len(self.room), 1)


if __name__ == "__main__":
    unittest.main()
