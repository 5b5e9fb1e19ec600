"""Counters, histograms and gauges of one pooler, in the Prometheus text format.

Labels are bounded: kinds, codes and event names are constants of the code. The figures are plain
numbers; the library that writes the format is imported when somebody first asks for them, since a
process that starts serves nobody until its imports are done.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from dewledge.core.pooler.events import StatementAnswered
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND

if TYPE_CHECKING:
    from prometheus_client import Metric

LATENCY_BUCKETS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0)
"""Upper bounds in seconds: finer around the latency targets of routes, 0.4 to 1 s."""
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Of the text format that `render` writes."""

QUARTER = 1.25
"""Factor between an expected and a real duration: a quarter of the shorter."""
TWICE = 2.0
"""Factor between an expected and a real duration."""
LEAST_COMPARED_MS = 5
"""Shorter times differ by whole factors for no reason but rounding."""


class Accuracy(StrEnum):
    """How far an expected completion was from the real one, whichever was the longer.

    WITHIN_QUARTER: by a quarter of the shorter at most. WITHIN_TWICE: by a factor of two.
    """

    WITHIN_QUARTER = "within_quarter"
    WITHIN_TWICE = "within_twice"
    BEYOND = "beyond"


class StatementLabels(msgspec.Struct, frozen=True):
    """What a statement is counted under."""

    kind: str
    consistency: str
    outcome: str


class DurationLabels(msgspec.Struct, frozen=True):
    """What a statement's duration is counted under."""

    kind: str
    consistency: str


class AttemptLabels(msgspec.Struct, frozen=True):
    """What an attempt at a database is counted under."""

    proof: str
    result: str


class _Durations:
    """How many durations fell under each bound, and their sum in seconds."""

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS) + 1)
        self.total = 0.0

    def add(self, seconds: float) -> None:
        self.counts[bisect_left(LATENCY_BUCKETS, seconds)] += 1
        self.total += seconds

    def cumulative(self) -> Iterator[tuple[str, float]]:
        """Yields each bound with the count of what is not above it."""
        count = 0
        for bound, added in zip((*LATENCY_BUCKETS, float("inf")), self.counts, strict=True):
            count += added
            yield ("+Inf" if bound == float("inf") else str(bound), float(count))


class _Gauge(msgspec.Struct, frozen=True):
    name: str
    description: str
    read: Callable[[], float]


class PoolerMetrics:
    """The figures of one process."""

    def __init__(self) -> None:
        self._statements: Counter[StatementLabels] = Counter()
        self._seconds: dict[DurationLabels, _Durations] = {}
        self._attempts: Counter[AttemptLabels] = Counter()
        self._events: Counter[str] = Counter()
        self._accuracies: Counter[Accuracy] = Counter()
        self._gauges: list[_Gauge] = []

    def add_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Adds a gauge whose value is read when metrics are asked for."""
        self._gauges.append(_Gauge(f"dewledge_{name}", description, read))

    def observe_statement(self, event: StatementAnswered) -> None:
        """Counts an answered statement with its attempts."""
        self._statements[StatementLabels(event.kind, event.consistency, event.outcome)] += 1
        labels = DurationLabels(event.kind, event.consistency)
        durations = self._seconds.setdefault(labels, _Durations())
        durations.add(event.waited_ms / MILLISECONDS_PER_SECOND)
        attempts = event.way.split(",")
        if event.expected_ms >= 0 and len(attempts) == 1 and event.outcome == "done":
            self._accuracies[_accuracy(event.expected_ms, event.waited_ms)] += 1
        for attempt in attempts:
            parts = attempt.partition("@")[0].split(":")
            if len(parts) == len(("database", "proof", "result")):
                self._attempts[AttemptLabels(parts[1] or "pinned", parts[2])] += 1

    def count_event(self, name: str) -> None:
        """Counts one logged event."""
        self._events[name] += 1

    def render(self) -> bytes:
        """Returns all metrics in the text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterable["Metric"]:
        """Yields the metrics; called by the library that writes the format."""
        from prometheus_client.core import GaugeMetricFamily

        yield _counter(
            "dewledge_statements",
            "Clients' statements answered.",
            StatementLabels.__struct_fields__,
            ((msgspec.structs.astuple(labels), n) for labels, n in self._statements.items()),
        )
        yield self._statement_seconds()
        yield _counter(
            "dewledge_statement_attempts",
            "Attempts of statements at databases, by how they ended.",
            AttemptLabels.__struct_fields__,
            ((msgspec.structs.astuple(labels), n) for labels, n in self._attempts.items()),
        )
        yield _counter(
            "dewledge_expected_completions",
            "Reads served by the database of their first choice, by how well that was foreseen.",
            ("accuracy",),
            (((accuracy,), count) for accuracy, count in self._accuracies.items()),
        )
        events = (((name,), count) for name, count in self._events.items())
        yield _counter("dewledge_pooler_events", "Events logged.", ("event",), events)
        for gauge in self._gauges:
            yield GaugeMetricFamily(gauge.name, gauge.description, value=gauge.read())

    def _statement_seconds(self) -> "Metric":
        from prometheus_client.core import HistogramMetricFamily

        seconds = HistogramMetricFamily(
            "dewledge_statement_seconds",
            "Seconds from a statement to its answer.",
            labels=DurationLabels.__struct_fields__,
        )
        for labels, durations in self._seconds.items():
            values = msgspec.structs.astuple(labels)
            seconds.add_metric(values, list(durations.cumulative()), durations.total)
        return seconds


def _counter(
    name: str,
    description: str,
    labels: Sequence[str],
    counts: Iterable[tuple[Sequence[str], int]],
) -> "Metric":
    """Returns a counter with the values of its labels and their counts."""
    from prometheus_client.core import CounterMetricFamily

    family = CounterMetricFamily(name, description, labels=labels)
    for values, count in counts:
        family.add_metric(values, count)
    return family


def _accuracy(expected_ms: int, real_ms: int) -> Accuracy:
    shorter, longer = sorted(max(each, LEAST_COMPARED_MS) for each in (expected_ms, real_ms))
    if longer <= shorter * QUARTER:
        return Accuracy.WITHIN_QUARTER
    return Accuracy.WITHIN_TWICE if longer <= shorter * TWICE else Accuracy.BEYOND
