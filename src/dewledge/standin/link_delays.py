"""One-way delays of the links between places."""

import msgspec


class Locality(msgspec.Struct, frozen=True):
    """Where a machine is. Zone names are unique over all regions."""

    zone: str
    region: str = ""


class LinkDelays(msgspec.Struct, frozen=True):
    """One-way delays in seconds, by how far apart two places are."""

    within_zone: float = 0.0
    between_zones: float = 0.0
    between_regions: float = 0.0
    to_clients: float = 0.0

    def one_way(self, source: Locality, target: Locality) -> float:
        """Returns the delay from one place to another; an unnamed zone is taken as the same."""
        if source.zone == target.zone or not source.zone or not target.zone:
            return self.within_zone
        if source.region == target.region:
            return self.between_zones
        return self.between_regions
