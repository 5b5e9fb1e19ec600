"""Graceful shutdown of a process, and its readiness.

The shutdown is limited by the setting `timings.stop_bound`, counted from its beginning. At once the
process reports that it is not ready and asks other processes to send it no new work; each client
connection is closed when it is idle. After TRANSACTION_SHARE of the limit, idle open transactions
are rolled back; after TAKE_SHARE, new connections and statements are refused. The process ends when
no work is left, at the earliest after TRANSACTION_SHARE, at the latest after END_SHARE.
"""

from collections.abc import Callable

from loguru import logger

from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.shell.pooler.links.channel_server import ChannelServer
from dewledge.shell.pooler.links.client_listener import ClientListener
from dewledge.shell.pooler.settings_file import CurrentSettings

TAKE_SHARE = 0.55
"""Ratio of the limit after which new work is refused: it might not finish before the end."""
TRANSACTION_SHARE = 0.5
"""Ratio of the limit that clients have to end their open transactions."""
END_SHARE = 0.9
"""Ratio of the limit after which the process ends; the rest is for closing its resources."""


class Readiness:
    """Whether this process should receive new connections."""

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
        """Whether the process is configured and no planned stop has begun."""
        return self._leaving_since is None and self._services.is_configured

    def leave(self, now: float) -> None:
        """Records that a planned stop began at `now`."""
        self._leaving_since = now


class PlannedStop:
    """Runs the steps of a graceful shutdown. Call only from the event loop's thread."""

    def __init__(
        self,
        readiness: Readiness,
        services: PoolServices,
        clients: ClientListener,
        lending: ChannelServer,
        settings: CurrentSettings,
        finish: Callable[[], None],
    ) -> None:
        """`finish`: called when the process may end."""
        self._readiness = readiness
        self._services = services
        self._clients = clients
        self._lending = lending
        self._settings = settings
        self._finish = finish

    def begin(self, now: float) -> None:
        """Begins the stop; later calls have no effect."""
        if self._readiness.is_leaving:
            return
        self._readiness.leave(now)
        self._lending.leave()
        logger.bind(
            sessions=len(self._clients.connections), channels=self._lending.channel_count
        ).info("pooler_leaving")

    def go_on(self, now: float) -> None:
        """Performs the steps that are due; does nothing before the stop has begun."""
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
