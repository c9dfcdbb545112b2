"""Admission decisions for border proxies in front of shared core servers."""
