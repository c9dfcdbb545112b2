"""The protocol between the two processes of an upgrade, without sockets.

The design is described in ``docs/design/operations.md``.
"""
