"""The control tier in simulated time: nodes, proxies, faults between them, and invariants."""
