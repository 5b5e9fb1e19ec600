"""Accepts or refuses the startup of a session.

While the process has no configuration or knows no database, the startup message waits up to
STARTUP_WAIT_SECONDS: a process that has just started usually learns both in that time. So does one
for a route that is unknown by a configuration without a recent confirmation: the route may have
been added since.
"""

from collections.abc import Callable

from dewledge.core.pooler.sessions.authorization import Authorization
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sessions.session_state import SessionState
from dewledge.core.pooler.statements.retry_times import RETRY_AFTER_STARTING_MS, not_run_text
from dewledge.core.pooler.statements.statements import Failure, Startup
from dewledge.core.shared.caller_credentials import credential_digest
from dewledge.errors import ErrorCode

STARTUP_WAIT_SECONDS = 1.6
"""Seconds that a new session waits for the process's configuration; less than the 2 s after which
clients give up."""


class SessionStart:
    """Startup of a session; succeeds at most once."""

    __slots__ = (
        "_on_accepted",
        "_authorization",
        "_waiting_startup",
        "_is_accepted",
        "_name",
        "_on_refused",
        "_services",
    )

    def __init__(
        self,
        name: str,
        services: PoolServices,
        authorization: Authorization,
        on_accepted: Callable[[SessionState], None],
        on_refused: Callable[[Failure], None],
    ) -> None:
        self._name = name
        self._services = services
        self._authorization = authorization
        self._on_accepted = on_accepted
        self._on_refused = on_refused
        self._waiting_startup: Startup | None = None
        self._is_accepted = False

    def begin(self, startup: Startup) -> None:
        """Handles a startup message; refuses any after the first."""
        if self._is_accepted or self._waiting_startup is not None:
            self._on_refused(Failure(ErrorCode.MALFORMED_REQUEST, "the session stands already"))
        elif not self._services.is_configured:
            self._services.call_when_configured(self._begin_waiting)
            self._wait(startup)
        elif self._may_lack_route(startup):
            age = self._services.configuration_age
            age.call_when_recent(self._begin_waiting, STARTUP_WAIT_SECONDS)
            self._wait(startup)
        else:
            self._accept(startup)

    def withdraw(self) -> None:
        """Drops a waiting startup message: the client's connection is closed."""
        self._waiting_startup = None

    def _may_lack_route(self, startup: Startup) -> bool:
        """Returns whether the route is unknown by a configuration that may not be the newest."""
        is_known = self._services.routes.find_route(startup.database) is not None
        return not is_known and not self._services.configuration_age.is_recent

    def _wait(self, startup: Startup) -> None:
        self._waiting_startup = startup
        self._services.scheduler.call_later(STARTUP_WAIT_SECONDS, self._refuse_waiting)

    def _accept(self, startup: Startup) -> None:
        digest = credential_digest(startup.token)
        authorized = self._authorization.authorize(startup.database, digest)
        if isinstance(authorized, Failure):
            self._on_refused(authorized)
            return
        self._is_accepted = True
        self._on_accepted(SessionState(self._name, startup.database, digest))

    def _begin_waiting(self) -> None:
        startup, self._waiting_startup = self._waiting_startup, None
        if startup is not None:
            self.begin(startup)

    def _refuse_waiting(self) -> None:
        if self._waiting_startup is not None:
            self._waiting_startup = None
            message = not_run_text(RETRY_AFTER_STARTING_MS)
            self._on_refused(Failure(ErrorCode.OVERLOADED, message))
