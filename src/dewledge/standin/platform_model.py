"""The platform as a pure model: table service, object store, lagging machine list, and faults.

It has no threads, sockets or clock: every call carries `now` in seconds, never going back.
"""

from collections import Counter, deque
from enum import StrEnum

import msgspec

from dewledge.core.proxy.ports import MachineState, Row, RowWrite
from dewledge.errors import (
    StoreConditionFailed,
    StoreError,
    StoreOutcomeUnknown,
    StoreRateLimited,
)
from dewledge.standin.platform_settings import PlatformSettings
from dewledge.standin.rate_limit import RateLimit

ABSENT_VERSION = 0


class PlatformCall(StrEnum):
    """Calls, as they are counted."""

    READ = "read"
    TRANSACT = "transact"
    GET = "get"
    PUT = "put"
    MACHINES = "machines"
    REGISTER = "register"


class _Report(msgspec.Struct, frozen=True):
    """What a machine said of itself, or None that it is gone, and when."""

    time: float
    name: str
    machine: MachineState | None


class PlatformModel:
    """Everything the platform keeps.

    slowness: seconds that each call takes; the one who drives the model waits that long.
    calls: how many calls of each kind were made, refused ones too.
    """

    def __init__(self, settings: PlatformSettings, now: float) -> None:
        self.slowness = 0.0
        self.calls: Counter[PlatformCall] = Counter()
        self._settings = settings
        self._rows: dict[str, Row] = {}
        self._objects: dict[str, bytes] = {}
        self._table_limit = RateLimit(settings.table_rate, settings.burst, now)
        self._object_limit = RateLimit(settings.object_rate, settings.burst, now)
        self._down = False
        self._answers_to_lose = 0
        self._list_lag = settings.list_lag
        self._pending_reports: deque[_Report] = deque()
        self._listed: dict[str, _Report] = {}

    # Table service.

    def read(self, key: str, now: float) -> Row:
        """Reads one row. Raises StoreError or StoreRateLimited."""
        self._admit(PlatformCall.READ, self._table_limit, now)
        return self._row(key)

    def transact(self, writes: tuple[RowWrite, ...], now: float) -> tuple[Row, ...]:
        """Writes all rows or none.

        Raises StoreError, StoreRateLimited, StoreConditionFailed, or StoreOutcomeUnknown once it
        has taken effect and the answer is to be lost.
        """
        self._admit(PlatformCall.TRANSACT, self._table_limit, now)
        changed = [
            item.key for item in writes if self._row(item.key).version != item.expected_version
        ]
        if changed:
            raise StoreConditionFailed(f"other version of {', '.join(changed)}")
        rows = tuple(Row(item.key, item.expected_version + 1, item.value) for item in writes)
        self._rows.update({row.key: row for row in rows})
        self._lose_answer()
        return rows

    # Object store.

    def get(self, name: str, now: float) -> bytes | None:
        """Returns an object or None. Raises StoreError or StoreRateLimited."""
        self._admit(PlatformCall.GET, self._object_limit, now)
        return self._objects.get(name)

    def put(self, name: str, data: bytes, now: float) -> None:
        """Writes an object. Raises StoreError, StoreRateLimited or StoreOutcomeUnknown."""
        self._admit(PlatformCall.PUT, self._object_limit, now)
        self._objects[name] = data
        self._lose_answer()

    # Machine list.

    def register(self, machine: MachineState, now: float) -> None:
        """Takes a machine's report of itself; the list shows it later. Raises StoreError."""
        self._admit(PlatformCall.REGISTER, None, now)
        self._pending_reports.append(_Report(now, machine.name, machine))

    def withdraw(self, name: str, now: float) -> None:
        """Takes the report that a machine is gone; the list shows it later. Raises StoreError."""
        self._admit(PlatformCall.REGISTER, None, now)
        self._pending_reports.append(_Report(now, name, None))

    def machines(self, now: float) -> tuple[MachineState, ...]:
        """Returns the list as it was some time ago. Raises StoreError."""
        self._admit(PlatformCall.MACHINES, None, now)
        self._take_due_reports(now)
        oldest = now - self._settings.machine_expiry
        shown = [report for report in self._listed.values() if report.time >= oldest]
        return tuple(report.machine for report in shown if report.machine is not None)

    # Faults.

    def set_down(self, down: bool) -> None:
        """Makes every call fail without effect, or ends that."""
        self._down = down

    def set_slowness(self, seconds: float) -> None:
        """Makes every call take that long."""
        self.slowness = seconds

    def lose_answers(self, count: int) -> None:
        """Loses the answers of the next `count` writes after they have taken effect."""
        self._answers_to_lose = count

    def set_list_lag(self, seconds: float) -> None:
        """Sets by how much the machine list lags."""
        self._list_lag = seconds

    # Inside.

    def _row(self, key: str) -> Row:
        return self._rows.get(key, Row(key, ABSENT_VERSION, b""))

    def _admit(self, call: PlatformCall, limit: RateLimit | None, now: float) -> None:
        self.calls[call] += 1
        if self._down:
            raise StoreError("the platform's service is down")
        wait = limit.take(now) if limit is not None else None
        if wait is not None:
            raise StoreRateLimited("too many calls", wait)

    def _lose_answer(self) -> None:
        if self._answers_to_lose > 0:
            self._answers_to_lose -= 1
            raise StoreOutcomeUnknown("the answer was lost")

    def _take_due_reports(self, now: float) -> None:
        while self._pending_reports and self._pending_reports[0].time <= now - self._list_lag:
            report = self._pending_reports.popleft()
            self._listed[report.name] = report
