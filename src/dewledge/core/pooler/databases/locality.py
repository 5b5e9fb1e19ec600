"""The zone and region of this process, and the distance between zones in steps."""

import msgspec


class Locality(msgspec.Struct, frozen=True):
    """The zone of this process, and the region of each zone."""

    zone: str
    regions: dict[str, str]

    def distance(self, zone: str) -> int:
        """Returns the steps from the zone of this process to another zone."""
        return self.steps_between(self.zone, zone)

    def steps_between(self, zone: str, other: str) -> int:
        """Returns 0 for the same zone, 1 for zones in the same region, else 2."""
        if zone == other:
            return 0
        return 1 if self.regions.get(zone) == self.regions.get(other) else 2
