"""The settings file of a running process: noticed when it changes, taken only if it is right.

Owns the settings in force. A change of one in FIXED is logged and needs a restart.
"""

from pathlib import Path
from typing import Protocol

import msgspec
from loguru import logger

from dewledge.errors import InvalidInput
from dewledge.pooler_settings import PoolerSettings, load_pooler_settings

FIXED = ("name", "client_address", "ready_address", "peer_address", "metrics_address")
"""Settings that need a restart; a change of one is told and not taken."""


class MovableStore(Protocol):
    """A store whose address may change while the process runs."""

    def change_address(self, address: str) -> None:
        """Sends later calls to another "ip:port"."""


class SettingsFile:
    """Reads the file again when its time or size has changed."""

    def __init__(self, path: Path | None) -> None:
        self._path = path
        self._seen = self._stamp()

    def has_changed(self) -> bool:
        """Tells whether the file is another one than last time."""
        return self._path is not None and self._stamp() != self._seen

    def read(self, present: PoolerSettings) -> PoolerSettings | None:
        """Returns the new settings, None if nothing changed or the file has findings."""
        if self._path is None:
            return None
        self._seen = self._stamp()
        try:
            read = load_pooler_settings(self._path)
        except InvalidInput as error:
            logger.bind(findings=error.message).error("settings_refused")
            return None
        changed = [
            name for name in PoolerSettings.__struct_fields__ if differs(present, read, name)
        ]
        fixed = [name for name in changed if name in FIXED]
        kept = {name: getattr(present, name) for name in fixed}
        logger.bind(changed=",".join(changed), need_restart=",".join(fixed)).info(
            "settings_reloaded"
        )
        return msgspec.structs.replace(read, **kept) if changed else None

    def _stamp(self) -> tuple[int, int] | None:
        if self._path is None:
            return None
        try:
            status = self._path.stat()
        except OSError:
            return None
        return (status.st_mtime_ns, status.st_size)


class CurrentSettings:
    """The settings in force: those of the start until the file has others."""

    def __init__(self, settings: PoolerSettings, path: Path | None, store: MovableStore) -> None:
        """`store`: is told when its address changes."""
        self.present = settings
        self._file = SettingsFile(path)
        self._store = store

    def reload(self) -> None:
        """Reads the file again."""
        changed = self._file.read(self.present)
        if changed is not None:
            self.present = changed
            self._store.change_address(changed.store_address)

    def reload_if_changed(self) -> None:
        """Reads the file again if it is another one than last time."""
        if self._file.has_changed():
            self.reload()


def differs(present: PoolerSettings, read: PoolerSettings, name: str) -> bool:
    """Tells whether one setting differs."""
    return bool(getattr(present, name) != getattr(read, name))
