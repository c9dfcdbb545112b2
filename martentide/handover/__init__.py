"""What two processes of one upgrade say to each other: pure, no sockets; ``docs/design/operations.md``."""
