"""State of the databases of a group: roles, log positions, replication lag, unresponsiveness."""
