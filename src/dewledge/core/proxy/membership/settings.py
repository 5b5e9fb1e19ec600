"""Timings of membership, and the pure rules that scale them with the number of members.

Suspicion times and local health follow Lifeguard (Dadgar, Phillips and Currey, "Lifeguard: Local
Health Awareness for More Accurate Failure Detection", DSN-W 2018).
"""

import math

import msgspec


class MembershipSettings(msgspec.Struct, frozen=True):
    """All times in seconds.

    probe_interval: between two probes of this member; probe_timeout: until others are asked to
    probe in its place. indirect_probes: how many are asked.
    suspicion_factor: shortest suspicion time in probe intervals per decade of members;
    suspicion_stretch: longest over shortest; suspicion_confirmations: independent accusers after
    which the shortest applies.
    gossip_interval, gossip_fanout: pace of news while there is any; transmit_factor: how often an
    item is sent per decade of members, but no less than transmit_minimum.
    claim_bytes_per_second: bound of all news sent.
    sync_interval: between exchanges of table digests. reconnect_interval: between attempts to
    reach a member that is gone, or a listed machine that is unknown.
    forget_after: how long the dead are kept; forget_unlisted_after: if the machine list lacks them.
    pause_threshold: a longer gap between two calls means that this process was frozen.
    contact_window: latest probes by which reachability is judged; contact_silence: without any
    answer for so long a member counts itself alone; contact_interval: between its extra pings
    while it sees no majority.
    shared_key: authenticates datagrams if not empty.
    """

    probe_interval: float = 1.0
    probe_timeout: float = 0.3
    indirect_probes: int = 3
    max_local_health: int = 3
    suspicion_factor: float = 1.25
    suspicion_stretch: float = 3.0
    suspicion_confirmations: int = 3
    gossip_interval: float = 0.2
    gossip_fanout: int = 3
    transmit_factor: float = 3.0
    transmit_minimum: int = 8
    claim_bytes_per_second: float = 5000.0
    sync_interval: float = 10.0
    reconnect_interval: float = 5.0
    join_timeout: float = 0.5
    join_backoff_limit: float = 5.0
    forget_after: float = 24 * 3600.0
    forget_unlisted_after: float = 600.0
    change_report_interval: float = 0.25
    pause_threshold: float = 3.0
    contact_window: int = 8
    contact_silence: float = 4.0
    contact_interval: float = 0.2
    shared_key: bytes = b""


def direct_probe_time(settings: MembershipSettings) -> float:
    """Returns how long a probed member may take before others are asked, seconds.

    At most half the interval, so that a short interval still leaves time for the others.
    """
    return min(settings.probe_timeout, settings.probe_interval / 2)


def silence_limit(settings: MembershipSettings) -> float:
    """Returns the time without any answer after which a member counts itself alone, seconds."""
    return max(settings.contact_silence, 2 * settings.probe_interval)


def decades(members: int) -> float:
    """Returns the decimal logarithm of the number of members, at least 1."""
    return max(1.0, math.log10(max(1, members)))


def transmit_limit(settings: MembershipSettings, members: int) -> int:
    """Returns how often one item of news is sent by each member that has it."""
    scaled = math.ceil(settings.transmit_factor * decades(members + 1))
    return max(settings.transmit_minimum, scaled)


def confirmations_needed(settings: MembershipSettings, members: int) -> int:
    """Returns the accusers, beyond the first, that shorten a suspicion to its minimum."""
    return max(0, min(settings.suspicion_confirmations, members - 3))


def shortest_suspicion(settings: MembershipSettings, members: int) -> float:
    """Returns the shortest suspicion time, seconds."""
    return settings.suspicion_factor * decades(members) * settings.probe_interval


def suspicion_time(settings: MembershipSettings, members: int, confirmations: int) -> float:
    """Returns how long a member stays suspect, seconds, given its independent confirmations."""
    shortest = shortest_suspicion(settings, members)
    needed = confirmations_needed(settings, members)
    if confirmations >= needed:
        return shortest
    longest = shortest * settings.suspicion_stretch
    share = math.log(confirmations + 1) / math.log(needed + 1)
    return longest - (longest - shortest) * share


def estimate_reachable(living: int, answered: int, asked: int) -> int:
    """Estimates how many members are reachable, this one included.

    living: members not known to be gone, this one included. answered of asked: the latest probes.
    A member that has asked and got no answer at all reaches only itself.
    """
    if living <= 1:
        return 1
    if asked == 0:
        return 1
    return 1 + round((living - 1) * answered / asked)
