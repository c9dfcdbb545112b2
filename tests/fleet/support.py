"""Helper of the tests on real fleet processes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from martentide_lab.fleet.rig import Rig
from martentide_lab.fleet.scenario import Scenario

WAIT_LIMIT_S = 30.0  # for any wait, also on one slow core


def run_scenario(
    scenario: Callable[[Rig], Awaitable[None]], proxies: int = 4, servers: int = 1, **more: Any
) -> None:
    """Start the proxies, wait until they know each other, run the scenario and check the invariants.

    On failure the log of the run is printed.
    """
    parameters = Scenario(proxies=proxies, servers=servers, rate=more.pop("rate", 8.0 * proxies))

    async def run() -> None:
        async with Rig(parameters, **more) as rig:
            try:
                await rig.wait_until(rig.is_converged, WAIT_LIMIT_S)
                await scenario(rig)
                violations = rig.violations()
                assert not violations, "\n".join(violations)
            except (AssertionError, TimeoutError):
                print(rig.recent_events())
                raise

    asyncio.run(run())
