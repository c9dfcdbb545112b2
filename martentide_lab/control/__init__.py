"""Test support for the control tier: simulation, real processes, network faults and invariants."""
