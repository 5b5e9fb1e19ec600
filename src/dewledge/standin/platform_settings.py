"""Settings of the platform stand-in."""

from typing import Annotated

from pydantic import Field

from dewledge.settings import ListenAddress
from dewledge.standin.group_settings import LOOPBACK, Duration, Interval, StandinSettings

Rate = Annotated[float, Field(gt=0, allow_inf_nan=False)]
"""Calls a second, or calls at once."""


class PlatformSettings(StandinSettings):
    """The platform's addresses, limits and lag.

    table_rate, object_rate: calls a second that are accepted, with bursts of `burst` calls.
    list_lag: seconds by which the machine list lags behind what machines reported.
    machine_expiry: seconds after which a machine that reported nothing is dropped.
    """

    address: ListenAddress = LOOPBACK
    admin_address: ListenAddress = LOOPBACK
    table_rate: Rate = 100.0
    object_rate: Rate = 20.0
    burst: Rate = 50.0
    list_lag: Duration = 2.0
    machine_expiry: Interval = 120.0
