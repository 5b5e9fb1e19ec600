"""Streams and datagrams: clients, databases, and other processes of the pooler."""
