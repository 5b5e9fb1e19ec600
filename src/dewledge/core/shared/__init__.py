"""Code shared by the proxy and the pooler: positions, addresses, fair queueing, time estimates."""
