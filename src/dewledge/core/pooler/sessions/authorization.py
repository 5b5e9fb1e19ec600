"""Authorizes a client: finds its route and its caller in the current configuration.

Each operation is authorized again, so that a revoked credential cannot start any further operation.
"""

import msgspec

from dewledge.core.pooler.events import RouteUnknown
from dewledge.core.pooler.sessions.routes import Route
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sessions.session_state import SessionState
from dewledge.core.pooler.statements.statements import Failure
from dewledge.errors import ErrorCode


class Authorized(msgspec.Struct, frozen=True):
    """The route that a client may use, and the name of its caller."""

    route: Route
    caller: str


UNKNOWN_ROUTE_FAILURE = Failure(ErrorCode.UNKNOWN_GROUP, "no route of this name")
UNKNOWN_CALLER_FAILURE = Failure(ErrorCode.UNAUTHENTICATED, "no caller has this token")


class Authorization:
    """Authorizes the operations of a session."""

    __slots__ = ("_services", "_session")

    def __init__(self, session: str, services: PoolServices) -> None:
        self._session = session
        self._services = services

    def authorize(self, database: str, digest: str) -> Authorized | Failure:
        """Returns the route and the caller, or the failure to send to the client.

        An unknown credential is also reported to the denial log.
        """
        routes = self._services.routes
        route = routes.find_route(database)
        if route is None:
            self._record_unknown_route(database)
            return UNKNOWN_ROUTE_FAILURE
        caller = routes.authenticate(route, digest)
        if caller is None:
            self._services.denials.record_denial(self._session, route.name, routes.version)
            return UNKNOWN_CALLER_FAILURE
        return Authorized(route, caller)

    def _record_unknown_route(self, database: str) -> None:
        services = self._services
        age_ms = services.configuration_age.milliseconds
        services.record(RouteUnknown(self._session, database, services.routes.version, age_ms))

    def is_transaction_authorized(self, state: SessionState) -> bool:
        """Returns whether the credential still belongs to the open transaction's caller."""
        assert state.transaction is not None
        caller = self._services.routes.authenticate(
            state.transaction.route, state.credential_digest
        )
        return caller == state.caller
