"""Replication of the coordination store's tables: reading, following and publishing them."""
