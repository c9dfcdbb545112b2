"""Fleet membership on sockets: one datagram endpoint and one actor."""
