"""Interface between the pooler and the platform that it runs on.

All code that depends on the platform's formats is reached through one `PlatformAdapter`.
"""

from collections.abc import Callable

import msgspec

from dewledge.core.pooler.coordination_store import CoordinationStore, PromotionCalls
from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.failover.messages import DatabaseStatus
from dewledge.core.pooler.sessions.codec import ClientCodec, DatabaseCodec
from dewledge.core.pooler.sessions.routes import RouteTable
from dewledge.core.pooler.statements.statements import Reply


class PlatformAdapter(msgspec.Struct, frozen=True):
    """Clients, codecs, table names and row parsers for one platform."""

    store: CoordinationStore
    promotions: PromotionCalls | None
    parse_status: Callable[[Reply], DatabaseStatus | None]
    new_client_codec: Callable[[], ClientCodec]
    new_database_codec: Callable[[], DatabaseCodec]
    configuration_table: str
    configuration_key: str
    database_table: str
    parse_configuration: Callable[[bytes], RouteTable]
    parse_database: Callable[[str, bytes, int], DatabaseRecord]
