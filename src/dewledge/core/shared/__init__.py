"""What the proxy and the pooler share: positions, addresses, fair shares, measured rates."""
