"""Counters, histograms and gauges of one pooler, in the Prometheus text format.

The number of time series is bounded: label values are statement kinds, codes and event names that
the code defines. The metrics library is imported at the first scrape, because its import would
delay the start of the process.
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
"""Seconds: upper bounds of buckets, finer around the latency targets of routes (0.4 to 1 s)."""
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Media type of the result of `PoolerMetrics.render`."""

WITHIN_QUARTER_FACTOR = 1.25
"""Factor: largest ratio of the longer to the shorter duration for Accuracy.WITHIN_QUARTER."""
WITHIN_TWICE_FACTOR = 2.0
"""Factor: largest ratio of the longer to the shorter duration for Accuracy.WITHIN_TWICE."""
MIN_COMPARED_MS = 5
"""Milliseconds to which shorter durations are raised before they are compared, because rounding
alone makes such durations differ by large factors."""


class Accuracy(StrEnum):
    """Difference between the expected and the actual duration of a statement.

    WITHIN_QUARTER: the longer duration is at most 1.25 times the shorter. WITHIN_TWICE: at most
    twice the shorter. BEYOND: more than twice.
    """

    WITHIN_QUARTER = "within_quarter"
    WITHIN_TWICE = "within_twice"
    BEYOND = "beyond"


class StatementLabels(msgspec.Struct, frozen=True):
    """Labels of the counter of answered statements."""

    kind: str
    consistency: str
    outcome: str


class DurationLabels(msgspec.Struct, frozen=True):
    """Labels of the histogram of statement durations."""

    kind: str
    consistency: str


class AttemptLabels(msgspec.Struct, frozen=True):
    """Labels of the counter of attempts at databases."""

    proof: str
    result: str


class _Durations:
    """Histogram of durations: a count for each bucket, and the sum in seconds."""

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS) + 1)
        self.total = 0.0

    def add(self, seconds: float) -> None:
        self.counts[bisect_left(LATENCY_BUCKETS, seconds)] += 1
        self.total += seconds

    def cumulative(self) -> Iterator[tuple[str, float]]:
        """Yields each upper bound with the number of durations up to it."""
        count = 0
        for bound, added in zip((*LATENCY_BUCKETS, float("inf")), self.counts, strict=True):
            count += added
            yield ("+Inf" if bound == float("inf") else str(bound), float(count))


class _Gauge(msgspec.Struct, frozen=True):
    name: str
    description: str
    read: Callable[[], float]


class PoolerMetrics:
    """Collects the metrics of one process and renders them for scrapes."""

    def __init__(self) -> None:
        self._statements: Counter[StatementLabels] = Counter()
        self._durations: dict[DurationLabels, _Durations] = {}
        self._attempts: Counter[AttemptLabels] = Counter()
        self._events: Counter[str] = Counter()
        self._accuracies: Counter[Accuracy] = Counter()
        self._gauges: list[_Gauge] = []

    def add_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Adds a gauge; `read` returns its value and is called at each scrape."""
        self._gauges.append(_Gauge(f"dewledge_{name}", description, read))

    def observe_statement(self, event: StatementAnswered) -> None:
        """Counts an answered statement, its duration and its attempts.

        If it was done at the first attempt, also counts the accuracy of its expected duration.
        """
        self._statements[StatementLabels(event.kind, event.consistency, event.outcome)] += 1
        labels = DurationLabels(event.kind, event.consistency)
        durations = self._durations.setdefault(labels, _Durations())
        durations.add(event.waited_ms / MILLISECONDS_PER_SECOND)
        attempts = event.way.split(",")
        if event.expected_ms >= 0 and len(attempts) == 1 and event.outcome == "done":
            self._accuracies[_accuracy(event.expected_ms, event.waited_ms)] += 1
        for attempt in attempts:
            parts = attempt.partition("@")[0].split(":")
            if len(parts) == len(("database", "proof", "result")):
                self._attempts[AttemptLabels(parts[1] or "pinned", parts[2])] += 1

    def count_event(self, name: str) -> None:
        """Counts a logged event under its name."""
        self._events[name] += 1

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterable["Metric"]:
        """Yields all metric families; called by the Prometheus client library."""
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
        for labels, durations in self._durations.items():
            values = msgspec.structs.astuple(labels)
            seconds.add_metric(values, list(durations.cumulative()), durations.total)
        return seconds


def _counter(
    name: str,
    description: str,
    labels: Sequence[str],
    counts: Iterable[tuple[Sequence[str], int]],
) -> "Metric":
    """Returns a counter family; `counts` pairs label values with their count."""
    from prometheus_client.core import CounterMetricFamily

    family = CounterMetricFamily(name, description, labels=labels)
    for values, count in counts:
        family.add_metric(values, count)
    return family


def _accuracy(expected_ms: int, actual_ms: int) -> Accuracy:
    shorter, longer = sorted(max(each, MIN_COMPARED_MS) for each in (expected_ms, actual_ms))
    if longer <= shorter * WITHIN_QUARTER_FACTOR:
        return Accuracy.WITHIN_QUARTER
    return Accuracy.WITHIN_TWICE if longer <= shorter * WITHIN_TWICE_FACTOR else Accuracy.BEYOND
