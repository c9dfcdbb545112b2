"""What every run of the tests has: the list of known failures."""

pytest_plugins = ["tests.known_red"]
