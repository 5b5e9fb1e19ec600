"""What the core asks its shell to do. The core itself does no input or output.

Each state machine's methods take `now` (seconds on any monotonic clock) and return effects in the
order in which they are to be carried out. The same effects are carried out by the daemon's shell,
the simulator, hollow nodes and embedding programs.
"""

import msgspec

from dewledge.core.proxy.calls import CallerAnswer
from dewledge.core.proxy.jobs import Job
from dewledge.core.proxy.messages import PeerMessage


class AnswerCaller(msgspec.Struct, frozen=True):
    """Give the caller its one final answer."""

    request_id: int
    answer: CallerAnswer


class SendToPeer(msgspec.Struct, frozen=True):
    """Send over the link to `peer`; the proxy's own name means its own gateway or entry."""

    peer: str
    message: PeerMessage


class OpenConnection(msgspec.Struct, frozen=True):
    """Open a back-end connection; reported as opened or failed under `connection_id`."""

    connection_id: int
    database: str
    address: str


class CloseConnection(msgspec.Struct, frozen=True):
    """Close a back-end connection; nothing is reported."""

    connection_id: int


class RunJob(msgspec.Struct, frozen=True):
    """Run a job on its connection; reported as a JobResult."""

    job: Job


class ReadStatuses(msgspec.Struct, frozen=True):
    """Ask each database for its status, all at once, each within `timeout` seconds.

    Reported one StatusReading at a time under `round_id`, as each arrives or times out.
    """

    round_id: int
    group: str
    databases: tuple[str, ...]
    addresses: tuple[str, ...]
    timeout: float


class LogEvent(msgspec.Struct, frozen=True):
    """One line for the log, also counted in the metrics under `name`."""

    name: str
    fields: tuple[tuple[str, str | int | float | None], ...] = ()


Effect = (
    AnswerCaller | SendToPeer | OpenConnection | CloseConnection | RunJob | ReadStatuses | LogEvent
)
