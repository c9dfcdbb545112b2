"""The fleet on sockets: one datagram endpoint, one actor."""
