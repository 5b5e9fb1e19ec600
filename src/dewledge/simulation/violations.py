"""What a checker reports: a broken promise and the evidence for it."""

from enum import StrEnum

import msgspec


class Promise(StrEnum):
    """The points that must always hold."""

    ACKNOWLEDGED_WRITES_STAND = "acknowledged_writes_stand"
    NO_REPLACED_PRIMARY = "no_replaced_primary"
    AT_MOST_ONCE = "at_most_once"
    NOT_RUN_IS_TRUE = "not_run_is_true"
    TRANSACTIONS_NEVER_MIX = "transactions_never_mix"
    OWN_WRITES_READ_BACK = "own_writes_read_back"
    OWN_ANSWER = "own_answer"
    ANSWERED = "answered"
    CONFIGURATION_IN_FORCE = "configuration_in_force"
    CONFIGURATION_ANSWER = "configuration_answer"
    CONFIGURATION_NEVER_REVERTS = "configuration_never_reverts"
    RETIRED_DATABASES = "retired_databases"
    PLANNED_STOP = "planned_stop"


class Violation(msgspec.Struct, frozen=True):
    """One broken promise; `at` is the virtual time, `evidence` says what was seen."""

    promise: Promise
    at: float
    evidence: str

    def __str__(self) -> str:
        return f"{self.promise} at {self.at:.3f} s: {self.evidence}"
