"""The I/O layer around the decision core: sockets, threads and timers."""
