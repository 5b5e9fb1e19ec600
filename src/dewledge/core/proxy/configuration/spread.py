"""Spreading accepted changes of configuration from proxy to proxy, never backwards.

A change is pushed to a few random members by whoever sees it for the first time (epidemic push,
Demers et al., "Epidemic algorithms for replicated database maintenance", PODC 1987). Whoever is
missed notices by the revision that every membership datagram shows, and asks for what it lacks.
Each revision was won by compare-and-set on the store, so a revision number names one content.
"""

from collections.abc import Iterable, Sequence
from random import Random

import msgspec

from dewledge.core.proxy.configuration.codec import (
    decode_change,
    decode_snapshot,
    encode_change,
    encode_snapshot,
)
from dewledge.core.proxy.configuration.configuration import (
    EMPTY_CONFIGURATION,
    ChangeSet,
    Configuration,
    ResourceKey,
)
from dewledge.core.proxy.configuration.history import ChangeHistory, RecordedChange
from dewledge.core.proxy.effects import LogEvent, SendToPeer
from dewledge.core.proxy.membership.member import Member
from dewledge.core.proxy.messages import (
    ConfigurationDelta,
    ConfigurationDigest,
    ConfigurationRequest,
    ConfigurationSnapshotMessage,
    PeerMessage,
)
from dewledge.errors import ProtocolError

UNSOLICITED = 0
"""Number of a message that answers no request; requests begin at 1."""
MAX_PEERS_AHEAD = 8
"""Peers kept that showed a later revision: one is asked, the others stand in."""


class SpreadSettings(msgspec.Struct, frozen=True):
    """push_fanout: members to whom a new change is pushed.

    request_timeout: seconds until another peer is asked. history_length: changes kept for peers
    that lag; who lags further gets a snapshot. max_delta_bytes: bound of one answer;
    max_push_bytes: a longer run of changes is not pushed on but fetched.
    """

    push_fanout: int = 4
    request_timeout: float = 1.0
    history_length: int = 256
    max_delta_bytes: int = 256 * 1024
    max_push_bytes: int = 64 * 1024


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """A higher revision is in force here from now on."""

    configuration: Configuration


SpreadEffect = SendToPeer | ConfigurationChanged | LogEvent

SpreadMessage = (
    ConfigurationRequest | ConfigurationDelta | ConfigurationSnapshotMessage | ConfigurationDigest
)


class _Request(msgspec.Struct, frozen=True):
    peer: str
    correlation: int
    deadline: float


class ConfigurationSpread:
    """One proxy's configuration and what it tells and asks of its peers.

    configuration: the one in force; only ever replaced by one of a higher revision.
    """

    def __init__(self, me: str, random: Random, settings: SpreadSettings | None = None) -> None:
        self.configuration = EMPTY_CONFIGURATION
        self._me = me
        self._random = random
        self._settings = settings or SpreadSettings()
        self._history = ChangeHistory(self._settings.history_length)
        self._snapshot: ConfigurationSnapshotMessage | None = None
        self._peers: tuple[str, ...] = ()
        self._ahead: dict[str, int] = {}
        self._later: dict[str, int] = {}
        self._request: _Request | None = None
        self._correlation = 0
        self._effects: list[SpreadEffect] = []

    @property
    def is_behind(self) -> bool:
        """Whether some present peer is known to have a later configuration.

        It stays so when that peer does not answer, until it is gone.
        """
        return any(peer in self._peers for peer in self._later)

    def set_members(self, members: Iterable[Member], now: float) -> list[SpreadEffect]:
        """Takes the members that are not gone as the peers to push to."""
        self._peers = tuple(item.name for item in members if item.name != self._me)
        present = set(self._peers)
        self._ahead = {peer: value for peer, value in self._ahead.items() if peer in present}
        self._later = {peer: value for peer, value in self._later.items() if peer in present}
        return self.tick(now)

    def handle_peer_message(
        self, peer: str, message: SpreadMessage, now: float
    ) -> list[SpreadEffect]:
        """Takes in a message; what does not decode is dropped and logged."""
        try:
            self._dispatch(peer, message, now)
        except ProtocolError as error:
            self._log("configuration_message_dropped", peer=peer, reason=error.message)
        return self._drain()

    def handle_peer_revision(self, peer: str, revision: int, now: float) -> list[SpreadEffect]:
        """Notes the revision in force at a peer, and asks for what is missing here."""
        self._note_revision(peer, revision, now)
        return self._drain()

    def adopt_change(self, change: ChangeSet, now: float) -> list[SpreadEffect]:
        """Takes a change that the store has accepted, and pushes it on."""
        self._take_changes([RecordedChange(change, encode_change(change))], self._me, now)
        return self._drain()

    def adopt_snapshot(self, configuration: Configuration, now: float) -> list[SpreadEffect]:
        """Takes a whole configuration read from the store, if its revision is higher."""
        self._take_configuration(configuration, now)
        return self._drain()

    def tick(self, now: float) -> list[SpreadEffect]:
        """Asks another peer when the one asked has not answered."""
        if self._request is not None and now >= self._request.deadline:
            self._ahead.pop(self._request.peer, None)
            self._request = None
            self._ask(now)
        return self._drain()

    def next_wake(self) -> float | None:
        """Returns when `tick` is next due, or None."""
        return None if self._request is None else self._request.deadline

    def _dispatch(self, peer: str, message: SpreadMessage, now: float) -> None:
        match message:
            case ConfigurationRequest():
                self._answer(peer, message)
            case ConfigurationDelta():
                changes = [
                    RecordedChange(decode_change(item), item) for item in message.change_sets
                ]
                self._take_changes(changes, peer, now)
            case ConfigurationSnapshotMessage():
                if message.revision > self.configuration.revision:
                    self._take_configuration(decode_snapshot(message.snapshot), now)
            case ConfigurationDigest():
                self._note_revision(peer, message.revision, now)
                if message.revision < self.configuration.revision:
                    self._answer(peer, ConfigurationRequest(UNSOLICITED, message.revision))

    def _answer(self, peer: str, request: ConfigurationRequest) -> None:
        """Sends the changes after the requested revision, or all if they are no longer kept."""
        if request.revision >= self.configuration.revision:
            return
        changes = self._history.since(request.revision, self._settings.max_delta_bytes)
        if changes:
            self._send(peer, ConfigurationDelta(request.correlation, changes))
            return
        snapshot = self._snapshot_message()
        answer = msgspec.structs.replace(snapshot, correlation=request.correlation)
        self._send(peer, answer)

    def _snapshot_message(self) -> ConfigurationSnapshotMessage:
        revision = self.configuration.revision
        if self._snapshot is None or self._snapshot.revision != revision:
            data = encode_snapshot(self.configuration)
            self._snapshot = ConfigurationSnapshotMessage(UNSOLICITED, revision, data)
        return self._snapshot

    def _take_changes(self, changes: Sequence[RecordedChange], sender: str, now: float) -> None:
        """Applies what follows on directly; a gap is filled by asking."""
        revision = self.configuration.revision
        fitting: list[RecordedChange] = []
        for item in changes:
            if item.change.revision == revision + len(fitting) + 1:
                fitting.append(item)
        if fitting:
            self._history.extend(fitting)
            self._put_in_force(with_changes(self.configuration, [it.change for it in fitting]))
            self._push([item.data for item in fitting], sender)
        highest = max((item.change.revision for item in changes), default=0)
        self._note_revision(sender, highest, now)
        if self._request is None:
            self._ask(now)

    def _take_configuration(self, configuration: Configuration, now: float) -> None:
        if configuration.revision <= self.configuration.revision:
            return
        self._history.clear()
        self._put_in_force(configuration)
        if self._request is None:
            self._ask(now)

    def _put_in_force(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._snapshot = None
        self._ahead = _later_than(configuration.revision, self._ahead)
        self._later = _later_than(configuration.revision, self._later)
        self._request = None
        self._effects.append(ConfigurationChanged(configuration))
        self._log("configuration_in_force", revision=configuration.revision)

    def _push(self, changes: list[bytes], sender: str) -> None:
        if sum(len(data) for data in changes) > self._settings.max_push_bytes:
            return
        others = [peer for peer in self._peers if peer != sender]
        chosen = self._random.sample(others, min(len(others), self._settings.push_fanout))
        message = ConfigurationDelta(UNSOLICITED, tuple(changes))
        for peer in chosen:
            self._send(peer, message)

    def _note_revision(self, peer: str, revision: int, now: float) -> None:
        if revision <= self.configuration.revision or peer == self._me:
            return
        if peer in self._ahead or len(self._ahead) < MAX_PEERS_AHEAD:
            self._ahead[peer] = revision
            self._later[peer] = revision
        if self._request is None:
            self._ask(now)

    def _ask(self, now: float) -> None:
        """Asks one of the peers known to be ahead for what follows our revision."""
        if not self._ahead:
            return
        peer = self._random.choice(sorted(self._ahead))
        self._correlation += 1
        deadline = now + self._settings.request_timeout
        self._request = _Request(peer, self._correlation, deadline)
        self._send(peer, ConfigurationRequest(self._correlation, self.configuration.revision))

    def _send(self, peer: str, message: PeerMessage) -> None:
        self._effects.append(SendToPeer(peer, message))

    def _log(self, name: str, **fields: str | int | float | None) -> None:
        self._effects.append(LogEvent(name, tuple(fields.items())))

    def _drain(self) -> list[SpreadEffect]:
        effects, self._effects = self._effects, []
        return effects


def _later_than(revision: int, known: dict[str, int]) -> dict[str, int]:
    return {peer: value for peer, value in known.items() if value > revision}


def with_changes(configuration: Configuration, changes: Sequence[ChangeSet]) -> Configuration:
    """Returns the configuration after consecutive changes, building its indexes only once."""
    resources = dict(configuration.resources)
    for change in changes:
        for key in change.deleted:
            resources.pop(key, None)
        for item in change.put:
            resources[ResourceKey(item.kind, item.name)] = item
    return Configuration(changes[-1].revision, resources.values())
