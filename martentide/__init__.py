"""Admission decisions for border proxies in front of shared core servers."""

__version__ = "0.1.0"
