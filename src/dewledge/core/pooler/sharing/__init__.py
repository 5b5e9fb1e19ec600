"""Processes that lend each other database connections, so that few hold those of one database."""
