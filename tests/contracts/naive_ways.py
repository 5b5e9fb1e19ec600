"""Naive ways that break a promise; tests of the checkers run them to see that harm is found."""

from collections import defaultdict, deque
from collections.abc import Iterable

import msgspec

from dewledge.core.proxy.assembly.effects import ProxyEffect
from dewledge.core.proxy.calls import Operation, Outcome
from dewledge.core.proxy.configuration.store import StoreCall, StoreCaller
from dewledge.core.proxy.effects import AnswerCaller, RunJob, SendToPeer
from dewledge.core.proxy.jobs import Job, JobDone, JobResult
from dewledge.core.proxy.messages import (
    ConfigurationDelta,
    ConfigurationRequest,
    ConfigurationSnapshotMessage,
    PeerMessage,
    StatementDone,
    StatementRequest,
)
from dewledge.simulation.interceptor import Interceptor
from dewledge.simulation.naive import RemembersRequests
from dewledge.simulation.simulated_proxy import SimulatedProxy

RESEND_TIME_LIMIT = 1.0
"""Simulated seconds."""

_SPREAD_MESSAGES = (ConfigurationDelta, ConfigurationSnapshotMessage)


class ResendsUnknown(RemembersRequests):
    """Sends a write whose outcome is not known once more, also without a key."""

    def effect(self, effect: ProxyEffect) -> Iterable[ProxyEffect]:
        """Sends again in place of saying that the outcome is unknown."""
        if not isinstance(effect, AnswerCaller):
            return (effect,)
        request = self._requests.pop(effect.request_id, None)
        if request is None or effect.answer.outcome is not Outcome.UNKNOWN:
            return (effect,)
        if request.transaction is not None or request.operation is not Operation.EXECUTE:
            return (effect,)
        deadline = self.proxy.now() + RESEND_TIME_LIMIT
        self.proxy.submit_again(
            msgspec.structs.replace(request, deadline=deadline, idempotency_key=None)
        )
        return ()


class UnknownIsNotRun(Interceptor):
    """Tells a caller "not run" wherever no success was seen."""

    def effect(self, effect: ProxyEffect) -> Iterable[ProxyEffect]:
        """Turns unknown into not run."""
        if isinstance(effect, AnswerCaller) and effect.answer.outcome is Outcome.UNKNOWN:
            answer = msgspec.structs.replace(effect.answer, outcome=Outcome.NOT_RUN)
            return (AnswerCaller(effect.request_id, answer),)
        return (effect,)


class AnswersByOrder(Interceptor):
    """Takes an answer to be that of the oldest request, not of the one whose id it carries."""

    def __init__(self, proxy: SimulatedProxy) -> None:
        super().__init__(proxy)
        self._sent: dict[tuple[str, str], deque[int]] = defaultdict(deque)

    def effect(self, effect: ProxyEffect) -> Iterable[ProxyEffect]:
        """Remembers the order of requests to a database through a peer."""
        if isinstance(effect, SendToPeer) and isinstance(effect.message, StatementRequest):
            self._sent[effect.peer, effect.message.database].append(effect.message.correlation)
        return (effect,)

    def peer_message(self, peer: str, message: PeerMessage) -> PeerMessage | None:
        """Gives an answer the id of the oldest request."""
        if not isinstance(message, StatementDone):
            return message
        sent = self._sent[peer, message.database]
        if not sent:
            return message
        return msgspec.structs.replace(message, correlation=sent.popleft())


class SharesTransactionConnection(Interceptor):
    """Gives all transactions of a gateway one connection, as a pool without ownership does."""

    def __init__(self, proxy: SimulatedProxy) -> None:
        super().__init__(proxy)
        self._shared: int | None = None
        self._owners: set[int] = set()
        self._last_done: JobDone | None = None

    def effect(self, effect: ProxyEffect) -> Iterable[ProxyEffect]:
        """Moves the work of every transaction to the connection of the first one."""
        if not isinstance(effect, RunJob):
            return (effect,)
        job = effect.job
        if job.operation is Operation.BEGIN:
            return self._begin(job)
        if self._shared is None or job.connection_id not in self._owners:
            return (effect,)
        shared = self._shared
        if job.operation in (Operation.COMMIT, Operation.ROLLBACK):
            self._shared = None
            self._owners.clear()
        return (RunJob(msgspec.structs.replace(job, connection_id=shared)),)

    def job_result(self, result: JobResult) -> JobResult:
        """Remembers a success, whose position a begin that is not sent is answered with."""
        if isinstance(result, JobDone):
            self._last_done = result
        return result

    def _begin(self, job: Job) -> Iterable[ProxyEffect]:
        self._owners.add(job.connection_id)
        if self._shared is None or self._last_done is None:
            self._shared = job.connection_id
            return (RunJob(job),)
        done = JobDone(job.job_id, self._last_done.role, self._last_done.position)
        self.proxy.report_job(done)
        return ()


class DeafToChanges(Interceptor):
    """Keeps the configuration that it started with."""

    def peer_message(self, peer: str, message: PeerMessage) -> PeerMessage | None:
        """Drops changes once there is a configuration."""
        if isinstance(message, _SPREAD_MESSAGES) and self.proxy.core.has_configuration:
            return None
        return message

    def effect(self, effect: ProxyEffect) -> Iterable[ProxyEffect]:
        """Asks neither peers nor the store once there is a configuration."""
        if not self.proxy.core.has_configuration:
            return (effect,)
        if isinstance(effect, SendToPeer) and isinstance(effect.message, ConfigurationRequest):
            return ()
        if isinstance(effect, StoreCall) and effect.caller is StoreCaller.POLLER:
            return ()
        return (effect,)


class EndsAtOnce(Interceptor):
    """Ends as soon as it is told to stop."""

    def may_end(self) -> bool:
        """Does not look at what is unfinished."""
        return True
