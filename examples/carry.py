"""Handles a call with ``Client.carry``: python examples/carry.py ADDRESS

It needs a martentide with the external processor mode on. The attempt here only connects to the server; a
real one uses the servers' protocol.
"""

from __future__ import annotations

import asyncio
import sys

from martentide.client import Attempt, Client, Ending, Route, Standing


async def attempt(route: Route) -> Attempt:
    """Make one attempt; an ``Attempt`` with the ending None means that the call stands."""
    host, _, port = route.address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return Attempt(Ending.UNREACHABLE)
    writer.close()
    return Attempt(None)


async def main(address: str) -> None:
    """Handle one call and print its result."""
    async with Client([address], front="example") as client:
        result = await client.carry("status-check", attempt, number="7f3a", time_left=3000)
        print(type(result.final).__name__, "after", result.attempts, "attempt(s)")
        if isinstance(result.final, Standing):
            result.call.over()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
