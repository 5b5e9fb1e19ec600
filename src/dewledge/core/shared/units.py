"""Conversions of units, each of them once: inside, times are seconds; on the wire, milliseconds."""

MILLISECONDS = 1000
"""Milliseconds in a second; exact."""
