"""A planned stop: what a process does from the signal to its end, and whether it is ready.

Owns the moment at which the stop began. Within the bound of the settings, measured from there:
at once no new sessions and, at other processes, nothing new through this one; clients leave at
their next rest; from TAKE_SHARE of the bound on nothing begins; from half of it on transactions are
rolled back; it ends when nothing is left, at END_SHARE of the bound at the latest.
"""

from collections.abc import Callable

from loguru import logger

from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.shell.pooler.links.channel_server import ChannelServer
from dewledge.shell.pooler.links.client_listener import ClientListener
from dewledge.shell.pooler.settings_file import CurrentSettings

TAKE_SHARE = 0.55
"""Of a planned stop's time; what is taken later might be cut by the end of the process."""
TRANSACTION_SHARE = 0.5
"""Of a planned stop's time, which open transactions have to end."""
END_SHARE = 0.9
"""Of a planned stop's time; the rest is for the end of the process itself."""


class Readiness:
    """Whether new connections should come to this process."""

    def __init__(self, services: PoolServices) -> None:
        self._services = services
        self._leaving_since: float | None = None

    @property
    def leaving_since(self) -> float | None:
        """When the planned stop began (steady clock, seconds), None if it has not."""
        return self._leaving_since

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self._leaving_since is not None

    @property
    def is_ready(self) -> bool:
        """Whether the process can serve and is not about to leave."""
        return self._leaving_since is None and self._services.is_configured

    def leave(self, now: float) -> None:
        """A planned stop begins."""
        self._leaving_since = now


class PlannedStop:
    """All methods belong to the loop's thread."""

    def __init__(
        self,
        readiness: Readiness,
        services: PoolServices,
        clients: ClientListener,
        lending: ChannelServer,
        settings: CurrentSettings,
        finish: Callable[[], None],
    ) -> None:
        """`finish`: called once when the process may end."""
        self._readiness = readiness
        self._services = services
        self._clients = clients
        self._lending = lending
        self._settings = settings
        self._finish = finish

    def begin(self, now: float) -> None:
        """Begins the stop; a second call changes nothing."""
        if self._readiness.is_leaving:
            return
        self._readiness.leave(now)
        self._lending.leave()
        logger.bind(
            sessions=len(self._clients.connections), channels=self._lending.channel_count
        ).info("pooler_leaving")

    def go_on(self, now: float) -> None:
        """Does what is due by now; nothing before the stop has begun."""
        since = self._readiness.leaving_since
        if since is None:
            return
        elapsed, bound = now - since, self._settings.present.timings.stop_bound
        if elapsed > bound * TAKE_SHARE and not self._services.is_ending:
            self._services.is_ending = True
            self._clients.close()
        for connection in list(self._clients.connections):
            if elapsed > bound * TRANSACTION_SHARE:
                connection.session.end_transaction("planned_stop")
            connection.leave()
        is_done = not self._clients.connections and self._lending.at_rest
        if (elapsed > bound * TRANSACTION_SHARE and is_done) or elapsed > bound * END_SHARE:
            self._finish()
