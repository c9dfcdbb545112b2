"""The one helper of the fleet's tests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from martentide_lab.fleet.rig import Rig
from martentide_lab.fleet.story import Script

LIMIT = 30.0  # s that any wait may take, also on one slow core


def play(scene: Callable[[Rig], Awaitable[None]], proxies: int = 4, servers: int = 1, **more: Any) -> None:
    """Start so many members, wait until they know each other, play the scene; nothing may be broken by it."""
    script = Script(proxies=proxies, servers=servers, rate=more.pop("rate", 8.0 * proxies))

    async def run() -> None:
        async with Rig(script, **more) as rig:
            try:
                await rig.until(rig.whole, LIMIT)
                await scene(rig)
                broken = rig.broken()
                assert not broken, "\n".join(broken)
            except (AssertionError, TimeoutError):
                print(rig.story())
                raise

    asyncio.run(run())
