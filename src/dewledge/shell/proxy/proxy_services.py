"""What the HTTP handlers need of the running proxy."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from dewledge.core.proxy.calls import CallerAnswer, CallerRequest
from dewledge.core.proxy.configuration.authorization import AccessPolicy
from dewledge.core.proxy.configuration.configuration import Configuration
from dewledge.core.proxy.configuration.store import ChangeLookedUp, ProposalFinished, ProposedChange
from dewledge.core.proxy.gateway.report import DatabaseReport
from dewledge.core.proxy.membership.member import Member
from dewledge.shell.proxy.metrics import ProxyMetrics


class DeadlineBounds(msgspec.Struct, frozen=True):
    """Seconds: for a request that names no deadline, and the longest that one may ask for."""

    default: float
    longest: float


class ProxyServices(Protocol):
    """The running proxy as its HTTP handlers see it, on the loop's thread."""

    name: str
    zone: str
    metrics: ProxyMetrics
    deadlines: DeadlineBounds

    @property
    def policy(self) -> AccessPolicy:
        """Who may do what."""

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""

    @property
    def members(self) -> tuple[Member, ...]:
        """The members that are not gone."""

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop is under way."""

    @property
    def is_serving(self) -> bool:
        """Whether new work is taken."""

    @property
    def has_configuration(self) -> bool:
        """Whether any configuration has been learned."""

    def database_reports(self) -> tuple[DatabaseReport, ...]:
        """The figures of the databases this proxy is gateway of."""

    def now(self) -> float:
        """The core's clock, seconds."""

    def next_request_id(self) -> int:
        """A number for one caller's request."""

    def submit_call(
        self, request: CallerRequest, on_answer: Callable[[CallerAnswer], None]
    ) -> None:
        """Hands a caller's request to the core; its answer comes later, or at once."""

    def abandon_call(self, request_id: int) -> None:
        """Tells the core that the caller is gone."""

    def propose(
        self, change: ProposedChange, on_finished: Callable[[ProposalFinished], None]
    ) -> None:
        """Asks for a change of configuration."""

    def look_up_change(self, change_id: str, on_answer: Callable[[ChangeLookedUp], None]) -> None:
        """Asks whether a change stands."""
