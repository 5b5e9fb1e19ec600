"""TCP and UDP connections of the pooler to clients, databases and other pooler processes."""
