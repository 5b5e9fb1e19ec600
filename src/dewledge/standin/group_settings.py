"""Settings of the database group stand-in, from a TOML file or built by a program."""

import tomllib
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from dewledge.core.resource_documents import findings_of_validation
from dewledge.errors import ErrorCode, Finding, InvalidInput
from dewledge.standin.group_types import GroupTiming, ModelDatabase
from dewledge.standin.link_delays import LinkDelays

LOOPBACK = "127.0.0.1:0"

Model = TypeVar("Model", bound=BaseModel)


class _Settings(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class LinkSettings(_Settings):
    """One-way delays in seconds between places."""

    within_zone: float = 0.0
    between_zones: float = 0.0
    between_regions: float = 0.0

    def to_delays(self) -> LinkDelays:
        """Returns the delays as the model takes them."""
        return LinkDelays(self.within_zone, self.between_zones, self.between_regions)


class DatabaseSettings(_Settings):
    """One database: where it listens, where it is, and its hard limits."""

    name: str
    address: str = LOOPBACK
    zone: str = ""
    region: str = ""
    slots: int = 5
    max_connections: int = 40

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


class GroupSettings(_Settings):
    """A group. Times are in seconds.

    open_time: what opening a connection takes.
    read_time, write_time: how long a statement holds a slot.
    """

    name: str
    databases: tuple[DatabaseSettings, ...]
    admin_address: str = LOOPBACK
    heartbeat: float = 0.05
    election_timeout: float = 0.3
    replication_delay: float = 0.0005
    open_time: float = 0.010
    read_time: float = 0.0
    write_time: float = 0.0
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
        return model.model_validate(tomllib.loads(path.read_text()))
    except tomllib.TOMLDecodeError as error:
        raise InvalidInput([Finding(str(path), ErrorCode.INVALID_SETTING, str(error))]) from error
    except ValidationError as error:
        findings = findings_of_validation(error, str(path), ErrorCode.INVALID_SETTING)
        raise InvalidInput(findings) from error
