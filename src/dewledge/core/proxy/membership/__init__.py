"""Which proxies are alive, and what follows: placement and isolation."""
