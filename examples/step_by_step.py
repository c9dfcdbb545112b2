"""Handles a call step by step, for fronts with their own loop: python examples/step_by_step.py ADDRESS"""

from __future__ import annotations

import asyncio
import sys

from martentide.client import Attempt, Client, Ending, Failed, Refused, Route, Standing


async def main(address: str) -> None:
    """Handle one call and print its result."""
    async with Client([address], front="example") as client:
        call = await client.ask("status-check", number="7f3a", time_left=3000)
        verdict = call.verdict
        while isinstance(verdict, Route):
            if not call.begin():  # the route has expired or was withdrawn
                verdict = await call.next()
                continue
            print("set up at", verdict.server, verdict.address, "within", verdict.patience, "ms")
            refused = verdict.attempt == 0  # simulate that the first server refuses the call
            verdict = await call.report(Attempt(Ending.FULL if refused else None, report="x0:0;x1:9;eps:0.5"))
        if isinstance(verdict, Refused):
            print("refused:", verdict.why.value, "retry after", verdict.retry_after, "ms")
        elif isinstance(verdict, Failed):
            print("failed:", verdict.why.value)
        elif isinstance(verdict, Standing):
            print("stands")
            call.over()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
