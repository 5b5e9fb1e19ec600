"""Whatever event comes first after a freeze, no new work reaches a database that may be drained."""

import unittest
from collections.abc import Callable
from random import Random
from typing import Any

from dewledge.core.proxy.assembly.core import ProxyCore
from dewledge.core.proxy.assembly.effects import ProxyEffect
from dewledge.core.proxy.assembly.parts import ProxyCoreSettings
from dewledge.core.proxy.calls import Access, CallerRequest, Operation, Rows, Statement
from dewledge.core.proxy.configuration.codec import encode_change
from dewledge.core.proxy.configuration.configuration import ChangeSet
from dewledge.core.proxy.configuration.store import StoreCaller, StoreResult
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.effects import OpenConnection, RunJob
from dewledge.core.proxy.entry.session_token import SessionTokenCodec
from dewledge.core.proxy.jobs import JobDone, StatusReading
from dewledge.core.proxy.membership.member import Member
from dewledge.core.proxy.messages import (
    CancelRequest,
    ConfigurationDelta,
    ConfigurationDigest,
    StatementRequest,
)
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from tests.core.proxy.gateway.gateway_harness import GROUP, PRIMARY, make_configuration

PEER = "elsewhere"
FREEZE_SECONDS = 60.0
REMAINING_SECONDS = 2 * FREEZE_SECONDS
TICKS_BEFORE = 3
"""So many ticks, until the proxy is in contact with itself, its only member."""

Event = Callable[["FrozenProxy"], list[ProxyEffect]]


class FrozenProxy:
    """A lone proxy with one open connection that runs a read, one opening, and a waiting BEGIN."""

    def __init__(self) -> None:
        me = Member("here", "127.0.0.1:1", "127.0.0.1:2", "zone", incarnation=1)
        codec = SessionTokenCodec([b"a session key for tests, long enough"])
        self.core = ProxyCore(me, ProxyCoreSettings(), codec, Random(1))
        self.now = 100.0
        effects = self.core.start((), self.now)
        for _ in range(TICKS_BEFORE):
            self.now += 0.01
            effects += self.core.tick(self.now)
        resources = tuple(make_configuration(slots=2).resources.values())
        change = ChangeSet(1, "change-1", "operator", resources)
        delta = ConfigurationDelta(0, (encode_change(change),))
        effects += self.core.handle_peer_message(PEER, delta, self.now)
        opening = [it.connection_id for it in effects if _opens_primary(it)]
        self.connection, self.other_connection = opening
        effects = self.core.handle_connection_opened(self.connection, self.now)
        effects += self._request(1, Operation.EXECUTE)
        self.job = next(it.job.job_id for it in effects if isinstance(it, RunJob))
        self._request(2, Operation.BEGIN)

    def freeze(self) -> None:
        """Lets time pass without any event."""
        self.now += FREEZE_SECONDS

    def job_done(self) -> list[ProxyEffect]:
        """Brings the read's result."""
        result = JobDone(self.job, DatabaseRole.PRIMARY, LogPosition(1, 1), Rows())
        return self.core.handle_job_result(result, self.now)

    def call(self) -> list[ProxyEffect]:
        """Brings a caller's request."""
        request = CallerRequest(1, "caller", GROUP, self.now + 1.0, statement=Statement("x"))
        return self.core.handle_call(request, self.now)

    def _request(self, correlation: int, operation: Operation) -> list[ProxyEffect]:
        request = StatementRequest(
            correlation,
            "caller",
            GROUP,
            PRIMARY,
            operation,
            Access.READ,
            REMAINING_SECONDS,
            Statement("select 1") if operation is Operation.EXECUTE else None,
        )
        return self.core.handle_peer_message(PEER, request, self.now)


def _opens_primary(effect: Any) -> bool:
    return isinstance(effect, OpenConnection) and effect.database == PRIMARY


STORE_DOWN = StoreResult(StoreCaller.POLLER, 1, code=ErrorCode.STORE_UNAVAILABLE)

EVENTS: dict[str, Event] = {
    "tick": lambda it: it.core.tick(it.now),
    "a caller's request": FrozenProxy.call,
    "a caller gone": lambda it: it.core.handle_caller_gone(1, it.now),
    "a connection opened": lambda it: it.core.handle_connection_opened(it.other_connection, it.now),
    "a connection failed": lambda it: it.core.handle_connection_failed(
        it.other_connection, ErrorCode.CONNECTION_LIMIT, it.now
    ),
    "a job's result": FrozenProxy.job_done,
    "a status reading": lambda it: it.core.handle_status_reading(
        1, StatusReading(PRIMARY, None), it.now
    ),
    "a cancel": lambda it: it.core.handle_peer_message(PEER, CancelRequest(1), it.now),
    "a peer's configuration": lambda it: it.core.handle_peer_message(
        PEER, ConfigurationDigest(1), it.now
    ),
    "a peer connected": lambda it: it.core.handle_peer_connected(PEER, 7, it.now),
    "a peer's requests lost": lambda it: it.core.handle_inbound_lost("third", it.now),
    "a link lost": lambda it: it.core.handle_outbound_lost(PEER, (), it.now),
    "a request unsent": lambda it: it.core.handle_requests_unsent(PEER, (1,), it.now),
    "a datagram": lambda it: it.core.handle_datagram(b"\xff", "127.0.0.1:3", it.now),
    "the machine list": lambda it: it.core.handle_machine_list((), it.now),
    "a poll's result": lambda it: it.core.handle_store_result(STORE_DOWN, it.now),
    "the planned stop": lambda it: it.core.leave(it.now),
}


class FirstEventAfterFreezeTest(unittest.TestCase):
    def test_begins_no_work(self) -> None:
        for name, event in EVENTS.items():
            with self.subTest(name):
                proxy = FrozenProxy()
                self.assertTrue(proxy.core.is_serving)
                proxy.freeze()
                effects = event(proxy)
                begun = [it for it in effects if isinstance(it, OpenConnection | RunJob)]
                self.assertEqual(begun, [])

    def test_takes_none_up_later(self) -> None:
        """The BEGIN that waited is refused, not begun with the next connection."""
        for name, event in EVENTS.items():
            with self.subTest(name):
                proxy = FrozenProxy()
                proxy.freeze()
                event(proxy)
                effects = proxy.job_done()
                effects += proxy.core.handle_connection_opened(proxy.other_connection, proxy.now)
                begun = [it for it in effects if isinstance(it, OpenConnection | RunJob)]
                self.assertEqual(begun, [])

    def test_without_a_freeze_the_connection_takes_the_begin(self) -> None:
        proxy = FrozenProxy()
        effects = proxy.core.handle_connection_opened(proxy.other_connection, proxy.now)
        jobs = [it.job.operation for it in effects if isinstance(it, RunJob)]
        self.assertEqual(jobs, [Operation.BEGIN])


if __name__ == "__main__":
    unittest.main()
