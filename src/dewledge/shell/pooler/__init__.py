"""Sockets, threads and signals of the pooler: what drives `core/pooler` in a process."""
