"""Decision core of the proxy: requests over HTTP, gateways, membership, configuration."""
