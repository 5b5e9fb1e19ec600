"""Graceful shutdown of a process, and its readiness.

The shutdown is limited by the setting `timings.stop_bound`, counted from its beginning. At once the
process reports that it is not ready and asks other processes to send it no new work; each client
connection is closed when it is idle. After END_TRANSACTIONS_RATIO of the limit, idle open
transactions are rolled back; after REFUSE_WORK_RATIO, new connections and statements are refused.
The process ends when no work is left, at the earliest after END_TRANSACTIONS_RATIO, at the latest
after END_PROCESS_RATIO. Answers that are still being sent are work.
"""

from collections.abc import Callable

from loguru import logger

from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.shell.pooler.links.channel_server import ChannelServer
from dewledge.shell.pooler.links.client_listener import ClientListener
from dewledge.shell.pooler.settings_file import CurrentSettings

REFUSE_WORK_RATIO = 0.55
"""Ratio of the limit after which new work is refused: it might not finish before the end."""
END_TRANSACTIONS_RATIO = 0.5
"""Ratio of the limit after which idle open transactions are rolled back."""
END_PROCESS_RATIO = 0.9
"""Ratio of the limit after which the process ends; the rest is for closing its resources."""


class Readiness:
    """Records whether a planned stop has begun, and determines whether the process is ready."""

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

    def start_leaving(self, now: float) -> None:
        """Records that a planned stop began at `now`."""
        self._leaving_since = now


class PlannedStop:
    """Runs the steps of a graceful shutdown. Call only from the event loop's thread."""

    def __init__(
        self,
        readiness: Readiness,
        services: PoolServices,
        clients: ClientListener,
        channel_server: ChannelServer,
        settings: CurrentSettings,
        finish: Callable[[], None],
    ) -> None:
        """`finish`: called when the process may end."""
        self._readiness = readiness
        self._services = services
        self._clients = clients
        self._channel_server = channel_server
        self._settings = settings
        self._finish = finish

    def begin(self, now: float) -> None:
        """Begins the stop; later calls have no effect."""
        if self._readiness.is_leaving:
            return
        self._readiness.start_leaving(now)
        self._channel_server.leave()
        logger.bind(
            sessions=len(self._clients.connections), channels=self._channel_server.channel_count
        ).info("pooler_leaving")

    def advance(self, now: float) -> None:
        """Performs the steps that are due; does nothing before the stop has begun."""
        leaving_since = self._readiness.leaving_since
        if leaving_since is None:
            return
        elapsed, bound = now - leaving_since, self._settings.current.timings.stop_bound
        if elapsed > bound * REFUSE_WORK_RATIO and not self._services.is_ending:
            self._services.is_ending = True
            self._clients.close()
        for connection in list(self._clients.connections):
            if elapsed > bound * END_TRANSACTIONS_RATIO:
                connection.session.end_transaction("planned_stop")
            connection.leave()
        may_end = elapsed > bound * END_TRANSACTIONS_RATIO and self._is_work_done
        if may_end or elapsed > bound * END_PROCESS_RATIO:
            self._finish()

    @property
    def _is_work_done(self) -> bool:
        """Whether no session is open, and all answers to clients and processes are sent."""
        if self._clients.connections or self._clients.sending_count:
            return False
        return self._channel_server.is_idle
