"""The control tier: nodes that grant leases to proxies and send each the state it subscribes to (pure)."""
