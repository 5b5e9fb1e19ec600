"""Sockets, threads and signals of the pooler: what drives `core/pooling` in a process."""
