"""The gateway: the connections of a few databases, and what runs on them."""
