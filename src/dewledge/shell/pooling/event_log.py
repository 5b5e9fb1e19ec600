"""Writes typed events as log lines and counts them."""

import msgspec
from loguru import logger


class EventLog:
    """One line for each event; field names are the event's own."""

    def record(self, event: msgspec.Struct) -> None:
        """Logs an event under its type's name."""
        fields = {
            name: value for name, value in msgspec.structs.asdict(event).items() if value != ""
        }
        logger.bind(**fields).info(event_name(type(event)))


def event_name(kind: type[msgspec.Struct]) -> str:
    """Returns the name of an event type in the log, such as "statement_answered"."""
    letters: list[str] = []
    for letter in kind.__name__:
        if letter.isupper() and letters:
            letters.append("_")
        letters.append(letter.lower())
    return "".join(letters)
