"""Sessions that write, read back, submit with a key and run transactions, all at once."""

import threading
import time
from collections.abc import Callable, Sequence

from dewledge.core.proxy.calls import Operation, Outcome
from dewledge.simulation.history import History, RequestRecord
from tests.process_cluster import await_state
from tests.processes.recorded_caller import RecordedCaller, Target, new_marker

SESSIONS = 6
ENOUGH_REQUESTS = 150
SUBMIT_ATTEMPTS = 60
PAUSE_SECONDS = 0.01
JOIN_SECONDS = 30.0


class MixedLoad:
    """Sessions at work until `finish`; what they saw is in `history`."""

    def __init__(
        self,
        history: History,
        targets: Callable[[], Sequence[Target]],
        name: str,
        sessions: int = SESSIONS,
    ) -> None:
        self.history = history
        self._stop = threading.Event()
        self._callers = [
            RecordedCaller(history, targets, f"{name}-{index}") for index in range(sessions)
        ]
        self._threads = [
            threading.Thread(target=self._run, args=(caller,), daemon=True)
            for caller in self._callers
        ]
        for thread in self._threads:
            thread.start()

    def done(self) -> list[RequestRecord]:
        """The requests that were acknowledged so far."""
        return [it for it in list(self.history.requests) if it.outcome is Outcome.DONE]

    def await_progress(self) -> None:
        """Waits until many requests that are sent from now on have succeeded."""
        began = time.monotonic()
        await_state(
            "requests succeed",
            lambda: sum(it.sent_at > began for it in self.done()) > ENOUGH_REQUESTS,
        )

    def finish(self) -> None:
        """Ends the load; every request under way is waited for."""
        self._stop.set()
        for thread in self._threads:
            thread.join(JOIN_SECONDS)
            assert not thread.is_alive()
        for caller in self._callers:
            caller.roam()

    def _run(self, caller: RecordedCaller) -> None:
        others = [other.record for other in self._callers]
        turn = 0
        while not self._stop.is_set():
            turn += 1
            caller.amend()
            caller.read()
            caller.roam()
            caller.read()
            caller.read(others[turn % len(others)])
            caller.append()
            self._submit(caller)
            self._transact(caller)
            caller.roam()

    def _submit(self, caller: RecordedCaller) -> None:
        """Submits with a key, and repeats through other proxies until it is done."""
        marker = new_marker()
        for _ in range(SUBMIT_ATTEMPTS):
            if caller.append(marker, keyed=True).outcome is Outcome.DONE:
                return
            caller.roam()
            if self._stop.wait(PAUSE_SECONDS):
                return

    def _transact(self, caller: RecordedCaller) -> None:
        tag = "t:" + new_marker()
        if caller.begin(tag).outcome is not Outcome.DONE:
            return
        for _ in range(2):
            if caller.append_in_transaction(tag).outcome is not Outcome.DONE:
                caller.finish(Operation.ROLLBACK, tag)
                return
        caller.finish(Operation.COMMIT, tag)
