"""Loads the plug-in for tests that fail by a known fault."""

pytest_plugins = ["tests.known_red"]
