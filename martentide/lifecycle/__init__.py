"""The state of the service as one pure machine: no clock, no sockets; ``docs/design/operations.md``."""
