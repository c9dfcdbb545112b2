"""The control tier: a few nodes that grant leases to proxies and send each the state it subscribes to (pure)."""
