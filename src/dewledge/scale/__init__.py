"""Hollow nodes: the decision core of many nodes in one process."""
