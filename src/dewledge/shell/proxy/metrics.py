"""Metrics in the Prometheus format, in a registry of their own for each proxy.

Labels are bounded: operations, outcomes and codes are enumerations, event names are constants of
the code.
"""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from dewledge.core.proxy.calls import Access, CallerAnswer, Operation

CONTENT_TYPE = CONTENT_TYPE_LATEST

LATENCY_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class MetricsRegistry:
    """A registry of its own for one process, with gauges that are read when asked for."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()

    def add_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Adds a gauge whose value is read when metrics are asked for."""
        Gauge(f"dewledge_{name}", description, registry=self._registry).set_function(read)

    def render(self) -> bytes:
        """Returns all metrics in the text format."""
        return generate_latest(self._registry)


class ProxyMetrics(MetricsRegistry):
    """The counters, histograms and gauges of one proxy."""

    def __init__(self) -> None:
        super().__init__()
        self._requests = Counter(
            "dewledge_requests",
            "Callers' requests answered.",
            ("operation", "access", "outcome", "code"),
            registry=self._registry,
        )
        self._seconds = Histogram(
            "dewledge_request_seconds",
            "Seconds from a whole request to its answer.",
            ("operation", "access"),
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self._events = Counter(
            "dewledge_events", "Events logged.", ("event",), registry=self._registry
        )
        self._request_children: dict[tuple[str, ...], Counter] = {}
        self._seconds_children: dict[tuple[str, ...], Histogram] = {}

    def observe_answer(
        self, operation: Operation, access: Access, answer: CallerAnswer, seconds: float
    ) -> None:
        """Counts one answered request."""
        labels = (operation, access, answer.outcome, answer.code or "")
        counter = self._request_children.get(labels)
        if counter is None:
            counter = self._requests.labels(*labels)
            self._request_children[labels] = counter
        counter.inc()
        histogram = self._seconds_children.get(labels[:2])
        if histogram is None:
            histogram = self._seconds.labels(*labels[:2])
            self._seconds_children[labels[:2]] = histogram
        histogram.observe(seconds)

    def count_event(self, name: str) -> None:
        """Counts one logged event."""
        self._events.labels(name).inc()
