"""Where hollow nodes stand: two regions of three zones each, with the link delays of the brief."""

import msgspec

REGIONS = ("north", "south")
ZONES_PER_REGION = 3
WITHIN_ZONE = 0.0001
BETWEEN_ZONES = 0.0015
BETWEEN_REGIONS = 0.020
"""One-way delays in seconds; those of the first deployment in the users' brief."""


class Locality(msgspec.Struct, frozen=True):
    """A zone and its region."""

    zone: str
    region: str


PLACES = tuple(
    Locality(f"{region}-{number}", region)
    for region in REGIONS
    for number in range(ZONES_PER_REGION)
)


def place_of(index: int) -> Locality:
    """Returns the place of the node with this number; nodes are spread evenly."""
    return PLACES[index % len(PLACES)]


def delay(source: Locality, destination: Locality) -> float:
    """Returns the one-way delay between two places, seconds."""
    if source.region != destination.region:
        return BETWEEN_REGIONS
    if source.zone != destination.zone:
        return BETWEEN_ZONES
    return WITHIN_ZONE
