"""Conversion of units: times are in seconds inside the programs and in milliseconds on the wire."""

MILLISECONDS_PER_SECOND = 1000
"""Milliseconds in a second."""
