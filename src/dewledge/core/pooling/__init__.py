"""Sessions bound to a connection, before database connections that many sessions share."""
