"""Where the outside forms begin: the only file of this test that may follow renames and moves."""

# ruff: noqa: F401
from typing import Any
from unittest.mock import MagicMock

import msgspec
import typer

import dewledge
from dewledge.adapters import database_protocol, platform_protocol
from dewledge.cli import main as command_line
from dewledge.core.pooler.events import PoolingEvent, StatementAnswered
from dewledge.core.pooler.failover.messages import CandidatesChecked, PhaseChanged
from dewledge.core.pooler.load.verdict import RefusalCause
from dewledge.core.pooler.load.wait_summaries import WaitsCounted
from dewledge.core.pooler.rate_limits.grantor import GrantorChanged
from dewledge.core.pooler.sharing import messages as link_messages
from dewledge.core.pooler.sharing.members import Member
from dewledge.core.pooler.sharing.packing import pack_value, unpack_value
from dewledge.core.pooler.statements.statements import Reply, Statement
from dewledge.core.proxy import messages as proxy_messages
from dewledge.core.proxy.configuration import codec as configuration_codec
from dewledge.core.proxy.configuration import store as configuration_store
from dewledge.core.proxy.configuration.configuration import ChangeSet
from dewledge.core.proxy.database_status import DatabaseStatus
from dewledge.core.proxy.effects import LogEvent
from dewledge.core.proxy.entry.session_token import SessionTokenCodec
from dewledge.core.proxy.membership import messages as membership_messages
from dewledge.core.proxy.ports import ExecutionResult, MachineState, Row, RowWrite
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from dewledge.explain.causes import CASES
from dewledge.explain.ended_processes import EndedProcess
from dewledge.explain.lost import LostStatement
from dewledge.explain.lost_cause import LostCause
from dewledge.explain.lost_report import LostBy, LostSum
from dewledge.explain.waits import GroupWaits
from dewledge.platform import operator_records, store_client, wire_words
from dewledge.platform.wire_codec import WireClientCodec, WireDatabaseCodec
from dewledge.pooler_settings import PoolerSettings
from dewledge.settings import ProxySettings
from dewledge.shell.pooler.links import peer_messages
from dewledge.shell.pooler.observing.event_log import EventLog
from dewledge.shell.pooler.observing.pooler_metrics import PoolerMetrics
from dewledge.shell.pooler.observing.process_gauges import add_process_gauges
from dewledge.shell.pooler.tables import coordination_rows
from dewledge.shell.proxy import (
    configuration_handlers,
    request_bodies,
    statement_handlers,
    status_handlers,
)
from dewledge.shell.proxy.http_edge import HttpEdge
from dewledge.shell.proxy.http_status import status_of_refusal
from dewledge.shell.proxy.metrics import ProxyMetrics
from dewledge.shell.proxy.proxy_server import ProxyServer
from dewledge.shell.shared import http_messages
from dewledge.shell.shared.frames import HEARTBEAT_FRAME, frame_of
from dewledge.shell.shared.log import format_line

PACKAGE = dewledge
COMMAND_LINE = typer.main.get_command(command_line.app)
HTTP_ADDRESSES = HttpEdge(MagicMock())._routes
ADD_PROXY_GAUGES = ProxyServer._add_gauges
SETTINGS: dict[str, type[msgspec.Struct]] = {"pooler": PoolerSettings}
CHECKED_SETTINGS = {"proxy": ProxySettings}
REQUEST_BODIES = {
    "statement": request_bodies.StatementBody,
    "begin": request_bodies.BeginBody,
    "finish": request_bodies.FinishBody,
    "change": request_bodies.ChangeBody,
}
LOG_CALLS = (LogEvent.__name__, "log", "_log")
"""What the core calls for a log line, with the event's name first."""
EVENT_ROOT = PoolingEvent
OTHER_EVENTS = (WaitsCounted, GrantorChanged, PhaseChanged, CandidatesChecked)

FORMER_FIELDS: dict[str, str] = {}
"""The held name of a renamed field that goes by position, by "place new_name" as positions.txt has
the place, or by "new_name" alone where the name means the same everywhere."""

MESSAGES: tuple[tuple[str, Any, Any, Any], ...] = (
    ("pooler_datagram", peer_messages.PeerMessage, peer_messages.encode, peer_messages.decode),
    ("pooler_link", link_messages.PeerLinkMessage, link_messages.encode, link_messages.decode),
    ("proxy_link", proxy_messages.PeerMessage, proxy_messages.encode, proxy_messages.decode),
    (
        "proxy_datagram",
        membership_messages.Envelope,
        lambda envelope: membership_messages.encode_datagram(
            msgspec.structs.replace(envelope, version=membership_messages.MEMBERSHIP_VERSION)
        ),
        membership_messages.decode_datagram,
    ),
)
"""Each: the name of the form, the type, what encodes it, what decodes it."""

ROWS: tuple[tuple[str, Any, Any], ...] = (
    ("pooler_row member", Member, coordination_rows.encode_value),
    ("pooler_row claim", coordination_rows.ClaimValue, coordination_rows.encode_value),
    ("pooler_row known", coordination_rows.AcknowledgementValue, coordination_rows.encode_value),
    ("proxy_row change", ChangeSet, configuration_codec.encode_change),
    ("proxy_row head", configuration_store.HeadRow, configuration_codec.encode_content),
    ("proxy_object snapshot", configuration_codec._Snapshot, configuration_codec.encode_content),
)

JSON_BODIES: tuple[tuple[str, Any], ...] = (
    ("operator_row configuration", operator_records._ConfigurationRow),
    ("operator_row database", operator_records._DatabaseRow),
    ("store_answer", store_client._Answer),
    ("database_body execute", database_protocol.ExecuteBody),
    ("database_body failure", database_protocol.Failure),
    ("database_body result", ExecutionResult),
    ("database_body status", DatabaseStatus),
    ("platform_body row", Row),
    ("platform_body write", RowWrite),
    ("platform_body machine", MachineState),
    ("answer_body refusal", http_messages.RefusalBody),
    ("answer_body statement", statement_handlers.AnswerBody),
    ("answer_body health", status_handlers.HealthBody),
    ("answer_body status", status_handlers.StatusBody),
    ("answer_body resources", configuration_handlers.ResourcesBody),
    ("answer_body proposal", configuration_handlers.ProposalBody),
    ("answer_body look_up", configuration_handlers.LookUpBody),
    ("explain_waits", GroupWaits),
    ("explain_lost statement", LostStatement),
    ("explain_lost sum", LostSum),
    ("explain_lost ended", EndedProcess),
)

LINES: tuple[tuple[str, Any, Any], ...] = (
    ("client_line reply", Reply, lambda value: WireClientCodec().reply("s-1", value)),
    (
        "database_line statement",
        Statement,
        lambda value: WireDatabaseCodec().statement(value, LogPosition(3, 4)),
    ),
    (
        "database_line statement without floor",
        Statement,
        lambda value: WireDatabaseCodec().statement(value, None),
    ),
)

STORE_KEYS = {
    "head": configuration_store.HEAD_KEY,
    "snapshot": configuration_store.SNAPSHOT_KEY,
    "change": configuration_store.change_key("c-1"),
    "revision": configuration_store.revision_key(12),
    "snapshot object": configuration_store.snapshot_object(12),
    "pooler table": coordination_rows.TABLE,
    "member": coordination_rows.MEMBER_PREFIX,
    "claim": coordination_rows.CLAIM_PREFIX,
    "known": coordination_rows.ACKNOWLEDGEMENT_PREFIX,
    "table path": platform_protocol.TABLE_PATH,
    "transact path": platform_protocol.TRANSACT_PATH,
    "objects path": platform_protocol.OBJECTS_PATH,
    "machines path": platform_protocol.MACHINES_PATH,
}
CLIENT_READY = WireClientCodec().ready()
DATABASE_STARTUP = WireDatabaseCodec().startup("group", "user", "database")
TOKEN_KEY = b"0123456789abcdef0123456789abcdef"
TOKEN = SessionTokenCodec([TOKEN_KEY]).seal(
    "caller", {"g1": LogPosition(1, 2), "g2": LogPosition(3, 400)}
)
AUTHENTICATED = membership_messages.encode_datagram(
    membership_messages.Envelope(1, "p-1", 7, membership_messages.Ping(5, "p-2")), b"a key"
)
