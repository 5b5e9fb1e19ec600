"""Counters and histograms of one pooler, in the Prometheus text format.

Labels are bounded: kinds, codes and event names are constants of the code.
"""

from prometheus_client import Counter, Histogram

from dewledge.core.pooling.events import StatementAnswered
from dewledge.shell.metrics import MetricsRegistry

LATENCY_BUCKETS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0)
MILLISECONDS = 1000.0


class PoolerMetrics(MetricsRegistry):
    """The registry of one process."""

    def __init__(self) -> None:
        super().__init__()
        self._statements = Counter(
            "dewledge_statements",
            "Clients' statements answered.",
            ("kind", "consistency", "outcome"),
            registry=self._registry,
        )
        self._seconds = Histogram(
            "dewledge_statement_seconds",
            "Seconds from a statement to its answer.",
            ("kind", "consistency"),
            buckets=LATENCY_BUCKETS,
            registry=self._registry,
        )
        self._attempts = Counter(
            "dewledge_statement_attempts",
            "Attempts of statements at databases, by how they ended.",
            ("proof", "result"),
            registry=self._registry,
        )
        self._events = Counter(
            "dewledge_pooler_events", "Events logged.", ("event",), registry=self._registry
        )

    def observe_statement(self, event: StatementAnswered) -> None:
        """Counts an answered statement with its attempts."""
        self._statements.labels(event.kind, event.consistency, event.outcome).inc()
        seconds = event.waited_ms / MILLISECONDS
        self._seconds.labels(event.kind, event.consistency).observe(seconds)
        for attempt in event.way.split(","):
            parts = attempt.partition("@")[0].split(":")
            if len(parts) == len(("database", "proof", "result")):
                self._attempts.labels(parts[1] or "pinned", parts[2]).inc()

    def count_event(self, name: str) -> None:
        """Counts one logged event."""
        self._events.labels(name).inc()
