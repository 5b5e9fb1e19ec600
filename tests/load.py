"""Callers under test: each inserts numbers, one at a time, and notes what it was told."""

import itertools
import json
import threading
from http.client import HTTPConnection, HTTPException
from typing import Any

import msgspec

from dewledge.core.proxy.calls import Outcome

CLIENT_SECONDS = 15.0


class Told(msgspec.Struct, frozen=True):
    """What a caller was told about one number; outcome None: the connection broke unanswered."""

    number: int
    outcome: Outcome | None
    code: str
    proxy: str


class Writer(threading.Thread):
    """A caller that inserts numbers over persistent connections, from proxy to proxy.

    It stays with a proxy until told to close the connection, refused, or cut off.
    """

    def __init__(
        self,
        addresses: list[str],
        group: str,
        token: str,
        numbers: "itertools.count[int]",
        stop: threading.Event,
    ) -> None:
        super().__init__(daemon=True)
        self._addresses = itertools.cycle(addresses)
        self._group = group
        self._token = token
        self._numbers = numbers
        self._stop_event = stop
        self._address = next(self._addresses)
        self._connection: HTTPConnection | None = None
        self.told: list[Told] = []

    def run(self) -> None:
        """Inserts until stopped."""
        while not self._stop_event.is_set():
            self.told.append(self._insert(next(self._numbers)))
        self._leave()

    def _insert(self, number: int) -> Told:
        try:
            answer = self._post(number)
        except ConnectionRefusedError:
            told = Told(number, Outcome.NOT_RUN, "connection_refused", self._address)
            self._leave()
            return told
        except (OSError, HTTPException) as error:
            told = Told(number, None, repr(error), self._address)
            self._leave()
            return told
        told = Told(number, Outcome(answer["outcome"]), str(answer.get("code", "")), self._address)
        if told.outcome is not Outcome.DONE:
            self._leave()
        return told

    def _post(self, number: int) -> dict[str, Any]:
        if self._connection is None:
            self._connection = HTTPConnection(self._address, timeout=CLIENT_SECONDS)
            self._connection.connect()
        body = {
            "group": self._group,
            "sql": "INSERT INTO numbers VALUES (?)",
            "parameters": [number],
            "deadline_ms": 5000,
        }
        self._connection.request(
            "POST",
            "/v1/statements",
            json.dumps(body),
            {"Authorization": f"Bearer {self._token}"},
        )
        response = self._connection.getresponse()
        answer: dict[str, Any] = json.loads(response.read())
        if response.getheader("Connection") == "close":
            self._leave()
        return answer

    def _leave(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        self._address = next(self._addresses)


class Load:
    """Several writers at once."""

    def __init__(self, addresses: list[str], group: str, token: str, writers: int = 4) -> None:
        self._stop = threading.Event()
        numbers = itertools.count(1)
        rotations = [addresses[index:] + addresses[:index] for index in range(len(addresses))]
        self._writers = [
            Writer(rotations[index % len(rotations)], group, token, numbers, self._stop)
            for index in range(writers)
        ]
        for writer in self._writers:
            writer.start()

    @property
    def told(self) -> list[Told]:
        """Everything the callers were told so far."""
        return [told for writer in self._writers for told in list(writer.told)]

    def numbers(self, outcome: Outcome | None) -> set[int]:
        """The numbers with this outcome so far."""
        return {told.number for told in self.told if told.outcome is outcome}

    def finish(self) -> None:
        """Ends the load; every request under way is waited for."""
        self._stop.set()
        for writer in self._writers:
            writer.join(2 * CLIENT_SECONDS)
            assert not writer.is_alive()
