"""The figures of a bench report, as typed structures. Times are in seconds unless named _ms."""

import msgspec

from dewledge.bench.scenarios import ScenarioName
from dewledge.bench.variants import VariantName
from dewledge.core.proxy.calls import Outcome
from dewledge.errors import ErrorCode
from dewledge.simulation.deployments import DeploymentName
from dewledge.simulation.violations import Promise


class ReadFigures(msgspec.Struct, frozen=True):
    """Reads outside transactions that were answered.

    by_replica: of those, answered from a replica.
    allowed: of those, some replica held what the session's floor asks for, when the read arrived
        or within the group's read_wait, judged from outside.
    without_floor: of those, sent without any floor; the design gives them to the primary.
    """

    answered: int
    by_replica: int
    allowed: int
    without_floor: int

    @property
    def share(self) -> float:
        """The share of reads served by replicas."""
        return self.by_replica / self.answered if self.answered else 0.0

    @property
    def bound(self) -> float:
        """The greatest share that freshness allows."""
        return self.allowed / self.answered if self.answered else 0.0


class FailoverGap(msgspec.Struct, frozen=True):
    """One group's loss of its primary.

    election: from the strike until a database became primary of a later term.
    committed: from the strike until that write was committed whose acknowledgement came first.
    gap: from the strike until a caller had that acknowledgement.
    Each is None if it did not come about.
    """

    group: str
    struck_at: float
    election: float | None
    committed: float | None
    gap: float | None

    @property
    def excess(self) -> float | None:
        """The gap less the group's own election, in seconds."""
        if self.gap is None or self.election is None:
            return None
        return self.gap - self.election

    @property
    def ratio(self) -> float | None:
        """The gap as a multiple of the group's own election."""
        if self.gap is None or not self.election:
            return None
        return self.gap / self.election


class LatencyFigures(msgspec.Struct, frozen=True):
    """Latency of the done requests of one class, as their callers saw it."""

    name: str
    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


class OutcomeCount(msgspec.Struct, frozen=True):
    """How many requests ended so; without an outcome, the connection broke or nothing came."""

    outcome: Outcome | None
    code: ErrorCode | None
    count: int


class ConnectionUse(msgspec.Struct, frozen=True):
    """The most connections that a database had open at once, and its limit."""

    database: str
    peak: int
    limit: int


class ViolationCount(msgspec.Struct, frozen=True):
    """How often a promise was broken."""

    promise: Promise
    count: int


class RunFigures(msgspec.Struct, frozen=True):
    """What one run of one variant showed."""

    variant: VariantName
    seed: int
    requests: int
    reads: ReadFigures
    failovers: tuple[FailoverGap, ...]
    latency: tuple[LatencyFigures, ...]
    outcomes: tuple[OutcomeCount, ...]
    connections: tuple[ConnectionUse, ...]
    refused_connections: int
    statements_run: int
    violations: tuple[ViolationCount, ...]

    @property
    def violation_total(self) -> int:
        """All violations of all promises."""
        return sum(item.count for item in self.violations)

    @property
    def done(self) -> int:
        """Requests that were done."""
        return sum(item.count for item in self.outcomes if item.outcome is Outcome.DONE)


class VariantFigures(msgspec.Struct, frozen=True):
    """A variant over all seeds.

    Shares count the reads of all seeds together; medians are over the failovers of all seeds.
    violations: of all promises in all runs. stale_reads: of those, reads below the session's own.
    """

    variant: VariantName
    meaning: str
    replica_share: float
    freshness_bound: float
    share_of_bound: float
    gap_median: float | None
    gap_worst: float | None
    election_median: float | None
    excess_median: float | None
    ratio_median: float | None
    failovers: int
    failovers_without_write: int
    violations: int
    stale_reads: int
    refused_connections: int
    runs: tuple[RunFigures, ...]


class LoadDescription(msgspec.Struct, frozen=True):
    """The load of each run. arrivals_per_second: open loop, all groups together."""

    arrivals_per_second: float
    seconds: float
    proxies: int
    groups: int
    databases: int


class BenchReport(msgspec.Struct, frozen=True):
    """The report of one command. violations: those of dewledge, over all seeds."""

    ran_on: str
    deployment: DeploymentName
    scenario: ScenarioName
    seeds: tuple[int, ...]
    load: LoadDescription
    violations: int
    variants: tuple[VariantFigures, ...]
