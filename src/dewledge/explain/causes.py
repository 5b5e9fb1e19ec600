"""The likely cause of a statement's outcome: a table of cases, the first that fits."""

from collections.abc import Callable, Sequence

import msgspec

from dewledge.explain.log_lines import LogRecord


class Attempt(msgspec.Struct, frozen=True):
    """One attempt out of a statement's way; `after_ms` from its arrival to the attempt's end."""

    database: str
    proof: str
    result: str
    after_ms: int


class Case(msgspec.Struct, frozen=True):
    """A cause, and what shows it: the statement's line, its attempts, the beliefs before it."""

    cause: str
    fits: Callable[[LogRecord, Sequence[Attempt], Sequence[LogRecord]], bool]


def parse_way(way: str) -> Sequence[Attempt]:
    """Returns the attempts of a way, such as "i-1:lead:done@20"."""
    attempts = []
    for text in way.split(","):
        place, _, after = text.partition("@")
        parts = place.split(":")
        if len(parts) == 3 and after.isdigit():
            attempts.append(Attempt(parts[0], parts[1], parts[2], int(after)))
    return attempts


def _results(attempts: Sequence[Attempt]) -> set[str]:
    return {attempt.result for attempt in attempts}


def _last_phase(beliefs: Sequence[LogRecord]) -> str:
    phases = [record.get("phase") for record in beliefs if record.event == "phase_changed"]
    return phases[-1] if phases else "steady"


def _gave_up(attempts: Sequence[Attempt]) -> bool:
    return "given_up" in _results(attempts)


CASES: tuple[Case, ...] = (
    Case(
        "the commit or write was sent and its answer was lost: its effect is not known",
        lambda line, attempts, _: line.get("outcome") == "connection_lost",
    ),
    Case(
        "the database gave no answer within the statement's time",
        lambda line, attempts, _: line.get("outcome") == "statement_timeout",
    ),
    Case(
        "the primary was being replaced: no database could take the statement in its time",
        lambda line, attempts, beliefs: _gave_up(attempts) and _last_phase(beliefs) != "steady",
    ),
    Case(
        "the database that had the lead lost it",
        lambda line, attempts, _: "not_primary" in _results(attempts),
    ),
    Case(
        "no connection to the database could be opened",
        lambda line, attempts, _: _gave_up(attempts) and "denied_unreachable" in _results(attempts),
    ),
    Case(
        "the databases were too busy: the queue was full or the wait too long",
        lambda line, attempts, _: _gave_up(attempts) or "overloaded" in _results(attempts),
    ),
    Case(
        "the connection broke inside the transaction, which was rolled back",
        lambda line, attempts, _: line.get("outcome") == "transaction_lost",
    ),
    Case(
        "no replica showed the position that the session needs",
        lambda line, attempts, _: "not_fresh" in _results(attempts),
    ),
    Case(
        "an answer did not come in time, and the read was run again elsewhere",
        lambda line, attempts, _: bool({"silent", "lost"} & _results(attempts)),
    ),
    Case(
        "a new connection had to be opened first",
        lambda line, attempts, _: line.get("outcome") == "done" and len(attempts) == 1,
    ),
)


def likely_cause(line: LogRecord, beliefs: Sequence[LogRecord]) -> str:
    """Returns the cause of the first case that fits."""
    attempts = parse_way(line.get("way"))
    for case in CASES:
        if case.fits(line, attempts, beliefs):
            return case.cause
    return "not known from these lines"
