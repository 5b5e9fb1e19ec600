"""The coordination parts of dewledge as a library: the public names, re-exported in one place.

Each part is a state machine or a set of pure functions. None has sockets, threads, a clock or a
random source of its own: a method takes an event and `now` (seconds on any monotonic clock) and
returns effects, which the embedding program carries out. An object is used by one thread at a time.
What is not named here may change between versions. docs/EMBEDDING.md has a worked example.

Membership (SWIM with Lifeguard, over datagrams that the program sends):
    `Membership`, `MembershipSettings`, `Member`, `MemberState`; its effects
    `SendDatagram`, `MembersChanged`, `PeerRevisionSeen`, `StoreContactSeen`, together
    `MembershipEffect`.

Configuration spread (accepted changes from peer to peer, never backwards):
    `ConfigurationSpread`, `SpreadSettings`, `Configuration`, `EMPTY_CONFIGURATION`, `ChangeSet`,
    `ResourceKey`; its effects `SendToPeer`, `ConfigurationChanged`, together `SpreadEffect`;
    `encode_message` and `decode_message` for what goes over links (raises `ProtocolError`).

Resources, labels and selectors:
    `Resource`, `Kind`, `GroupSpec`, `DatabaseSpec`, `ProxySpec`, `CallerSpec`, `RuleSpec`,
    `RuleEffect`, `Access`, `Selector`, `Expression`, `SelectorOperator`, `matches`,
    `AccessPolicy`.

Placement and isolation:
    `GatewayPlacement` (rendezvous hashing of the live members), `IsolationGuard` and
    `IsolationSettings` (whether a process that may be cut off may still serve).

Admission under load:
    `FairQueue` and `QueueEntry` (weighted fair queueing), `ServiceRate`, `Refusal`,
    `wait_refusal`, `full_refusal`, `RetryBudget`.

Sessions, positions and the choice of a server:
    `SessionTokenCodec` (raises `BadSessionToken`), `SessionFloors`, `NO_FLOORS`; `LogPosition`,
    `TermStart`, `LOG_START`, `satisfies`, `is_cut_off`; `GroupDescription`, `DatabaseDescription`,
    `DatabaseStatus`, `DatabaseRole`, `describe`, `with_databases`, `with_status`, `with_applied`,
    `with_unavailable`, `with_lag_sample`; `choose_replica`, `readable_replicas`, `ReadQuery`,
    `ReadChoice`, `Freshness`.

Shared:
    `LogEvent` (one line for the log), `DewledgeError` and `ErrorCode`.
"""

from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.configuration.authorization import AccessPolicy
from dewledge.core.proxy.configuration.configuration import (
    EMPTY_CONFIGURATION,
    ChangeSet,
    Configuration,
    ResourceKey,
)
from dewledge.core.proxy.configuration.resources import (
    CallerSpec,
    DatabaseSpec,
    Expression,
    GroupSpec,
    Kind,
    ProxySpec,
    Resource,
    RuleEffect,
    RuleSpec,
    Selector,
    SelectorOperator,
)
from dewledge.core.proxy.configuration.selectors import matches
from dewledge.core.proxy.configuration.spread import (
    ConfigurationChanged,
    ConfigurationSpread,
    SpreadEffect,
    SpreadSettings,
)
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.proxy.effects import LogEvent, SendToPeer
from dewledge.core.proxy.entry.group_description import (
    DatabaseDescription,
    GroupDescription,
    describe,
    with_applied,
    with_databases,
    with_lag_sample,
    with_status,
    with_unavailable,
)
from dewledge.core.proxy.entry.server_selection import (
    Freshness,
    ReadChoice,
    ReadQuery,
    choose_replica,
    readable_replicas,
)
from dewledge.core.proxy.entry.session_token import NO_FLOORS, SessionFloors, SessionTokenCodec
from dewledge.core.proxy.gateway.admission import Refusal, full_refusal, wait_refusal
from dewledge.core.proxy.gateway.fair_queue import FairQueue, QueueEntry
from dewledge.core.proxy.membership.isolation import IsolationGuard, IsolationSettings
from dewledge.core.proxy.membership.member import Member, MemberState
from dewledge.core.proxy.membership.membership import Membership
from dewledge.core.proxy.membership.messages import (
    MembersChanged,
    MembershipEffect,
    PeerRevisionSeen,
    SendDatagram,
    StoreContactSeen,
)
from dewledge.core.proxy.membership.placement import GatewayPlacement
from dewledge.core.proxy.membership.settings import MembershipSettings
from dewledge.core.proxy.messages import decode as decode_message
from dewledge.core.proxy.messages import encode as encode_message
from dewledge.core.shared.positions import LOG_START, LogPosition, TermStart, is_cut_off, satisfies
from dewledge.core.shared.retry_budget import RetryBudget
from dewledge.core.shared.service_rate import ServiceRate
from dewledge.errors import BadSessionToken, DewledgeError, ErrorCode, ProtocolError

__all__ = [
    "EMPTY_CONFIGURATION",
    "LOG_START",
    "NO_FLOORS",
    "Access",
    "AccessPolicy",
    "BadSessionToken",
    "CallerSpec",
    "ChangeSet",
    "Configuration",
    "ConfigurationChanged",
    "ConfigurationSpread",
    "DatabaseDescription",
    "DatabaseRole",
    "DatabaseSpec",
    "DatabaseStatus",
    "DewledgeError",
    "ErrorCode",
    "Expression",
    "FairQueue",
    "Freshness",
    "GatewayPlacement",
    "GroupDescription",
    "GroupSpec",
    "IsolationGuard",
    "IsolationSettings",
    "Kind",
    "LogEvent",
    "LogPosition",
    "Member",
    "MemberState",
    "MembersChanged",
    "Membership",
    "MembershipEffect",
    "MembershipSettings",
    "PeerRevisionSeen",
    "ProtocolError",
    "ProxySpec",
    "QueueEntry",
    "ReadChoice",
    "ReadQuery",
    "Refusal",
    "Resource",
    "ResourceKey",
    "RetryBudget",
    "RuleEffect",
    "RuleSpec",
    "Selector",
    "SelectorOperator",
    "SendDatagram",
    "SendToPeer",
    "ServiceRate",
    "SessionFloors",
    "SessionTokenCodec",
    "SpreadEffect",
    "SpreadSettings",
    "StoreContactSeen",
    "TermStart",
    "choose_replica",
    "decode_message",
    "describe",
    "encode_message",
    "full_refusal",
    "is_cut_off",
    "matches",
    "readable_replicas",
    "satisfies",
    "wait_refusal",
    "with_applied",
    "with_databases",
    "with_lag_sample",
    "with_status",
    "with_unavailable",
]
