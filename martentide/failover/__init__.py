"""Failover between zones and regions, decided in common: evidence and plan so far, both pure."""
