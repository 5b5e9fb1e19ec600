"""One statement's way as text: what its process believed, each attempt, the likely cause."""

from collections.abc import Mapping, Sequence

from dewledge.explain.causes import likely_cause, parse_way
from dewledge.explain.log_lines import LogRecord

BELIEFS = frozenset(
    {
        "phase_changed",
        "primary_refuted",
        "database_known",
        "database_entry_gone",
        "configuration_taken",
        "store_lost",
        "store_regained",
        "leader_told",
        "promotion_answered",
        "pooler_started",
        "pooler_leaving",
    }
)
"""Events that change what a process believes."""
SHOWN_BELIEFS = 6
ANSWERED = "statement_answered"
HIDDEN = frozenset({"time", "level", "event"})

Logs = Mapping[str, Sequence[LogRecord]]


def statements(logs: Logs) -> list[LogRecord]:
    """Returns the lines of all answered statements."""
    return [record for records in logs.values() for record in records if record.event == ANSWERED]


def slowest(logs: Logs, count: int) -> list[LogRecord]:
    """Returns the statements that waited longest."""
    return sorted(statements(logs), key=lambda line: -int(line.get("waited_ms") or 0))[:count]


def failed(logs: Logs) -> list[LogRecord]:
    """Returns the statements that were not done."""
    return [line for line in statements(logs) if line.get("outcome") != "done"]


def find(logs: Logs, statement: str) -> list[LogRecord]:
    """Returns the lines of one statement, of whichever processes."""
    return [line for line in statements(logs) if line.get("statement") == statement]


def beliefs_before(logs: Logs, line: LogRecord) -> list[LogRecord]:
    """Returns what the line's process had come to believe before it, oldest first."""
    records = logs[line.process]
    return [it for it in records if it.number < line.number and it.event in BELIEFS]


def other_side(logs: Logs, beliefs: Sequence[LogRecord]) -> list[LogRecord]:
    """Returns lines of other processes that caused a belief: promotions under the same token.

    They are matched by token and database, since the clocks of machines differ.
    """
    databases = {it.get("database") for it in beliefs if it.event == "leader_told"}
    return [
        record
        for records in logs.values()
        for record in records
        if record.event == "promotion_answered" and record.get("database") in databases
    ]


def explain(logs: Logs, line: LogRecord) -> str:
    """Returns the text about one statement."""
    beliefs = beliefs_before(logs, line)
    text = [
        f"statement {line.get('statement')} at {line.process}, session {line.get('session')}: "
        f"{line.get('kind')} on route {line.get('route')} ({line.get('consistency')})",
        f"  answered {line.get('outcome')} after {line.get('waited_ms')} ms, "
        f"configuration {line.get('configuration')}, floor {line.get('floor') or 'none'}",
    ]
    for attempt in parse_way(line.get("way")):
        where = attempt.database or "no database"
        proof = attempt.proof or "pinned"
        text.append(f"  {attempt.after_ms:>6} ms  {where} ({proof}): {attempt.result}")
    text += [f"  before: {_short(it)}" for it in beliefs[-SHOWN_BELIEFS:]]
    text += [f"  elsewhere, {it.process}: {_short(it)}" for it in other_side(logs, beliefs)[-2:]]
    text.append(f"  likely cause: {likely_cause(line, beliefs)}")
    return "\n".join(text)


def _short(record: LogRecord) -> str:
    fields = [f"{name}={value}" for name, value in record.fields.items() if name not in HIDDEN]
    return " ".join([record.get("time"), record.event, *fields])
