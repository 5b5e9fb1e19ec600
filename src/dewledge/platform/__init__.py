"""Adapter for the platform that the pooler runs on: wire protocol, row formats, HTTP calls."""
