"""What nodes spend: rates for each node and second, taken between two points of simulated time."""

import msgspec

from dewledge.scale.hollow_cluster import HollowCluster
from dewledge.scale.hollow_node import HollowNode


class NodeRates(msgspec.Struct, frozen=True):
    """For each node and second, headers included.

    bytes_sent, datagrams, messages: means over all nodes. bytes_most: sent and received by the
    node with the most traffic. processor_share: thread time per second of simulated time.
    """

    bytes_sent: float
    bytes_received: float
    bytes_most: float
    datagrams: float
    messages: float
    processor_share: float


class _Reading(msgspec.Struct, frozen=True):
    bytes_sent: int
    bytes_received: int
    datagrams: int
    messages: int
    processor_time: float


NO_READING = _Reading(0, 0, 0, 0, 0.0)


class Meter:
    """Reads every node when made, and again for the rates since then."""

    def __init__(self, cluster: HollowCluster) -> None:
        self._cluster = cluster
        self._since = cluster.now
        self._before = {id(node): (node, _read(node)) for node in cluster.nodes}

    def rates(self) -> NodeRates:
        """Returns the rates since the meter was made; killed nodes count until they were killed."""
        for node in self._cluster.nodes:
            self._before.setdefault(id(node), (node, NO_READING))
        spent = [_difference(_read(node), before) for node, before in self._before.values()]
        seconds = max(self._cluster.now - self._since, 1e-9)
        node_seconds = seconds * len(spent)
        most = max(item.bytes_sent + item.bytes_received for item in spent)
        return NodeRates(
            bytes_sent=sum(item.bytes_sent for item in spent) / node_seconds,
            bytes_received=sum(item.bytes_received for item in spent) / node_seconds,
            bytes_most=most / seconds,
            datagrams=sum(item.datagrams for item in spent) / node_seconds,
            messages=sum(item.messages for item in spent) / node_seconds,
            processor_share=sum(item.processor_time for item in spent) / node_seconds,
        )


def _read(node: HollowNode) -> _Reading:
    traffic = node.traffic
    return _Reading(
        traffic.bytes_sent,
        traffic.bytes_received,
        traffic.datagrams_sent,
        traffic.messages_sent,
        node.processor_time,
    )


def _difference(after: _Reading, before: _Reading) -> _Reading:
    return _Reading(
        after.bytes_sent - before.bytes_sent,
        after.bytes_received - before.bytes_received,
        after.datagrams - before.datagrams,
        after.messages - before.messages,
        after.processor_time - before.processor_time,
    )
