"""Resources and rules: read, checked, accepted once, spread to every proxy."""
