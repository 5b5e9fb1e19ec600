"""The zone and region of this process, and the distance to another zone in steps."""

import msgspec


class Locality(msgspec.Struct, frozen=True):
    """Where this process stands: its zone, and the region of each zone."""

    zone: str
    regions: dict[str, str]

    def distance(self, zone: str) -> int:
        """Returns the steps from the own zone to another."""
        return self.steps_between(self.zone, zone)

    def steps_between(self, zone: str, other: str) -> int:
        """Returns 0 for the same zone, 1 for two of a region, 2 for two regions."""
        if zone == other:
            return 0
        return 1 if self.regions.get(zone) == self.regions.get(other) else 2
