"""The control tier: a few nodes that hold the proxies' leases and tell each what it subscribed to (pure)."""
