"""The measures, taken from a run's history alone."""

from collections import Counter, defaultdict
from itertools import pairwise

from hdrh.histogram import HdrHistogram

from dewledge.bench.figures import (
    ConnectionUse,
    FailoverGap,
    LatencyFigures,
    OutcomeCount,
    ReadFigures,
    ViolationCount,
)
from dewledge.core.proxy.calls import Access, Operation, Outcome
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.simulation.history import (
    CommitRecord,
    ElectionRecord,
    History,
    RequestRecord,
    WorkRecord,
)
from dewledge.simulation.violations import Violation

MICROSECONDS = 1_000_000
MICROSECONDS_PER_MILLISECOND = 1000.0
LEAST_LATENCY = 1
MOST_LATENCY = 60 * MICROSECONDS
SIGNIFICANT_FIGURES = 3

READS = "read"
WRITES = "write"
TRANSACTION_STEPS = "transaction step"


def measure_reads(history: History) -> ReadFigures:
    """Counts who served the reads, and who could have."""
    work = _reads_by_marker(history)
    reads = [request for request in history.requests if _is_done_read(request)]
    return ReadFigures(
        answered=len(reads),
        by_replica=sum(1 for request in reads if _was_by_replica(request, work)),
        allowed=sum(1 for request in reads if request.fresh_replica),
        without_floor=sum(1 for request in reads if not request.has_floor),
    )


def measure_failovers(
    history: History, elections: list[ElectionRecord], struck_at: list[float]
) -> tuple[FailoverGap, ...]:
    """Measures each group's loss of its primary, for strikes at these times in every group."""
    groups = sorted({request.group for request in history.requests})
    acknowledged = _acknowledged_at(history)
    spans = pairwise([*sorted(struck_at), history.ended_at])
    return tuple(
        _measure_failover(history, elections, group, begin, end, acknowledged)
        for begin, end in spans
        for group in groups
    )


def measure_latency(history: History) -> tuple[LatencyFigures, ...]:
    """Measures the latency of done requests by class."""
    histograms: dict[str, HdrHistogram] = {}
    for request in history.requests:
        if request.outcome is not Outcome.DONE or request.answered_at is None:
            continue
        name = _class_of(request)
        if name not in histograms:
            histograms[name] = HdrHistogram(LEAST_LATENCY, MOST_LATENCY, SIGNIFICANT_FIGURES)
        latency = round((request.answered_at - request.sent_at) * MICROSECONDS)
        histograms[name].record_value(max(LEAST_LATENCY, latency))
    return tuple(_latency_figures(name, histograms[name]) for name in sorted(histograms))


def count_outcomes(history: History) -> tuple[OutcomeCount, ...]:
    """Counts how requests ended."""
    counts = Counter((request.outcome, request.code) for request in history.requests)
    found = [OutcomeCount(outcome, code, count) for (outcome, code), count in counts.items()]
    return tuple(sorted(found, key=lambda item: (str(item.outcome), str(item.code))))


def measure_connections(history: History, limit: int) -> tuple[ConnectionUse, ...]:
    """Returns the most connections that each database had, against the limit."""
    peaks = history.peak_connections_by_database
    return tuple(ConnectionUse(name, peaks[name], limit) for name in sorted(peaks))


def count_violations(violations: tuple[Violation, ...]) -> tuple[ViolationCount, ...]:
    """Counts violations by promise."""
    counts = Counter(item.promise for item in violations)
    return tuple(ViolationCount(promise, counts[promise]) for promise in sorted(counts))


def count_statements(history: History) -> int:
    """Counts the operations that the databases ran, without opened connections."""
    return sum(1 for work in history.work if work.operation is not None)


def _is_done_read(request: RequestRecord) -> bool:
    return (
        request.access is Access.READ
        and request.operation is Operation.EXECUTE
        and request.transaction_tag is None
        and request.outcome is Outcome.DONE
    )


def _reads_by_marker(history: History) -> dict[str, list[WorkRecord]]:
    found: dict[str, list[WorkRecord]] = defaultdict(list)
    for work in history.work:
        if work.operation is Operation.EXECUTE and work.access is Access.READ:
            found[work.marker].append(work)
    return found


def _was_by_replica(request: RequestRecord, work: dict[str, list[WorkRecord]]) -> bool:
    """The last run before the answer gave it; earlier ones were behind, or too slow."""
    answered_at = request.answered_at or 0.0
    runs = [item for item in work[request.marker] if item.time <= answered_at]
    return bool(runs) and runs[-1].role is DatabaseRole.REPLICA


def _acknowledged_at(history: History) -> dict[str, float]:
    """Returns when the acknowledgement of each single write first reached its caller."""
    found: dict[str, float] = {}
    for request in history.requests:
        is_write = request.access is Access.WRITE and request.operation is Operation.EXECUTE
        if not is_write or request.transaction_tag is not None or request.answered_at is None:
            continue
        if request.outcome is Outcome.DONE and request.marker not in found:
            found[request.marker] = request.answered_at
    return found


def _measure_failover(
    history: History,
    elections: list[ElectionRecord],
    group: str,
    begin: float,
    end: float,
    acknowledged: dict[str, float],
) -> FailoverGap:
    elected = [
        item.time - begin for item in elections if item.group == group and begin < item.time <= end
    ]
    landed = [
        (acknowledged[marker] - begin, commit.time - begin)
        for commit in history.commits
        if _is_after(commit, group, begin, end)
        for marker in commit.markers
        if marker in acknowledged
    ]
    gap, committed = min(landed, default=(None, None))
    return FailoverGap(group, begin, min(elected, default=None), committed, gap)


def _is_after(commit: CommitRecord, group: str, begin: float, end: float) -> bool:
    return commit.group == group and begin < commit.time <= end and commit.survives


def _class_of(request: RequestRecord) -> str:
    if request.transaction_tag is not None:
        return TRANSACTION_STEPS
    return READS if request.access is Access.READ else WRITES


def _latency_figures(name: str, histogram: HdrHistogram) -> LatencyFigures:
    def milliseconds(percentile: float) -> float:
        value: int = histogram.get_value_at_percentile(percentile)
        return value / MICROSECONDS_PER_MILLISECOND

    return LatencyFigures(
        name=name,
        count=histogram.get_total_count(),
        p50_ms=milliseconds(50.0),
        p99_ms=milliseconds(99.0),
        p999_ms=milliseconds(99.9),
    )
