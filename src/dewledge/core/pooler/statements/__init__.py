"""Runs one statement of a session: database choice, connection setup, sending and retries."""
