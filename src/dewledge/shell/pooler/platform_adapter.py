"""What the adapter of a platform brings: the border between the product and the platform's forms.

Everything that the process knows of the platform comes in this one value.
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
    """What the adapter of a platform brings: codecs, tables, and readers of their rows."""

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
