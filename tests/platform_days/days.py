"""Days of our own for the users' bench: each kind of trouble alone, in pairs, and three times."""

import itertools
from dataclasses import dataclass

LENGTH_SECONDS = 34.0

ALONE: tuple[str, ...] = (
    'kind = "burst", x = 2.0, for_s = 4.0',
    'kind = "srv_crash", how = "dark primary", for_s = 6.0',
    'kind = "srv_crash", how = "primary", for_s = 6.0',
    'kind = "srv_crash", how = "gone primary", for_s = 6.0',
    'kind = "srv_crash", how = "dark", share = 0.3, for_s = 6.0',
    'kind = "srv_slow", share = 0.4, x = 5.0, for_s = 6.0',
    'kind = "release", how = "primary"',
    'kind = "release", share = 1.0, x = 1, gap_s = 1.0',
    'kind = "answer_lost", share = 1.0, x = 0.1, for_s = 6.0',
    'kind = "answer_lost", share = 1.0, x = 0.1, for_s = 6.0, how = "reset"',
    'kind = "node_kill", share = 0.4, for_s = 3.0',
    'kind = "node_kill", share = 0.4, for_s = 3.0, how = "power"',
    'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader race"',
    'kind = "node_freeze", share = 0.3, for_s = 4.0',
    'kind = "node_freeze", on = "core", count = 1, for_s = 4.0, how = "leader"',
    'kind = "node_slow", share = 0.3, x = 5.0, for_s = 6.0',
    'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.3',
    'kind = "roll_term", share = 1.0, x = 2.0, gap_s = 1.3, how = "busy"',
    'kind = "roll_term", share = 0.4, x = 1.0, gap_s = 1.3, how = "remove"',
    'kind = "herd_kill", share = 0.6, for_s = 2.0',
    'kind = "herd_kill", on = "core", how = "off", for_s = 2.0',
    'kind = "add_nodes", share = 1.0',
    'kind = "after_ack_kill", for_s = 3.0',
    'kind = "clock_step", share = 0.5, x = 2400.0, for_s = 6.0, how = "back"',
    'kind = "hup", share = 0.6, gap_s = 1.0',
    'kind = "core_cut", count = 2, for_s = 5.5, how = "leader one_way"',
    'kind = "core_cut", count = 2, for_s = 5.5',
    'kind = "core_cut", count = 2, for_s = 5.5, how = "meet"',
    'kind = "node_cut", share = 0.3, for_s = 5.5',
    'kind = "node_cut", share = 0.3, for_s = 5.5, how = "all"',
    'kind = "node_cut", share = 0.3, for_s = 5.5, how = "servers"',
    'kind = "platform_down", for_s = 5.0, how = "silent"',
    'kind = "platform_down", for_s = 5.0, how = "busy"',
    'kind = "platform_down", for_s = 5.0, how = "reset lapse"',
    'kind = "platform_slow", x = 60.0, for_s = 5.0',
    'kind = "platform_lost", x = 0.4, for_s = 5.0',
    'kind = "platform_lost", x = 0.4, for_s = 5.0, how = "late"',
    'kind = "platform_compact", x = 5.5, for_s = 10.0',
    'kind = "platform_compact", x = 5.5, for_s = 10.0, how = "drain"',
    'kind = "config_change", how = "route"',
    'kind = "config_change", how = "timeout"',
    'kind = "config_storm", for_s = 4.0, gap_s = 0.3',
    'kind = "big_config", count = 350',
    'kind = "replica_lag", share = 1.0, x = 100.0, for_s = 6.0',
    'kind = "replica_lag", x = 60.0, for_s = 6.0, count = 1, how = "deaf crash"',
    'kind = "primary_cut", share = 0.5, for_s = 6.0',
    'kind = "primary_cut", share = 0.5, for_s = 6.0, how = "replicas"',
    'kind = "primary_cut", share = 0.5, for_s = 6.0, how = "core"',
    'kind = "primary_cut", share = 0.5, for_s = 6.0, how = "split"',
    'kind = "platform_down", for_s = 6.0, how = "nodes silent revoke", share = 0.33',
    'kind = "replace_core", x = 1.0',
    'kind = "applied_late", x = 0.5, for_s = 6.0, how = "cloud"',
    'kind = "srv_cut", share = 0.5, for_s = 6.0, how = "fronts"',
    'kind = "srv_cut", share = 0.5, for_s = 6.0, how = "some lossy"',
    'kind = "reset_conns", share = 0.5, x = 0.5',
)
"""Kinds of the bench's list, with strong settings."""

PAIRED: tuple[str, ...] = (
    'kind = "srv_crash", how = "dark primary", for_s = 6.0',
    'kind = "primary_cut", share = 0.5, for_s = 6.0, how = "replicas"',
    'kind = "primary_cut", share = 0.6, for_s = 6.0',
    'kind = "primary_cut", share = 0.6, for_s = 6.0, how = "split"',
    'kind = "release", how = "primary"',
    'kind = "node_freeze", on = "core", count = 1, for_s = 4.0, how = "leader"',
    'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader race"',
    'kind = "platform_down", for_s = 6.0, how = "silent"',
    'kind = "platform_down", for_s = 9.0, how = "nodes reset revoke meet", share = 0.33',
    'kind = "platform_slow", x = 60.0, for_s = 6.0',
    'kind = "platform_lost", x = 0.4, for_s = 6.0, how = "late"',
    'kind = "platform_compact", x = 5.5, for_s = 12.0',
    'kind = "roll_term", share = 1.0, x = 1.0, gap_s = 1.3',
    'kind = "config_storm", for_s = 4.0, gap_s = 0.3',
    'kind = "herd_kill", on = "core", how = "off", for_s = 2.0',
)
"""Troubles of which every two are played together."""

PLANNED = ("release", "roll_term", "add_nodes", "hup", "config_", "big_config")


@dataclass(frozen=True)
class Day:
    """One day: its name and its troubles with their times, seconds from the start of traffic."""

    name: str
    troubles: tuple[tuple[float, str], ...]

    def text(self, seed: int) -> str:
        """Returns the day as the bench reads it."""
        plan = [entry for entry in self.troubles if _is_planned(entry[1])]
        faults = [entry for entry in self.troubles if not _is_planned(entry[1])]
        return (
            f'[[day]]\nname = "{self.name}"\nslot = "trouble"\nseed = {seed}\n'
            f"one = 0.95\nzero = 0.5\ngoal = {{ floor = 0.3 }}\nlabels = []\nwall = 3.0\n"
            f"light = false\nplan = [{_entries(plan)}]\nfaults = [{_entries(faults)}]\n"
        )


def alone() -> list[Day]:
    """Returns a day for each kind, and one on which it comes three times."""
    days = []
    for number, trouble in enumerate(ALONE):
        label = f"{number:02}-{_kind(trouble)}"
        days.append(Day(f"once-{label}", ((6.0, trouble),)))
        days.append(Day(f"thrice-{label}", ((4.0, trouble), (13.0, trouble), (22.0, trouble))))
    return days


def pairs() -> list[Day]:
    """Returns a day for every two of the paired troubles, each two coming twice."""
    days = []
    for first, second in itertools.combinations(range(len(PAIRED)), 2):
        troubles = (
            (5.0, PAIRED[first]),
            (6.0, PAIRED[second]),
            (19.0, PAIRED[second]),
            (19.5, PAIRED[first]),
        )
        label = f"{first:02}-{second:02}-{_kind(PAIRED[first])}-{_kind(PAIRED[second])}"
        days.append(Day(f"pair-{label}", troubles))
    return days


def _kind(trouble: str) -> str:
    return trouble.split('"')[1].replace("_", "-")


def _is_planned(trouble: str) -> bool:
    return trouble.split('"')[1].startswith(PLANNED)


def _entries(entries: list[tuple[float, str]]) -> str:
    return ", ".join(f"{{ at = {at}, {trouble} }}" for at, trouble in entries)
