"""The same step by step, for fronts with a loop of their own: python examples/step_by_step.py ADDRESS"""

from __future__ import annotations

import asyncio
import sys

from martentide.client import Attempt, Client, Ending, Failed, Refused, Route, Standing


async def main(address: str) -> None:
    async with Client([address], front="example") as client:
        call = await client.ask("status-check", number="7f3a", time_left=3000)
        verdict = call.verdict
        while isinstance(verdict, Route):
            if not call.begin():  # it came too late to be used, or was taken back
                verdict = await call.next()
                continue
            print("set up at", verdict.server, verdict.address, "within", verdict.patience, "ms")
            refused = verdict.attempt == 0  # say that the first server turns it away
            verdict = await call.report(Attempt(Ending.FULL if refused else None, report="x0:0;x1:9;eps:0.5"))
        if isinstance(verdict, Refused):
            print("refused:", verdict.why.value, "come back in", verdict.retry_after, "ms")
        elif isinstance(verdict, Failed):
            print("failed:", verdict.why.value)
        elif isinstance(verdict, Standing):
            print("stands")
            call.over()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
