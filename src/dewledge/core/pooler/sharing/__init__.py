"""Sharing of database connections between processes, to limit the connections to each database."""
