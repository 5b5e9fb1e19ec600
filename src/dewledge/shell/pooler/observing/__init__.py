"""Log lines and metrics of a pooler process."""
