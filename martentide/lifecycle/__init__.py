"""The life cycle of the service as a pure state machine, without clock or sockets.

The design is described in ``docs/design/operations.md``.
"""
