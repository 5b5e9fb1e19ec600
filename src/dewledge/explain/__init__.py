"""Explains a statement afterwards from the log lines of one or more processes."""
