"""Sockets, threads and signals of the proxy: what drives `core/proxy` in a process."""
