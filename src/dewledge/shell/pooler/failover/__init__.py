"""What drives `core/pooler/failover` in a process: calls, claims, indirect probes."""
