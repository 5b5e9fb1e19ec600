"""Who a client is, and which route it gets: by the configuration in force at this moment.

Inputs: the database name and the digest of the credential that the client showed, and the route
table. Decision: the route and the caller's name, or the failure that the client is told. Reason: a
credential that is taken away must not begin anything more, so each operation asks anew.
"""

import msgspec

from dewledge.core.pooler.sessions.routes import Route
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sessions.session_state import SessionState
from dewledge.core.pooler.statements.statements import Failure
from dewledge.errors import ErrorCode


class Authorized(msgspec.Struct, frozen=True):
    """The client may use the route as this caller."""

    route: Route
    caller: str


UNKNOWN_ROUTE_FAILURE = Failure(ErrorCode.UNKNOWN_GROUP, "no route of this name")
UNKNOWN_CALLER_FAILURE = Failure(ErrorCode.UNAUTHENTICATED, "no caller has this token")


class Authorization:
    """Of one session."""

    __slots__ = ("_services", "_session")

    def __init__(self, session: str, services: PoolServices) -> None:
        self._session = session
        self._services = services

    def authorize(self, database: str, digest: str) -> Authorized | Failure:
        """Returns the route and the caller; logs a credential that no caller has."""
        routes = self._services.routes
        route = routes.find_route(database)
        if route is None:
            return UNKNOWN_ROUTE_FAILURE
        caller = routes.authenticate(route, digest)
        if caller is None:
            self._services.denials.record_denial(self._session, route.name, routes.version)
            return UNKNOWN_CALLER_FAILURE
        return Authorized(route, caller)

    def is_transaction_authorized(self, state: SessionState) -> bool:
        """Tells whether the open transaction's caller still has the client's credential."""
        assert state.transaction is not None
        caller = self._services.routes.authenticate(
            state.transaction.route, state.credential_digest
        )
        return caller == state.caller
