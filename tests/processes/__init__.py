"""The points that must always hold, each on real processes over loopback."""
