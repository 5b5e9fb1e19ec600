"""Callers: authentication by token, admission, connections per caller, and revoked tokens."""

import unittest

import msgspec

from dewledge.core.pooler.events import OperationHeld, OperationNotAdmitted, SessionDenied
from dewledge.core.pooler.load.policy import LoadPolicy
from dewledge.core.pooler.load.verdict import RefusalCause
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.waiter import Waiter
from dewledge.core.pooler.rate_limits.admission import (
    AdmissionRequest,
    OnDecided,
    PendingAdmission,
    Refusal,
)
from dewledge.core.pooler.rate_limits.token_reservations import KeptToken
from dewledge.core.pooler.sharing.holders import Holding
from dewledge.core.pooler.statements.statements import StatementKind, TransactionState
from dewledge.core.shared.caller_credentials import credential_digest
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import ModelGroup, ModelScheduler, PoolerHarness

NORTH, SOUTH = "north", "south"
TOKENS = {
    credential_digest("first"): NORTH,
    credential_digest("second"): NORTH,
    credential_digest("third"): SOUTH,
}
WITHOUT_FIRST = {credential_digest("second"): NORTH, credential_digest("third"): SOUTH}


class CallerCase(unittest.TestCase):
    def setUp(self) -> None:
        self.pooler = PoolerHarness()
        self.set_tokens(TOKENS)

    def set_tokens(self, tokens: dict[str, str] | None, is_public: bool = False) -> None:
        table = self.pooler.services.routes
        routes = {
            name: msgspec.structs.replace(route, is_public=is_public)
            for name, route in table.routes.items()
        }
        self.pooler.services.routes = msgspec.structs.replace(
            table, version=table.version + 1, routes=routes, callers=tokens
        )

    def received_callers(self) -> list[str]:
        return [ran.caller for ran in self.pooler.model.ran]


class TokenTest(CallerCase):
    def test_database_receives_caller_name_instead_of_token(self) -> None:
        for token in ("first", "third"):
            self.assertIsNone(self.pooler.session(token=token).write().failure)
        self.assertEqual(self.received_callers(), [NORTH, SOUTH])

    def test_unknown_token_is_refused(self) -> None:
        for token in ("", "fourth", NORTH, credential_digest("first"), "first "):
            with self.subTest(token):
                refused = self.pooler.session(token=token).client.refused
                assert refused is not None
                self.assertEqual(refused.code, ErrorCode.UNAUTHENTICATED)
                self.assertNotIn(token or "none", refused.message)
        self.pooler.scheduler.advance(1.0)
        denied = [event for event in self.pooler.events if isinstance(event, SessionDenied)]
        self.assertEqual([event.tries for event in denied], [1, 4])

    def test_public_route_needs_no_token(self) -> None:
        self.set_tokens(TOKENS, is_public=True)
        for token in ("first", "unknown"):
            self.assertIsNone(self.pooler.session(token=token).write().failure)
        self.assertEqual(self.received_callers(), ["", ""])

    def test_any_token_is_accepted_without_configured_callers(self) -> None:
        self.set_tokens(None)
        self.assertIsNone(self.pooler.session(token="anything").write().failure)

    def test_each_statement_is_authorized_by_current_configuration(self) -> None:
        session = self.pooler.session(token="first")
        self.assertIsNone(session.write().failure)
        self.set_tokens(WITHOUT_FIRST)
        for reply in (session.write(), session.read(), session.ask(StatementKind.BEGIN)):
            assert reply.failure is not None
            self.assertEqual(reply.failure.code, ErrorCode.UNAUTHENTICATED)
            self.assertIs(reply.state, TransactionState.IDLE)
        self.set_tokens(TOKENS)
        self.assertIsNone(session.write().failure)
        self.assertEqual(len(self.pooler.model.commits), 2)

    def test_token_reassigned_to_another_caller_uses_its_connections(self) -> None:
        session = self.pooler.session(token="first")
        session.write()
        self.set_tokens({credential_digest("first"): SOUTH})
        session.write()
        self.assertEqual(self.received_callers(), [NORTH, SOUTH])

    def test_other_token_of_same_caller_stays_valid(self) -> None:
        session = self.pooler.session(token="second")
        self.set_tokens(WITHOUT_FIRST)
        self.assertIsNone(session.write().failure)


class RevokedTokenTransactionTest(CallerCase):
    def setUp(self) -> None:
        super().setUp()
        self.session = self.pooler.session(token="first")
        self.session.ask(StatementKind.BEGIN)
        self.assertIsNone(self.session.write().failure)
        self.set_tokens(WITHOUT_FIRST)

    def test_next_statement_reports_lost_transaction(self) -> None:
        reply = self.session.write()
        assert reply.failure is not None
        self.assertEqual(reply.failure.code, ErrorCode.TRANSACTION_LOST)
        self.assertIs(reply.state, TransactionState.FAILED)
        self.assertIsNone(self.session.ask(StatementKind.ROLLBACK).failure)
        self.assertEqual(self.pooler.model.commits, [])

    def test_commit_reports_lost_transaction(self) -> None:
        reply = self.session.ask(StatementKind.COMMIT)
        assert reply.failure is not None
        self.assertEqual(reply.failure.code, ErrorCode.TRANSACTION_LOST)
        self.assertIs(reply.state, TransactionState.IDLE)
        self.assertEqual(self.pooler.model.commits, [])

    def test_idle_transaction_is_rolled_back(self) -> None:
        self.session.session.end_transaction_if_unauthorized()
        self.pooler.scheduler.advance(0.1)
        self.assertEqual(self.pooler.model.proxy_requests[-1], StatementKind.ROLLBACK)
        self.assertIsNone(self.session.session.idle_since())


class ModelAdmission:
    """Admission that applies the decision set by a test, at once or later."""

    def __init__(self) -> None:
        self.refusal: Refusal | None = None
        self.is_late = False
        self.applications: list[PendingAdmission] = []
        self.requests: list[AdmissionRequest] = []
        self.served: list[float] = []

    def submit(self, request: AdmissionRequest, on_decided: OnDecided) -> PendingAdmission:
        self.requests.append(request)
        application = PendingAdmission(request, 0.0, 1, on_decided)
        self.applications.append(application)
        if not self.is_late:
            application.decide(self.refusal)
        return application

    def record_served(self, seconds: float) -> None:
        self.served.append(seconds)


class AdmissionTest(CallerCase):
    def setUp(self) -> None:
        super().setUp()
        self.admission = ModelAdmission()
        self.pooler.services.admission = self.admission
        self.session = self.pooler.session(token="first")

    def test_transaction_counts_as_one_operation(self) -> None:
        self.session.write()
        self.session.ask(StatementKind.BEGIN)
        for _ in range(3):
            self.session.write()
        self.session.ask(StatementKind.COMMIT)
        self.assertEqual([each.caller for each in self.admission.applications], [NORTH] * 2)

    def test_refused_operation_does_not_run_and_gets_retry_time(self) -> None:
        self.admission.refusal = Refusal(70, RefusalCause.OVER_LIMIT)
        for is_late in (False, True):
            self.admission.is_late = is_late
            statement = self.session.start(StatementKind.WRITE, argument="thing data")
            self.admission.applications[-1].decide(self.admission.refusal)
            reply = self.session.reply(statement)
            assert reply.failure is not None
            self.assertEqual(reply.failure.code, ErrorCode.RATE_LIMITED)
            self.assertIn("70 ms", reply.failure.message)
        self.assertEqual(self.pooler.model.ran, [])
        refusal_events = [
            event for event in self.pooler.events if isinstance(event, OperationNotAdmitted)
        ]
        self.assertEqual(len(refusal_events), 2)

    def test_retry_at_promised_time_redeems_reserved_token(self) -> None:
        now = self.pooler.scheduler.now()
        kept = KeptToken(NORTH, 7, now + 0.07)
        self.admission.refusal = Refusal(70, RefusalCause.OVER_LIMIT, kept)
        self.session.write()
        state = self.session.session._state
        assert state is not None and state.ticket is not None
        self.assertEqual((state.ticket.arrived, state.ticket.return_at), (now, kept.return_at))
        self.pooler.scheduler.advance(0.07)
        self.admission.refusal = None
        for _ in range(2):
            self.assertIsNone(self.session.write().failure)
        self.assertEqual([wish.kept for wish in self.admission.requests], [None, kept, None])
        refusal_events = [
            event for event in self.pooler.events if isinstance(event, OperationNotAdmitted)
        ]
        self.assertEqual([event.is_kept for event in refusal_events], [True])

    def test_delayed_operation_is_logged_and_served_time_starts_at_admission(self) -> None:
        self.admission.is_late = True
        statement = self.session.start(StatementKind.WRITE, argument="thing data")
        self.pooler.scheduler.advance(0.15)
        self.admission.applications[0].decide(None)
        self.pooler.scheduler.advance(0.3)
        self.assertIsNone(self.session.reply(statement).failure)
        wait_events = [event for event in self.pooler.events if isinstance(event, OperationHeld)]
        self.assertEqual([(event.caller, event.waited_ms) for event in wait_events], [(NORTH, 150)])
        self.assertEqual(len(self.admission.served), 1)
        self.assertLess(self.admission.served[0], 0.15)

    def test_token_reservation_can_be_disabled(self) -> None:
        self.session.write()
        self.pooler.services.load_policy = LoadPolicy(kept_tokens=False)
        self.session.write()
        self.assertEqual([wish.keeps for wish in self.admission.requests], [True, False])

    def test_refused_admission_fails_transaction(self) -> None:
        self.admission.refusal = Refusal(70, RefusalCause.OVER_LIMIT)
        self.session.ask(StatementKind.BEGIN)
        self.assertIs(self.session.write().state, TransactionState.FAILED)
        self.assertIs(self.session.ask(StatementKind.COMMIT).state, TransactionState.IDLE)

    def test_statements_behind_waiting_operation_keep_order(self) -> None:
        self.admission.is_late = True
        for _ in range(2):
            self.session.start(StatementKind.WRITE, argument="thing data")
        self.assertEqual(len(self.admission.applications), 1)
        self.admission.applications[0].decide(None)
        self.pooler.scheduler.advance(0.3)
        self.assertEqual(len(self.admission.applications), 2)

    def test_disconnect_withdraws_waiting_operation(self) -> None:
        self.admission.is_late = True
        self.session.start(StatementKind.WRITE, argument="thing data")
        self.session.session.end()
        self.admission.applications[0].decide(None)
        self.pooler.scheduler.advance(0.3)
        self.assertEqual(self.pooler.model.ran, [])


class PoolTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = ModelScheduler()
        self.model = ModelGroup(self.scheduler)
        self.pool = ConnectionPool("p", 2, self.model, self.scheduler.now)
        self.acquired: list[DatabaseConnection] = []

    def acquire(self, caller: str) -> None:
        waiter = Waiter(1, self.acquired.append, lambda denial: None, caller=caller)
        self.pool.acquire(waiter, {})
        self.scheduler.advance(0.1)

    def use(self, caller: str) -> DatabaseConnection:
        self.acquire(caller)
        self.pool.release(self.acquired[-1])
        return self.acquired[-1]

    def test_connection_serves_only_its_caller(self) -> None:
        first = self.use(NORTH)
        other = self.use(SOUTH)
        self.assertIsNot(first, other)
        self.assertIs(self.use(NORTH), first)
        self.assertEqual([each.caller for each in (first, other)], [NORTH, SOUTH])

    def test_longest_idle_connection_is_closed_at_the_limit(self) -> None:
        first, second = self.use("a"), self.use("b")
        self.use("c")
        self.assertTrue(first.closed)
        self.assertFalse(second.closed)
        self.assertEqual(self.model.databases["p"].open_connections, 2)

    def test_connection_in_use_is_not_closed_for_another_caller(self) -> None:
        for caller in "ab":
            self.acquire(caller)
        self.acquire("c")
        self.assertEqual(len(self.acquired), 2)
        self.pool.release(self.acquired[0])
        self.scheduler.advance(0.1)
        self.assertEqual([each.caller for each in self.acquired], ["a", "b", "c"])
        self.assertEqual(self.model.databases["p"].open_connections, 2)

    def test_caller_with_idle_connection_does_not_wait_for_new_connection(self) -> None:
        self.use("a")
        self.model.databases["p"].refuse_connections = True
        blocked = Waiter(0, self.acquired.append, lambda denial: None, caller="b")
        self.pool.acquire(blocked, {})
        self.acquire("a")
        self.assertEqual(len(self.acquired), 2)


class HolderSelectionTest(unittest.TestCase):
    def test_all_processes_select_same_holder_for_caller(self) -> None:
        one = Holding(0, ("h1", "h2", "h3", "spare"), 3)
        other = Holding(0, ("h3", "h1", "h2", "spare"), 3)
        firsts = set()
        for number in range(20):
            order = one.holders_for(f"caller{number}")
            self.assertEqual(order, other.holders_for(f"caller{number}"))
            self.assertEqual(order[-1], "spare")
            firsts.add(order[0])
        self.assertEqual(firsts, {"h1", "h2", "h3"})
        self.assertEqual(other.holders_for(""), other.holders)


if __name__ == "__main__":
    unittest.main()
