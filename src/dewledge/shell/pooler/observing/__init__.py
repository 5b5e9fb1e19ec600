"""Log lines, metrics and HTTP status pages of a pooler process."""
