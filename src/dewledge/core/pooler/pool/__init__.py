"""The connections that one process holds to a database, and who waits for them."""
