"""The connection pool for one database and the queue of statements that wait for a connection."""
