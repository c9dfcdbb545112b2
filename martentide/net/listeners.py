"""Listening sockets for callers and for the operator."""

from __future__ import annotations

import socket

from martentide.net.config import Address


def bind_socket(address: Address, shared: bool = False) -> socket.socket:
    """Return a socket bound to the address; ``shared``: other processes may bind it too. Raises OSError."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.bind((address.host, address.port))
    except OSError:
        listener.close()
        raise
    return listener
