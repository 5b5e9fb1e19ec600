"""Messages between the databases of a group model, with delays, cuts and frozen receivers."""

from collections.abc import Callable, Mapping

from dewledge.standin.database_node import DatabaseNode
from dewledge.standin.group_messages import GroupMessage
from dewledge.standin.group_schedule import Schedule
from dewledge.standin.group_types import GroupTiming

Handle = Callable[[DatabaseNode, GroupMessage, float], None]
"""Called with (receiver, message, now) when a message arrives."""


class GroupTransport:
    """Carries messages; a cut or dead end loses them, a frozen receiver gets them when thawed."""

    def __init__(
        self,
        nodes: Mapping[str, DatabaseNode],
        schedule: Schedule,
        timing: GroupTiming,
        handle: Handle,
    ) -> None:
        self._nodes = nodes
        self._schedule = schedule
        self._timing = timing
        self._handle = handle

    def send(self, source: str, target: str, message: GroupMessage, now: float) -> None:
        """Sends a message unless the sender is cut off."""
        sender = self._nodes[source]
        receiver = self._nodes[target]
        delay = self._timing.replication_delay + self._timing.links.one_way(
            sender.description.place, receiver.description.place
        )
        if not sender.faults.cut_off:
            self._deliver_after(delay, receiver, message, now)

    def deliver_waiting(self, receiver: DatabaseNode, now: float) -> None:
        """Delivers, soon, what arrived while the receiver was frozen."""
        waiting, receiver.waiting_messages = receiver.waiting_messages, []
        for message in waiting:
            self._deliver_after(self._timing.replication_delay, receiver, message, now)

    def _deliver_after(
        self, delay: float, receiver: DatabaseNode, message: GroupMessage, now: float
    ) -> None:
        self._schedule.add(now + delay, lambda time: self._deliver(receiver, message, time))

    def _deliver(self, receiver: DatabaseNode, message: GroupMessage, now: float) -> None:
        if receiver.faults.down or receiver.faults.cut_off:
            return
        if receiver.faults.frozen:
            receiver.waiting_messages.append(message)
            return
        self._handle(receiver, message, now)
