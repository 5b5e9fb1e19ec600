"""Adapter for the users' platform: its wire protocol, row formats and HTTP calls."""
