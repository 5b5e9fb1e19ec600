"""The decision core: state machines without sockets, threads, clocks or random sources."""
