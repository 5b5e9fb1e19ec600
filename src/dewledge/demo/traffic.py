"""Writers that go on while something happens: each writes a record and reads it back elsewhere."""

import threading
import time
from concurrent.futures import Future, ThreadPoolExecutor
from types import TracebackType

import msgspec

from dewledge.core.proxy.calls import Outcome
from dewledge.demo.caller import RoamingCaller
from dewledge.demo.stage import Stage

PAUSE_SECONDS = 0.005
STOP_SECONDS = 20.0


class TrafficReport(msgspec.Struct):
    """What the writers were told.

    began, ended: monotonic seconds of each acknowledged write.
    missed: references written and acknowledged, and not shown to a later read of the session.
    """

    began: list[float] = msgspec.field(default_factory=list)
    ended: list[float] = msgspec.field(default_factory=list)
    not_run: int = 0
    unknown: int = 0
    reads: int = 0
    missed: list[str] = msgspec.field(default_factory=list)


class Traffic:
    """A context in which writers run, each on a thread with a session of its own."""

    def __init__(self, stage: Stage, label: str, writers: int = 3) -> None:
        self._stage = stage
        self._label = label
        self._writers = writers
        self._ending = threading.Event()
        self._lock = threading.Lock()
        self._executor = ThreadPoolExecutor(writers, thread_name_prefix="demo-writer")
        self._running: list[Future[None]] = []
        self.report = TrafficReport()

    def __enter__(self) -> "Traffic":
        self._running = [
            self._executor.submit(self._write_on, number) for number in range(self._writers)
        ]
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._ending.set()
        self._executor.shutdown()
        if kind is None:
            for running in self._running:
                running.result(STOP_SECONDS)

    def acknowledged(self) -> int:
        """Returns how many writes were acknowledged so far."""
        with self._lock:
            return len(self.report.ended)

    def acknowledged_begun_after(self, moment: float) -> int:
        """Returns how many acknowledged writes were sent after `moment` (monotonic seconds)."""
        with self._lock:
            return sum(began > moment for began in self.report.began)

    def _write_on(self, writer: int) -> None:
        caller = self._stage.writer()
        number = 0
        while not self._ending.is_set():
            number += 1
            self._write_and_read(caller, f"{self._label}-{writer}-{number}", writer + number)
            time.sleep(PAUSE_SECONDS)

    def _write_and_read(self, caller: RoamingCaller, reference: str, turn: int) -> None:
        scene = self._stage.scene
        began = time.monotonic()
        reply = caller.write(self._rotated(turn), scene.create(reference))
        with self._lock:
            self._count(reply.outcome, began)
        if reply.outcome is not Outcome.DONE:
            return
        # The read may be refused while a proxy stops; then it shows nothing wrong either.
        proxy = self._rotated(turn + 1)[0]
        seen = caller.read_or_none(proxy, scene.read(reference))
        if seen is None or seen.outcome is not Outcome.DONE:
            return
        with self._lock:
            self.report.reads += 1
            if not seen.rows:
                self.report.missed.append(reference)

    def _count(self, outcome: Outcome, began: float) -> None:
        match outcome:
            case Outcome.DONE:
                self.report.began.append(began)
                self.report.ended.append(time.monotonic())
            case Outcome.NOT_RUN:
                self.report.not_run += 1
            case Outcome.UNKNOWN:
                self.report.unknown += 1

    def _rotated(self, turn: int) -> list[str]:
        proxies = self._stage.proxies()
        first = turn % len(proxies)
        return proxies[first:] + proxies[:first]


def longest_gap(report: TrafficReport, around: float) -> float:
    """Returns the longest time without an acknowledged write that ends after `around`, seconds."""
    ended = sorted(report.ended)
    gaps = [
        later - earlier for earlier, later in zip(ended, ended[1:], strict=False) if later > around
    ]
    return max(gaps, default=0.0)
