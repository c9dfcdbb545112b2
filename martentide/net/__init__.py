"""The signalling proxy on real sockets: asyncio actors around the decision module."""
