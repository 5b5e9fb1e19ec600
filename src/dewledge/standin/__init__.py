"""Small stand-ins for the platform and the database groups, for tests and experiments."""
