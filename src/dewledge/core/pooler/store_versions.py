"""Versions of a store that may come back from an older copy of itself.

After such a restore the store gives out version numbers again, in an era that is higher by one. A
version is therefore an era and a number, combined in one integer so that versions of a later era
are higher.
"""

ERA_SPAN = 1 << 40
"""Version distance between two eras; larger than any number that an era gives out."""


def combine(era: int, number: int) -> int:
    """Returns the version with a number that was given out in an era."""
    return era * ERA_SPAN + number


def era_of(version: int) -> int:
    """Returns the era of a version, 0 if the store was never restored."""
    return max(version, 0) // ERA_SPAN


def number_of(version: int) -> int:
    """Returns the number that the store gave out for a version."""
    return version - era_of(version) * ERA_SPAN
