"""Reloads the settings file of a running process when it changes.

An invalid file is logged and ignored. Changes of settings in RESTART_REQUIRED are logged and take
effect only after a restart.
"""

from pathlib import Path
from typing import Protocol

import msgspec
from loguru import logger

from dewledge.errors import InvalidInput
from dewledge.pooler_settings import PoolerSettings, load_pooler_settings

RESTART_REQUIRED = ("name", "client_address", "ready_address", "peer_address", "metrics_address")
"""Settings that can be changed only by a restart; a reload keeps their values."""


class AddressableClient(Protocol):
    """Interface of a client whose server's address may change while the process runs."""

    def change_address(self, address: str) -> None:
        """Sends subsequent calls to another address ("ip:port")."""


class SettingsFile:
    """Detects changes of the settings file by its modification time and size, and loads it."""

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._loaded_stamp = self._read_stamp()

    def has_changed(self) -> bool:
        """Returns whether the file was modified since it was last read."""
        return self._path is not None and self._read_stamp() != self._loaded_stamp

    def read(self, current: PoolerSettings) -> PoolerSettings | None:
        """Returns the new settings; None if there is no file, it is invalid or nothing changed."""
        if self._path is None:
            return None
        self._loaded_stamp = self._read_stamp()
        try:
            read = load_pooler_settings(self._path)
        except InvalidInput as error:
            logger.bind(findings=error.message).error("settings_refused")
            return None
        changed = [
            name for name in PoolerSettings.__struct_fields__ if differs(current, read, name)
        ]
        fixed = [name for name in changed if name in RESTART_REQUIRED]
        kept_values = {name: getattr(current, name) for name in fixed}
        logger.bind(changed=",".join(changed), need_restart=",".join(fixed)).info(
            "settings_reloaded"
        )
        return msgspec.structs.replace(read, **kept_values) if changed else None

    def _read_stamp(self) -> tuple[int, int] | None:
        if self._path is None:
            return None
        try:
            status = self._path.stat()
        except OSError:
            return None
        return (status.st_mtime_ns, status.st_size)


class CurrentSettings:
    """Holds the active settings, replaced when the file is reloaded with valid changes."""

    def __init__(
        self,
        settings: PoolerSettings,
        path: Path | None,
        store: AddressableClient,
        promotions: AddressableClient | None = None,
    ) -> None:
        """`store`, `promotions`: their addresses are set after each reload that changed any.

        `promotions` is None if the platform has no promotion API.
        """
        self.current = settings
        self._file = SettingsFile(path)
        self._store = store
        self._promotions = promotions

    def reload(self) -> None:
        """Loads the file and applies its changes."""
        changed = self._file.read(self.current)
        if changed is not None:
            self.current = changed
            self._store.change_address(changed.store_address)
            if self._promotions is not None and changed.duty_address:
                self._promotions.change_address(changed.duty_address)

    def reload_if_changed(self) -> None:
        """Calls `reload` if the file was modified since it was last read."""
        if self._file.has_changed():
            self.reload()


def differs(current: PoolerSettings, read: PoolerSettings, name: str) -> bool:
    """Returns whether the setting `name` differs between `current` and `read`."""
    return bool(getattr(current, name) != getattr(read, name))
