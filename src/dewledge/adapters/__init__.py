"""Adapters from the core's ports to outside systems."""
