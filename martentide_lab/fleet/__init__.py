"""Fault injection for a fleet of proxies, as real processes (``rig``) or in simulated time (``simulated``).

Both share the scenario format, the event log and the invariant checker.
"""
