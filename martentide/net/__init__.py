"""The signalling proxy on real sockets: asyncio actors around the decisions."""
