"""The entry: from a caller's request to its one answer."""
