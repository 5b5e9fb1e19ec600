"""The settings of one pooler process: a TOML file, checked as a whole.

Owns names, defaults and bounds of settings, which operators' files rest on.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from dewledge.checked_values import build_checked, checked_by
from dewledge.core.pooler.load.policy import LoadPolicy
from dewledge.core.pooler.rate_limits.limits import QuotaPolicy
from dewledge.core.shared.addresses import check_remote_address, split_address
from dewledge.errors import InvalidInput
from dewledge.settings_text import NAME_PATTERN, read_toml

LONGEST_BOUND_SECONDS = 86_400
"""Of every time in the settings, a day."""

ListenAddress = Annotated[str, checked_by(split_address)]
RemoteAddress = Annotated[str, checked_by(check_remote_address)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=LONGEST_BOUND_SECONDS)]


def _means(text: str) -> msgspec.Meta:
    return msgspec.Meta(description=text)


class PoolerTimings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds in seconds."""

    drain_bound: Annotated[
        Seconds, _means("A database that leaves gets no new work later than this.")
    ] = 7.0
    stop_bound: Annotated[Seconds, _means("From the stop signal to the end of the process.")] = 6.0
    configuration_bound: Annotated[Seconds, _means("A configuration is in force within this.")] = (
        4.0
    )


class QuotaSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How exactly callers' rate limits are to be kept, over all processes together."""

    window: Annotated[Seconds, _means("Seconds in which a caller's operations are counted.")] = 5.0
    overshoot: Annotated[
        float, msgspec.Meta(ge=0, le=1), _means("Share by which a limit may be passed in a window.")
    ] = 0.0
    slack: Annotated[
        float, msgspec.Meta(ge=0), _means("Operations by which it may be passed besides.")
    ] = 0.0

    @property
    def policy(self) -> QuotaPolicy:
        """The same for the core."""
        return QuotaPolicy(self.window, self.overshoot, self.slack)


class LoadSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Which decisions under load are made; each can be switched off to see what it buys."""

    useful_waits: Annotated[
        bool,
        _means(
            "Statements wait while they can be served in their time and are refused as soon as"
            " they can't; if not, they wait for a quarter of a second."
        ),
    ] = True
    kept_tokens: Annotated[
        bool, _means("A caller told when to come back finds the token of that moment.")
    ] = True
    urgent_tokens: Annotated[
        bool, _means("A caller at its limit has its most urgent operations admitted first.")
    ] = True
    told_load: Annotated[
        bool, _means("Databases are chosen by the load that their holders tell.")
    ] = True
    silent_holders: Annotated[
        bool, _means("Nothing but a probe goes to a holder that leaves statements unanswered.")
    ] = True
    silent_databases: Annotated[
        bool,
        _means(
            "Statements don't wait before a database that answers nothing; if not, they wait there"
            " for their time."
        ),
    ] = True
    fair_callers: Annotated[
        bool,
        _means(
            "Callers as urgent get fair shares of a database's slots and connections; if not, who"
            " comes first is first."
        ),
    ] = True

    @property
    def policy(self) -> LoadPolicy:
        """The same for the core."""
        return LoadPolicy(
            useful_waits=self.useful_waits,
            kept_tokens=self.kept_tokens,
            urgent_tokens=self.urgent_tokens,
            told_load=self.told_load,
            silent_holders=self.silent_holders,
            silent_databases=self.silent_databases,
            fair_callers=self.fair_callers,
        )


class PoolerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of `dewledge pooler`."""

    name: Annotated[str, msgspec.Meta(pattern=NAME_PATTERN), _means("Unique name of this process.")]
    zone: Annotated[str, _means("Zone of this machine, as databases name theirs.")]
    client_address: Annotated[ListenAddress, _means("ip:port for clients' sessions.")]
    ready_address: Annotated[ListenAddress, _means("ip:port for readiness probes (HTTP).")]
    peer_address: Annotated[ListenAddress, _means("ip:port for other poolers (UDP and TCP).")]
    metrics_address: Annotated[ListenAddress, _means("ip:port for metrics (HTTP).")]
    store_address: Annotated[RemoteAddress, _means("ip:port of the platform's store.")]
    duty_address: Annotated[RemoteAddress | None, _means("ip:port that takes promotions.")] = None
    promotions_fenced: Annotated[
        bool,
        _means(
            "Whether the platform takes the lead from the old primary in a promotion and"
            " refuses old tokens; if not, the poolers see to it that nobody uses the old one."
        ),
    ] = False
    max_client_connections: Annotated[
        int, msgspec.Meta(ge=1), _means("Clients' connections open at once.")
    ] = 3500
    log_level: Annotated[
        Literal["TRACE", "DEBUG", "INFO", "WARNING", "ERROR"],
        _means("Least severe events that are logged."),
    ] = "INFO"
    zones: Annotated[dict[str, str], _means("The region of each zone.")] = {}
    timings: PoolerTimings = PoolerTimings()
    quota: QuotaSettings = QuotaSettings()
    load: LoadSettings = LoadSettings()


def check_pooler_settings(values: Mapping[str, Any], place: str) -> PoolerSettings:
    """Returns the settings of plain values. Raises InvalidInput with every finding."""
    return build_checked(values, PoolerSettings, place)


def load_pooler_settings(path: Path) -> PoolerSettings:
    """Reads and checks a settings file. Raises InvalidInput with every finding."""
    return check_pooler_settings(read_toml(path), path.name)


def is_pooler_file(path: Path) -> bool:
    """Tells whether a settings file is a pooler's and not a proxy's."""
    try:
        values = read_toml(path)
    except InvalidInput:
        return False
    return "client_address" in values or "store_address" in values
