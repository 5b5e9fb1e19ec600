"""Decisions under load: what is known of waits, who waits, who is refused and until when."""
