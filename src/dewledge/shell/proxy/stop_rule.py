"""When a proxy that was told to stop may end: a pure rule."""

import msgspec

LEAVE_GRACE_SECONDS = 1.0
"""A leaving proxy answers on for so long at least, until peers and callers know."""

IDLE_GRACE_SECONDS = 2.0
"""Callers' connections that stay idle for so long after leaving began are closed."""

QUIET_SECONDS = 0.3
"""No peer has asked for a statement for so long, so that none is on its way while links close."""


class StopProgress(msgspec.Struct, frozen=True):
    """How far a planned stop has come; times in seconds.

    elapsed: since it began. since_request: since a peer last asked this gateway for a statement.
    in_flight: callers' requests not answered. core_idle: nothing is unfinished in the core.
    connections: callers' open connections.
    """

    elapsed: float
    since_request: float
    in_flight: int
    core_idle: bool
    connections: int


def may_finish(progress: StopProgress, leave_bound: float) -> bool:
    """Tells whether the process may end: nothing would be cut, or the bound has passed."""
    if progress.elapsed >= leave_bound:
        return True
    if progress.in_flight or not progress.core_idle:
        return False
    if progress.elapsed < LEAVE_GRACE_SECONDS or progress.since_request < QUIET_SECONDS:
        return False
    return progress.connections == 0 or progress.elapsed >= IDLE_GRACE_SECONDS
