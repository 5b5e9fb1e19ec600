"""One statement of a session: choice of a database, setup, sending, answer, retry."""
