"""dewledge and the naive ways it is compared with, each run under the same arrivals."""

from collections.abc import Iterable
from enum import StrEnum

import msgspec

from dewledge.core.proxy.assembly.effects import ProxyEffect
from dewledge.core.proxy.assembly.parts import ProxyCoreSettings
from dewledge.core.proxy.calls import Operation, Outcome
from dewledge.core.proxy.effects import AnswerCaller
from dewledge.core.proxy.entry.settings import EntrySettings
from dewledge.simulation.interceptor import Interceptor
from dewledge.simulation.naive import (
    NoFreshnessCheck,
    PoolsOfItsOwn,
    ReadsToPrimary,
    RemembersRequests,
)
from dewledge.simulation.world import MakeInterceptor

RETRY_PAUSE = 0.01
"""Seconds after which the retry without budget sends a refused request again."""

UNLIMITED = 1e9

FIRST_READ_LAG_LIMIT = 0.1
"""Seconds; what the entry setting of that name is in the variant that uses it."""


class VariantName(StrEnum):
    """dewledge itself, dewledge with first reads on replicas, and the baselines."""

    DEWLEDGE = "dewledge"
    FIRST_READS = "dewledge-first-reads"
    PRIMARY_READS = "primary-reads"
    UNCHECKED_REPLICAS = "unchecked-replicas"
    OWN_POOLS = "own-pools"
    UNBOUNDED_RETRY = "unbounded-retry"


BASELINES = tuple(name for name in VariantName if name is not VariantName.DEWLEDGE)


class Variant(msgspec.Struct, frozen=True):
    """How a run differs from dewledge. meaning: for the report."""

    meaning: str
    make_interceptor: MakeInterceptor = Interceptor
    settings: ProxyCoreSettings = ProxyCoreSettings()


class RetriesWithoutBudget(RemembersRequests):
    """Sends every refused single request again after a short pause, up to its deadline."""

    def effect(self, effect: ProxyEffect) -> Iterable[ProxyEffect]:
        """Sends again in place of saying that the request was not run."""
        if not isinstance(effect, AnswerCaller):
            return (effect,)
        request = self._requests[effect.request_id]
        single = request.transaction is None and request.operation is Operation.EXECUTE
        in_time = self.proxy.now() + RETRY_PAUSE < request.deadline
        if effect.answer.outcome is Outcome.NOT_RUN and single and in_time:
            self.proxy.submit_again(request, RETRY_PAUSE)
            return ()
        del self._requests[effect.request_id]
        return (effect,)


VARIANTS: dict[VariantName, Variant] = {
    VariantName.DEWLEDGE: Variant("the decision core as the daemon runs it"),
    VariantName.FIRST_READS: Variant(
        f"dewledge with first_read_lag_limit {FIRST_READ_LAG_LIMIT} s in place of 0",
        settings=ProxyCoreSettings(entry=EntrySettings(first_read_lag_limit=FIRST_READ_LAG_LIMIT)),
    ),
    VariantName.PRIMARY_READS: Variant("every read goes to the primary", ReadsToPrimary),
    VariantName.UNCHECKED_REPLICAS: Variant(
        "reads are spread over the replicas, whatever they have applied", NoFreshnessCheck
    ),
    VariantName.OWN_POOLS: Variant(
        "each proxy holds connections to every database, without gateways", PoolsOfItsOwn
    ),
    VariantName.UNBOUNDED_RETRY: Variant(
        "a refused request is sent again every 10 ms until its deadline, without a budget",
        RetriesWithoutBudget,
        ProxyCoreSettings(entry=EntrySettings(retry_ratio=UNLIMITED, retry_reserve=UNLIMITED)),
    ),
}
