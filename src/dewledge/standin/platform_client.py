"""A typed client of the platform stand-in's admin address."""

import msgspec

from dewledge.standin.admin_connection import AdminConnection
from dewledge.standin.platform_model import PlatformCall
from dewledge.standin.platform_server import CALLS_PATH, FAULTS_PATH, PlatformFaults


class PlatformFaultClient:
    """Switches faults of the platform and reads how often it was called."""

    def __init__(self, admin_address: str) -> None:
        self._connection = AdminConnection(admin_address)

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()

    def set_faults(self, faults: PlatformFaults) -> None:
        """Switches faults on and off. Raises OSError or AnswerMissing."""
        self._connection.call("POST", FAULTS_PATH, msgspec.json.encode(faults))

    def calls(self) -> dict[PlatformCall, int]:
        """Returns how many calls of each kind were made. Raises OSError or AnswerMissing."""
        answer = self._connection.call("GET", CALLS_PATH)
        return msgspec.json.decode(answer.body, type=dict[PlatformCall, int])
