"""The settings of one pooler process: a TOML file, checked as a whole."""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from dewledge.errors import ErrorCode, InvalidInput
from dewledge.settings import NAME_PATTERN, ListenAddress, RemoteAddress, Seconds, read_toml
from dewledge.validation import findings_of_validation


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid", validate_default=True)


class PoolerTimings(_Section):
    """Bounds in seconds."""

    drain_bound: Seconds = Field(
        default=7.0, description="A database that leaves gets no new work later than this."
    )
    stop_bound: Seconds = Field(
        default=6.0, description="From the stop signal to the end of the process."
    )
    configuration_bound: Seconds = Field(
        default=4.0, description="A configuration is in force within this."
    )


class PoolerSettings(_Section):
    """All settings of `dewledge pooler`."""

    name: Annotated[str, Field(pattern=NAME_PATTERN)] = Field(
        description="Unique name of this process."
    )
    zone: str = Field(description="Zone of this machine, as databases name theirs.")
    client_address: ListenAddress = Field(description="ip:port for clients' sessions.")
    ready_address: ListenAddress = Field(description="ip:port for readiness probes (HTTP).")
    peer_address: ListenAddress = Field(description="ip:port for other poolers (UDP and TCP).")
    metrics_address: ListenAddress = Field(description="ip:port for metrics (HTTP).")
    store_address: RemoteAddress = Field(description="ip:port of the platform's store.")
    duty_address: RemoteAddress | None = Field(
        default=None, description="ip:port that takes promotions."
    )
    promotions_fenced: bool = Field(
        default=False,
        description="Whether the platform takes the lead from the old primary in a promotion and"
        " refuses old tokens; if not, the poolers see to it that nobody uses the old one.",
    )
    max_client_connections: int = Field(
        default=3500, ge=1, description="Clients' connections open at once."
    )
    log_level: Literal["TRACE", "DEBUG", "INFO", "WARNING", "ERROR"] = Field(
        default="INFO", description="Least severe events that are logged."
    )
    zones: dict[str, str] = Field(default={}, description="The region of each zone.")
    timings: PoolerTimings = Field(default=PoolerTimings(), description="See below.")


def load_pooler_settings(path: Path) -> PoolerSettings:
    """Reads and checks a settings file. Raises InvalidInput with every finding."""
    values = read_toml(path)
    try:
        return PoolerSettings.model_validate(values)
    except ValidationError as error:
        findings = findings_of_validation(error, path.name, ErrorCode.INVALID_SETTING)
        raise InvalidInput(findings) from error


def is_pooler_file(path: Path) -> bool:
    """Tells whether a settings file is a pooler's and not a proxy's."""
    try:
        values = read_toml(path)
    except InvalidInput:
        return False
    return "client_address" in values or "store_address" in values
