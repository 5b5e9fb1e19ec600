"""Sockets, threads and signals that run `core/pooler` in a process."""
