"""Settings of the database group stand-in, from a TOML file or built by a program."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from dewledge.errors import ErrorCode, Finding, InvalidInput
from dewledge.settings import Count, ListenAddress
from dewledge.standin.group_types import GroupTiming, ModelDatabase
from dewledge.standin.link_delays import LinkDelays
from dewledge.validation import findings_of_validation

LOOPBACK = "127.0.0.1:0"

Duration = Annotated[float, Field(ge=0, allow_inf_nan=False)]
"""A time in seconds that may be zero."""

Interval = Annotated[float, Field(gt=0, allow_inf_nan=False)]
"""A time in seconds that must pass."""

Model = TypeVar("Model", bound=BaseModel)


class StandinSettings(BaseModel):
    """The base of all stand-in settings."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class LinkSettings(StandinSettings):
    """One-way delays in seconds between places."""

    within_zone: Duration = 0.0
    between_zones: Duration = 0.0
    between_regions: Duration = 0.0

    def to_delays(self) -> LinkDelays:
        """Returns the delays as the model takes them."""
        return LinkDelays(self.within_zone, self.between_zones, self.between_regions)


class DatabaseSettings(StandinSettings):
    """One database: where it listens, where it is, and its hard limits."""

    name: str
    address: ListenAddress = LOOPBACK
    zone: str = ""
    region: str = ""
    slots: Count = 5
    max_connections: Count = 40

    def to_model(self) -> ModelDatabase:
        """Returns the database as the model takes it."""
        return ModelDatabase(
            name=self.name,
            zone=self.zone,
            address=self.address,
            slots=self.slots,
            max_connections=self.max_connections,
            region=self.region,
        )


class GroupSettings(StandinSettings):
    """A group. Times are in seconds.

    open_time: what opening a connection takes.
    read_time, write_time: how long a statement holds a slot.
    """

    name: str
    databases: Annotated[tuple[DatabaseSettings, ...], Field(min_length=1)]
    admin_address: ListenAddress = LOOPBACK
    heartbeat: Interval = 0.05
    election_timeout: Interval = 0.3
    replication_delay: Duration = 0.0005
    open_time: Duration = 0.010
    read_time: Duration = 0.0
    write_time: Duration = 0.0
    seed: int = 0
    links: LinkSettings = LinkSettings()

    def timing(self) -> GroupTiming:
        """Returns the times of the model."""
        return GroupTiming(
            heartbeat=self.heartbeat,
            election_timeout=self.election_timeout,
            replication_delay=self.replication_delay,
            links=self.links.to_delays(),
        )


def load_group_settings(path: Path) -> GroupSettings:
    """Reads a TOML file. Raises InvalidInput with every finding and its place, or OSError."""
    return load_toml(path, GroupSettings)


def load_toml(path: Path, model: type[Model]) -> Model:
    """Reads a TOML file as `model`. Raises InvalidInput with every finding, or OSError."""
    try:
        document = tomllib.loads(path.read_text())
    except tomllib.TOMLDecodeError as error:
        raise InvalidInput([Finding(str(path), ErrorCode.INVALID_SETTING, str(error))]) from error
    return check_settings(document, model, str(path))


def check_settings(document: Mapping[str, object], model: type[Model], place: str) -> Model:
    """Checks values as `model`. Raises InvalidInput with every finding, under `place`."""
    try:
        return model.model_validate(document)
    except ValidationError as error:
        findings = findings_of_validation(error, place, ErrorCode.INVALID_SETTING)
        raise InvalidInput(findings) from error
