"""Benchmarks; run one by ``python -m benchmarks.NAME``."""
