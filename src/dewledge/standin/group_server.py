"""The database group stand-in: one process or object, an address for each database, one admin."""

from collections.abc import Mapping

from dewledge.standin.database_server import DatabaseServer
from dewledge.standin.group_admin import GroupAdmin
from dewledge.standin.group_runtime import GroupRuntime
from dewledge.standin.group_settings import GroupSettings
from dewledge.standin.http_server import HttpServer


class GroupServer:
    """Serves a group; `start` and `stop` once each. Port 0 in the settings picks free ports."""

    def __init__(self, settings: GroupSettings) -> None:
        """Binds all addresses. Raises OSError."""
        self.settings = settings
        self._runtime = GroupRuntime(settings)
        self._servers = {
            item.name: DatabaseServer(self._runtime, settings, item) for item in settings.databases
        }
        self._admin = HttpServer(
            settings.admin_address, lambda: GroupAdmin(self._runtime, self._servers)
        )

    @property
    def addresses(self) -> Mapping[str, str]:
        """Returns each database's address, by name."""
        return {name: server.address for name, server in self._servers.items()}

    @property
    def admin_address(self) -> str:
        """Returns the admin address."""
        return self._admin.address

    def start(self) -> None:
        """Begins to serve."""
        self._runtime.start()
        for server in self._servers.values():
            server.start()
        self._admin.start()

    def stop(self) -> None:
        """Breaks all connections and ends all threads."""
        self._runtime.stop()
        for server in self._servers.values():
            server.stop()
        self._admin.stop()
