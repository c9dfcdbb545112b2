"""Failover between zones: detection of zone failures and traffic planning, both without I/O."""
