"""Modules used by both daemons: event loop, HTTP server, sockets, frames, logging."""
