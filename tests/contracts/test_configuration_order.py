"""A proxy never goes back to an older revision, in whatever order answers reach it."""

from unittest.mock import patch

from dewledge.core.proxy.assembly.parts import ProxyCoreSettings
from dewledge.core.proxy.assembly.router import ProxyRouter
from dewledge.core.proxy.configuration.codec import decode_snapshot
from dewledge.core.proxy.configuration.spread import ConfigurationSpread, SpreadSettings
from dewledge.core.proxy.messages import ConfigurationSnapshotMessage
from dewledge.simulation.faults import Fault, FaultKind
from dewledge.simulation.violations import Promise
from tests.contracts.fault_table import ContractTestCase, Expected, Row

CHANGES = tuple(Fault(FaultKind.TWO_CHANGES, 0.5 + 0.15 * number) for number in range(30))
FROZEN = (Fault(FaultKind.PROXY_FROZEN, 0.9, 2.5), Fault(FaultKind.PROXY_FROZEN, 1.3, 2.5))
LOST = Fault(FaultKind.MESSAGES_LOST, 0.1, 5.0)
REORDERED = Fault(FaultKind.MESSAGES_REORDERED, 0.1, 5.0)
ACCEPTED = (Expected.ACCEPTED,)

ROWS = (
    Row("asked peers frozen, answers lost", (*FROZEN, LOST, *CHANGES), ACCEPTED),
    Row("asked peers frozen, answers reordered", (*FROZEN, REORDERED, *CHANGES), ACCEPTED),
    Row(
        "a proxy killed and restarted between changes",
        (Fault(FaultKind.PROXY_KILLED, 1.0, 0.5), REORDERED, *CHANGES),
        ACCEPTED,
    ),
    Row(
        "store down between changes",
        (Fault(FaultKind.STORE_DOWN, 1.5, 1.0), LOST, *CHANGES),
        ACCEPTED,
    ),
)

_dispatch = ConfigurationSpread._dispatch


def take_what_arrives(self, peer, message, now):  # type: ignore[no-untyped-def]
    """Puts in force whatever snapshot arrives last."""
    if not isinstance(message, ConfigurationSnapshotMessage):
        _dispatch(self, peer, message, now)
        return
    configuration = decode_snapshot(message.snapshot)
    if configuration.revision != self.configuration.revision:
        self._put_in_force(configuration)


def route_what_arrives(self, effect, now):  # type: ignore[no-untyped-def]
    """Hands any configuration on, an older one too."""
    self.configuration = effect.configuration
    self.policy = self._make_policy()
    self._parts.membership.local_revision = effect.configuration.revision
    self._outward.append(effect)
    return self.put_in_force(now)


class ConfigurationOrderTest(ContractTestCase):
    """Changes are not pushed, and no history is kept: each proxy asks, and is sent snapshots."""

    rate = 5.0
    load_time = 2.0
    settle = 7.0
    settings = ProxyCoreSettings(spread=SpreadSettings(history_length=0, push_fanout=0))
    naive_seeds = 12

    def test_faults(self) -> None:
        self.check_rows(ROWS)

    def test_taking_what_arrives_last_is_found(self) -> None:
        with (
            patch.object(ConfigurationSpread, "_dispatch", take_what_arrives),
            patch.object(ProxyRouter, "_configuration_changed", route_what_arrives),
        ):
            self.check_naive(ROWS[0].faults, Promise.CONFIGURATION_NEVER_REVERTS)
