"""dewledge: a database proxy with session consistency, as daemons and as a library."""

__version__ = "0.1.0"
