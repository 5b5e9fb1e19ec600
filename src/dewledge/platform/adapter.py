"""Builds the `PlatformAdapter` for the platform that the pooler runs on.

Only this module names the store's tables and keys for the configuration and the databases.
"""

from dewledge.platform.operator_records import (
    hash_api_keys,
    parse_configuration,
    parse_database,
)
from dewledge.platform.status_row import parse_status
from dewledge.platform.store_client import PlatformPromotions, PlatformStore
from dewledge.platform.wire_codec import WireClientCodec, WireDatabaseCodec
from dewledge.pooler_settings import PoolerSettings
from dewledge.shell.pooler.platform_adapter import PlatformAdapter

CONFIGURATION_TABLE = "op"
DATABASE_TABLE = "servers"


def build_adapter(settings: PoolerSettings) -> PlatformAdapter:
    """Returns an adapter that calls the addresses in the settings."""
    return PlatformAdapter(
        store=PlatformStore(
            settings.store_address,
            {CONFIGURATION_TABLE: hash_api_keys},
        ),
        promotions=PlatformPromotions(settings.duty_address) if settings.duty_address else None,
        parse_status=parse_status,
        new_client_codec=WireClientCodec,
        new_database_codec=WireDatabaseCodec,
        configuration_table=CONFIGURATION_TABLE,
        configuration_key="config",
        database_table=DATABASE_TABLE,
        parse_configuration=parse_configuration,
        parse_database=parse_database,
    )
