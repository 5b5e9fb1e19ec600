"""The state that the modules of the entry share; it belongs to `entry.Entry`."""

from random import Random

from dewledge.core.proxy.calls import CallerAnswer, Outcome
from dewledge.core.proxy.configuration.authorization import AccessPolicy
from dewledge.core.proxy.configuration.configuration import EMPTY_CONFIGURATION, Configuration
from dewledge.core.proxy.effects import AnswerCaller, Effect, LogEvent, SendToPeer
from dewledge.core.proxy.entry.group import EntryGroup
from dewledge.core.proxy.entry.pending_requests import PendingRequest, PendingRequests
from dewledge.core.proxy.entry.settings import EntrySettings
from dewledge.core.proxy.membership.placement import GatewayPlacement
from dewledge.core.proxy.messages import PeerMessage
from dewledge.core.proxy.timer_queue import TimerQueue
from dewledge.core.shared.retry_budget import RetryBudget
from dewledge.errors import ErrorCode

_CORRELATION_START_BITS = 48
"""Of the random first request number, so that a process started anew repeats none of its
former numbers."""


class EntryState:
    """Configuration, groups, pending requests, timers, and the effects collected so far."""

    def __init__(self, me: str, zone: str, settings: EntrySettings, random: Random) -> None:
        self.me = me
        self.zone = zone
        self.settings = settings
        self.random = random
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.policy = AccessPolicy(EMPTY_CONFIGURATION)
        self.placement = GatewayPlacement((), EMPTY_CONFIGURATION)
        self.pending = PendingRequests(settings)
        self.budget = RetryBudget(settings.retry_ratio, settings.retry_reserve)
        self.timers: TimerQueue[PendingRequest | EntryGroup] = TimerQueue()
        self.groups: dict[str, EntryGroup] = {}
        self._effects: list[Effect] = []
        # A restarted entry must not take an answer meant for its former self.
        self._correlation = random.getrandbits(_CORRELATION_START_BITS)

    def next_correlation(self) -> int:
        """Returns a correlation that was not used before."""
        self._correlation += 1
        return self._correlation

    def group(self, name: str, now: float) -> EntryGroup:
        """Returns what is kept of a configured group, from now on if nothing was."""
        group = self.groups.get(name)
        if group is None:
            group = EntryGroup(name, self.zones_of(name), self.settings, now)
            self.groups[name] = group
        return group

    def zones_of(self, group: str) -> list[tuple[str, str]]:
        """Returns the (database, zone) pairs of a group."""
        pairs = []
        for name in self.configuration.databases_of(group):
            spec = self.configuration.database(name)
            if spec is not None:
                pairs.append((name, spec.zone))
        return pairs

    @property
    def probe_stretch(self) -> float:
        """By what the pauses between probes are multiplied for many proxies; 1 or more."""
        settings = self.settings
        needed = self.placement.proxy_count / settings.probe_rate
        return max(1.0, needed / settings.probe_interval_least)

    def retry_after(self, least: float = 0.0) -> float:
        """Returns what to tell a refused caller, jittered so that callers do not return at once."""
        base = max(least, self.settings.retry_after)
        return base * (1.0 + 0.5 * self.random.random())

    def send(self, peer: str, message: PeerMessage) -> None:
        """Adds a message to a peer to the effects."""
        self._effects.append(SendToPeer(peer, message))

    def answer(self, request_id: int, answer: CallerAnswer) -> None:
        """Adds an answer to a caller to the effects."""
        self._effects.append(AnswerCaller(request_id, answer))

    def refuse(
        self, request_id: int, code: ErrorCode, message: str, retry_after: float | None = None
    ) -> None:
        """Answers a request that was not accepted."""
        answer = CallerAnswer(Outcome.NOT_RUN, code, message, retry_after=retry_after)
        self.answer(request_id, answer)

    def log(self, name: str, *fields: tuple[str, str | int | float | None]) -> None:
        """Adds a log line to the effects."""
        self._effects.append(LogEvent(name, fields))

    def take_effects(self) -> list[Effect]:
        """Returns the effects collected since the last call."""
        effects = self._effects
        self._effects = []
        return effects
