"""Generated from ``proto/`` by ``python -m tools.protos``."""
