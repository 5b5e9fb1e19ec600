"""The shell around the core: sockets, threads and timers."""
