"""Settings of the platform stand-in."""

from pydantic import BaseModel, ConfigDict

from dewledge.standin.group_settings import LOOPBACK


class PlatformSettings(BaseModel):
    """The platform's addresses, limits and lag.

    table_rate, object_rate: calls a second that are accepted, with bursts of `burst` calls.
    list_lag: seconds by which the machine list lags behind what machines reported.
    machine_expiry: seconds after which a machine that reported nothing is dropped.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    address: str = LOOPBACK
    admin_address: str = LOOPBACK
    table_rate: float = 100.0
    object_rate: float = 20.0
    burst: float = 50.0
    list_lag: float = 2.0
    machine_expiry: float = 120.0
