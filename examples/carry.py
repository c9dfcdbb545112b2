"""Carry calls by ``Client.carry``: python examples/carry.py ADDRESS  (needs a martentide with the mode on).

The attempt here only dials the server; a real one speaks the servers' protocol.
"""

from __future__ import annotations

import asyncio
import sys

from martentide.client import Attempt, Client, Ending, Route, Standing


async def attempt(route: Route) -> Attempt:
    """One set-up: None as the ending says that it stands."""
    host, _, port = route.address.rpartition(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return Attempt(Ending.UNREACHABLE)
    writer.close()
    return Attempt(None)


async def main(address: str) -> None:
    async with Client([address], front="example") as client:
        done = await client.carry("status-check", attempt, number="7f3a", time_left=3000)
        print(type(done.final).__name__, "after", done.attempts, "attempt(s)")
        if isinstance(done.final, Standing):
            done.call.over()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
