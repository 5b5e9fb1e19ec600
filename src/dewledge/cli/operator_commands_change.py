"""Sends one change until it is known whether it was accepted.

A change carries an id, under which it takes effect at most once; so when an answer is lost the
same change may be sent again, to any proxy, and its id may be looked up.
"""

import time
import uuid
from collections.abc import Callable
from random import Random
from typing import Any

import msgspec

from dewledge.cli.http_client import AnswerLost, HttpAnswer, ProxyClient, ProxyUnreachable
from dewledge.cli.output import CommandFailed, OutputFormat, print_json
from dewledge.core.proxy.calls import Outcome
from dewledge.errors import DewledgeError, ErrorCode, InvalidInput

CHANGES_PATH = "/v1/changes"
RETRY_BASE = 0.1
RETRY_CAP = 2.0


class Waiting(msgspec.Struct, frozen=True):
    """Clock, pause and random source; bound: seconds until an unknown outcome is given up."""

    bound: float
    clock: Callable[[], float] = time.monotonic
    pause: Callable[[float], None] = time.sleep
    random: Random = Random()


class ChangeResult(msgspec.Struct, frozen=True):
    """How a change ended. answer: the last one that was received, if any."""

    change_id: str
    outcome: Outcome
    revision: int | None = None
    answer: HttpAnswer | None = None


def new_change_id() -> str:
    """Returns a new, unique change id."""
    return uuid.uuid4().hex


class ChangeSubmission:
    """One change on its way. Once an outcome was unknown, only the store's own word ends it."""

    def __init__(self, client: ProxyClient, body: dict[str, Any], waiting: Waiting) -> None:
        self._client = client
        self._body = body
        self._change_id = str(body["change_id"])
        self._waiting = waiting
        self._may_stand = False
        self._answer: HttpAnswer | None = None

    def run(self) -> ChangeResult:
        """Sends the change and resolves an unknown outcome within the bound.

        Raises ProxyUnreachable if it could be sent to no proxy.
        """
        deadline = self._waiting.clock() + self._waiting.bound
        attempt = 0
        while True:
            result = self._send() or self._look_up()
            if result:
                return result
            limit = min(RETRY_CAP, RETRY_BASE * 2**attempt)
            pause = self._waiting.random.uniform(0, limit)
            if self._waiting.clock() + pause >= deadline:
                return ChangeResult(self._change_id, Outcome.UNKNOWN, answer=self._answer)
            self._waiting.pause(pause)
            attempt += 1

    def _send(self) -> ChangeResult | None:
        """Returns the result if this attempt decided it."""
        try:
            answer = self._client.post(CHANGES_PATH, self._body)
        except ProxyUnreachable:
            if not self._may_stand:
                raise
            return None
        except AnswerLost:
            self._may_stand = True
            return None
        self._answer = answer
        if answer.outcome is Outcome.DONE:
            return self._accepted(answer)
        if answer.outcome is Outcome.UNKNOWN:
            self._may_stand = True
            return None
        if self._may_stand and not _is_decided(answer):
            return None
        return ChangeResult(self._change_id, Outcome.NOT_RUN, answer=answer)

    def _look_up(self) -> ChangeResult | None:
        """Returns the result if the change is found to stand; its absence decides nothing yet."""
        try:
            answer = self._client.get(f"{CHANGES_PATH}/{self._change_id}")
        except DewledgeError:
            return None
        return self._accepted(answer) if answer.body.get("accepted") is True else None

    def _accepted(self, answer: HttpAnswer) -> ChangeResult:
        revision = answer.body.get("revision")
        known = revision if isinstance(revision, int) else None
        return ChangeResult(self._change_id, Outcome.DONE, known, answer)


def _is_decided(answer: HttpAnswer) -> bool:
    """Tells whether the refusal came from the store's state, so that it is final for this id."""
    final = (ErrorCode.REVISION_CONFLICT, ErrorCode.IDEMPOTENCY_MISMATCH)
    return answer.code in final or bool(answer.findings)


def report_change(result: ChangeResult, output: OutputFormat) -> None:
    """Prints how a change ended; raises for any end but acceptance.

    Raises InvalidInput for findings, CommandFailed otherwise.
    """
    if output is OutputFormat.JSON:
        print_json(_as_document(result))
    if result.outcome is Outcome.DONE:
        if output is OutputFormat.TABLE:
            print(f"accepted revision={result.revision} change_id={result.change_id}")
        return
    if result.outcome is Outcome.UNKNOWN:
        message = (
            f"it is not known whether change {result.change_id} was accepted; "
            f"repeat the command with --change-id {result.change_id}"
        )
        raise CommandFailed(message, ErrorCode.NOT_CONFIRMED)
    assert result.answer is not None
    raise _refusal(result.answer)


def _refusal(answer: HttpAnswer) -> DewledgeError:
    if answer.findings:
        return InvalidInput(answer.findings)
    code = answer.code or ErrorCode.PROTOCOL
    winner = answer.body.get("winner")
    if isinstance(winner, dict):
        message = (
            f"nothing was changed: {winner.get('author')} was first, with change "
            f"{winner.get('change_id')}, accepted as revision {winner.get('revision')}"
        )
        return CommandFailed(message, code)
    return CommandFailed(f"nothing was changed: {answer.message}", code)


def _as_document(result: ChangeResult) -> dict[str, Any]:
    body = result.answer.body if result.answer and result.outcome is not Outcome.UNKNOWN else {}
    kept = ("code", "message", "winner", "findings")
    return {
        "change_id": result.change_id,
        "outcome": str(result.outcome),
        "revision": result.revision,
        **{name: body[name] for name in kept if body.get(name)},
    }
