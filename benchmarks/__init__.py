"""Measurements: ``python -m benchmarks.NAME``."""
