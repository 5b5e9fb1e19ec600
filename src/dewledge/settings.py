"""The settings of one proxy process: a TOML file, overridden by flags, checked as a whole."""

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from dewledge.core.shared.addresses import check_remote_address, split_address
from dewledge.errors import ErrorCode, InvalidInput
from dewledge.settings_text import NAME_PATTERN, read_toml
from dewledge.validation import findings_of_validation

MIN_SESSION_KEY_CHARACTERS = 32
SHA256_PATTERN = r"^[0-9a-f]{64}$"


def _listen_address(address: str) -> str:
    split_address(address)
    return address


def _remote_address(address: str) -> str:
    check_remote_address(address)
    return address


def _not_empty(keys: tuple[str, ...]) -> tuple[str, ...]:
    if not keys:
        raise ValueError("name at least one")
    return keys


ListenAddress = Annotated[str, AfterValidator(_listen_address)]
RemoteAddress = Annotated[str, AfterValidator(_remote_address)]
SessionKey = Annotated[str, Field(min_length=MIN_SESSION_KEY_CHARACTERS)]
SessionKeys = Annotated[tuple[SessionKey, ...], AfterValidator(_not_empty)]
Seconds = Annotated[float, Field(gt=0, le=86_400, allow_inf_nan=False)]
SecondsFromZero = Annotated[float, Field(ge=0, le=86_400, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=1, le=100_000_000)]
Share = Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)]


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid", validate_default=True)


class LimitSettings(_Section):
    """What bounds memory and waiting; what comes on top is refused with a code."""

    max_body_bytes: Count = Field(default=1024 * 1024, description="Largest request body, bytes.")
    max_header_bytes: Count = Field(default=16 * 1024, description="Largest request head, bytes.")
    max_connections: Count = Field(default=20_000, description="Callers' connections open at once.")
    max_pipelined_requests: Count = Field(
        default=64, description="Unanswered requests read from one connection."
    )
    max_requests_in_flight: Count = Field(
        default=20_000, description="Unanswered requests of this proxy as entry."
    )
    max_queue_per_database: Count = Field(
        default=512, description="Requests waiting for a slot of one database at its gateway."
    )
    max_retry_share: Share = Field(
        default=0.1, description="Retries as a share of first attempts, over the last seconds."
    )
    max_pending_changes: Count = Field(
        default=16, description="Operators' changes waiting to be proposed by this proxy."
    )
    platform_threads: Count = Field(default=4, description="Threads for calls to the platform.")


class TimingSettings(_Section):
    """Bounds and intervals, in seconds."""

    default_deadline: Seconds = Field(
        default=5.0, description="Deadline of a request that names none."
    )
    max_deadline: Seconds = Field(
        default=60.0, description="Longest deadline a request may ask for."
    )
    idle_connection_timeout: Seconds = Field(
        default=600.0, description="After this a caller's silent connection is closed."
    )
    request_read_timeout: Seconds = Field(
        default=10.0, description="A request that has begun must have arrived within this."
    )
    probe_interval: Seconds = Field(default=1.0, description="Between two membership probes.")
    machine_list_interval: Seconds = Field(
        default=30.0, description="Between two reads of the platform's machine list."
    )
    status_interval: Seconds = Field(
        default=0.5, description="Between two status rounds of a group without writes."
    )
    status_timeout: Seconds = Field(
        default=0.5, description="How long a database may take to answer one."
    )
    transaction_idle_timeout: Seconds = Field(
        default=30.0, description="A transaction without a statement for this long is rolled back."
    )
    drain_bound: Seconds = Field(
        default=5.0,
        description="Open transactions on a drained database have this long to finish.",
    )
    leave_bound: Seconds = Field(
        default=30.0, description="A stopping proxy waits this long for accepted requests."
    )
    isolation_bound: Seconds = Field(
        default=5.0, description="Without store and peers for this long, new work is refused."
    )
    first_read_lag_limit: SecondsFromZero = Field(
        default=0.0,
        description="A session's first read may start on a replica while some replica's lag is "
        "below this: more reads on replicas, somewhat slower; 0: it goes to the primary.",
    )
    store_call_timeout: Seconds = Field(
        default=2.0, description="Longest single call to the platform."
    )
    proposal_bound: Seconds = Field(
        default=10.0, description="Longest attempt to have a change accepted, retries included."
    )
    configuration_poll_interval: Seconds = Field(
        default=2.0,
        description="Between two reads of the newest revision, at the few proxies that poll.",
    )


class ProxySettings(_Section):
    """All settings of `dewledge proxy`."""

    name: Annotated[str, Field(pattern=NAME_PATTERN)] = Field(
        description="Unique name of this proxy; a Proxy resource of the same name labels it."
    )
    zone: Annotated[str, Field(pattern=NAME_PATTERN)] = Field(
        description="Zone of this machine, as databases name theirs."
    )
    region: str = Field(default="", max_length=63, description="Region of this machine.")
    caller_address: ListenAddress = Field(
        description="ip:port for callers and operators (HTTP, TCP)."
    )
    peer_address: ListenAddress = Field(description="ip:port for links between proxies (TCP).")
    gossip_address: ListenAddress = Field(description="ip:port for membership (UDP).")
    platform_address: RemoteAddress = Field(description="ip:port of the platform's service (HTTP).")
    seeds: tuple[RemoteAddress, ...] = Field(
        default=(), description="Gossip addresses of proxies to join, besides the machine list."
    )
    session_keys: SessionKeys = Field(
        repr=False,
        description="Secrets that seal session tokens, the same on every proxy; the first seals, "
        "all open. To change them, add the new one last everywhere, then move it first, "
        "then remove the old one.",
    )
    gossip_key: str = Field(
        default="",
        repr=False,
        description="Secret that authenticates membership datagrams, the same on every proxy; "
        "empty: not authenticated.",
    )
    bootstrap_operator_token_sha256: Annotated[str, Field(pattern=SHA256_PATTERN)] | None = Field(
        default=None,
        repr=False,
        description="SHA-256 (hexadecimal) of a token that may operate with any configuration, "
        "also the empty one.",
    )
    log_level: Literal["TRACE", "DEBUG", "INFO", "WARNING", "ERROR"] = Field(
        default="INFO", description="Least severe events that are logged."
    )
    limits: LimitSettings = Field(default=LimitSettings(), description="See below.")
    timings: TimingSettings = Field(default=TimingSettings(), description="See below.")


def load_settings(
    path: Path | str | None, overrides: Mapping[str, object] | None = None
) -> ProxySettings:
    """Reads a settings file (none: everything comes from `overrides`) and checks all of it.

    overrides: by dotted name, such as "limits.max_body_bytes"; None leaves the file's value.
    Raises InvalidInput with every finding; a place is the file's name and the setting's.
    """
    source = "flags" if path is None else Path(path).name
    values = {} if path is None else read_toml(Path(path))
    for name, value in (overrides or {}).items():
        if value is not None:
            _override(values, name, value)
    return check_settings(values, source)


def check_settings(values: Mapping[str, object], source: str) -> ProxySettings:
    """Checks values that were read already. Raises InvalidInput with every finding."""
    try:
        return ProxySettings.model_validate(values)
    except ValidationError as error:
        findings = findings_of_validation(error, source, ErrorCode.INVALID_SETTING)
        raise InvalidInput(findings) from error


def _override(values: dict[str, Any], name: str, value: object) -> None:
    *sections, last = name.split(".")
    target = values
    for section in sections:
        inner = target.setdefault(section, {})
        if not isinstance(inner, dict):
            return  # the file's value is no section, which the check reports
        target = inner
    target[last] = value
