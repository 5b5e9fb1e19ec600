"""What the adapter of a platform brings: calls, codecs, tables, and readers of their rows."""

from collections.abc import Callable

import msgspec

from dewledge.core.coordination_store import CoordinationStore, DutyCalls
from dewledge.core.pooling.codec import ClientCodec, DatabaseCodec
from dewledge.core.pooling.group_view import DatabaseRecord
from dewledge.core.pooling.routes import RouteTable
from dewledge.core.pooling.statements import Reply
from dewledge.core.succession.messages import DatabaseStatus


class PlatformAdapter(msgspec.Struct, frozen=True):
    """What the adapter of a platform brings: codecs, tables, and readers of their rows."""

    store: CoordinationStore
    duties: DutyCalls | None
    parse_status: Callable[[Reply], DatabaseStatus | None]
    new_client_codec: Callable[[], ClientCodec]
    new_database_codec: Callable[[], DatabaseCodec]
    configuration_table: str
    configuration_key: str
    database_table: str
    parse_configuration: Callable[[bytes], RouteTable]
    parse_database: Callable[[str, bytes, int], DatabaseRecord]
