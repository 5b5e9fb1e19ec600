"""What was refused before any work, and why: limits, keys, transactions that the proxy ended."""

from collections.abc import Callable, Mapping, Sequence

import msgspec

from dewledge.core.pooler.rate_limits.slots import slot_of
from dewledge.explain.log_lines import LogRecord
from dewledge.explain.lost_cause import (
    COMING_BACK,
    COMING_BACK_SECONDS,
    Finding,
    LostCause,
    cause_told,
)
from dewledge.explain.timeline import Timeline, time_of

TAKEN_AWAY = "token_taken_away"
CLIENT_ENDED = "client_left"
"""A transaction that its client left is no loss."""


class Granted(msgspec.Struct, frozen=True, order=True):
    """A process granted the tokens of a slot from `at` on."""

    at: float
    slot_count: int
    slot: int
    process: str


class Refusals:
    """Finds the causes of refusals out of the logs of all processes."""

    def __init__(
        self, timelines: Mapping[str, Timeline], logs: Mapping[str, Sequence[LogRecord]]
    ) -> None:
        self._timelines = timelines
        self._granted = sorted(
            Granted(
                time_of(record),
                int(record.get("slot_count") or 1),
                int(record.get("slot") or 0),
                name,
            )
            for name, records in logs.items()
            for record in records
            if record.event == "grantor_changed" and record.get("grants") == "True"
        )
        self._find: Mapping[str, Callable[[LogRecord], Finding]] = {
            "operation_not_admitted": self._not_admitted,
            "session_denied": self._denied,
            "transaction_ended": self._ended,
        }

    def find(self, record: LogRecord) -> Finding | None:
        """Returns why the line's work was refused; None if it tells of no refusal."""
        find = self._find.get(record.event)
        if find is None or record.get("reason") == CLIENT_ENDED:
            return None
        return find(record)

    def _not_admitted(self, record: LogRecord) -> Finding:
        word = record.get("cause")
        cause = cause_told(word)
        if word and cause is None:
            return Finding(LostCause.UNKNOWN, f"cause {word}")
        if cause is None:
            is_over_limit = record.get("is_over_limit") == "True"
            cause = LostCause.OVER_LIMIT if is_over_limit else LostCause.NO_GRANTOR
        if cause not in (LostCause.OVER_LIMIT, LostCause.NO_GRANTOR):
            return Finding(cause, f"cause {word}")
        return self._after_a_start(record) or Finding(
            cause, f"come_back_ms {record.get('come_back_ms')}"
        )

    def _after_a_start(self, record: LogRecord) -> Finding | None:
        """The process, or the one that granted the caller's tokens, had started just before."""
        at = time_of(record)
        if self._has_started(record.process, at):
            return COMING_BACK
        grantor = self._grantor_of(record.get("caller"), at)
        if grantor and self._has_started(grantor, at):
            return Finding(LostCause.COMING_BACK, f"its grantor {grantor} started a moment before")
        return None

    def _has_started(self, process: str, at: float) -> bool:
        spans = self._timelines[process].starting
        return any(span.touches(at - COMING_BACK_SECONDS, at) for span in spans)

    def _grantor_of(self, caller: str, at: float) -> str:
        """Returns the process that began last to grant for a caller, empty if no line shows it."""
        for granted in reversed(self._granted):
            if granted.at <= at and slot_of(caller, granted.slot_count).index == granted.slot:
                return granted.process
        return ""

    def _denied(self, record: LogRecord) -> Finding:
        return Finding(
            LostCause.KEY_NOT_KNOWN, f"no caller of configuration {record.get('configuration')}"
        )

    def _ended(self, record: LogRecord) -> Finding:
        reason = record.get("reason")
        causes = {TAKEN_AWAY: LostCause.KEY_NOT_KNOWN, "rested_too_long": LostCause.CLIENT_RESTED}
        return Finding(causes.get(reason, LostCause.UNKNOWN), f"transaction_ended {reason}")
