"""Fleet-wide overload control on real processes with faults, as observed by servers and callers."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from martentide.net.fleet.show import table
from martentide.net.links import unix_ms
from martentide.overload.core import ALLOTMENT, MAX_BALANCE, RETRY_RATIO
from martentide.overload.messages import LOAD_KIND, Load, ServerPressure, write_load
from martentide_lab.checker import check_retries, cold_start_load
from martentide_lab.fleet.hollow_member import HollowMember
from martentide_lab.fleet.rig import Rig
from martentide_lab.fleet.scenario import Step
from martentide_lab.servers import READY, ReceivedSetUp, SessionServer
from tests.fleet.support import WAIT_LIMIT_S, run_scenario

SHARES = (0.74, 0.05, 0.21)  # of the traffic, by class
SERVER_RATE_PER_S = 20.0  # set-ups that one server handles
SERVERS, PROXIES = 3, 6
OVERLOAD_ON = "overload #true"


async def run_step(rig: Rig, verb: str, *arguments: object) -> None:
    """Execute one step of a scenario at once."""
    await rig.execute_step(Step(0.0, verb, arguments))


def run_overloaded(
    scenario: Callable[[Rig], Awaitable[None]],
    *,
    hold_off_compliance: float | None = None,
    budget: bool = True,
    **more: Any,
) -> None:
    """Run ``scenario`` under 1.7 times the planned load, then remove the load.

    All proxies must then admit everything again, with no more retries than the fleet's budget allows.
    """

    async def full_scenario(rig: Rig) -> None:
        for server in rig.servers:
            server.behavior.rate = SERVER_RATE_PER_S
        for load in rig.load_generators.values():
            load.hold_off_compliance = (
                load.hold_off_compliance if hold_off_compliance is None else hold_off_compliance
            )
        await asyncio.sleep(1.5)
        await run_step(rig, "surge", 1.7)
        await scenario(rig)
        await run_step(rig, "surge", 0.7)
        await rig.wait_until(lambda: any(event.kind == "overload" for event in rig.log), WAIT_LIMIT_S)
        await rig.wait_until(lambda: rig.no_member_sheds() and rig.is_converged(), WAIT_LIMIT_S)
        if budget:
            tries = sum(len(load.redialed_calls) for _, load in rig.all_load_generators)
            incarnations = len(rig.all_load_generators)
            assert not check_retries(rig.servers, tries, RETRY_RATIO, incarnations, MAX_BALANCE + ALLOTMENT)

    more = {"extra_settings": OVERLOAD_ON, "redials": 3, "shares": SHARES, **more}
    run_scenario(full_scenario, PROXIES, SERVERS, rate=0.8 * SERVER_RATE_PER_S * SERVERS, **more)


def test_surge_at_one_proxy_causes_shedding_at_all() -> None:
    async def scenario(rig: Rig) -> None:
        await run_step(rig, "surge", 1.0)
        await run_step(rig, "surge-at", "n0", 6.0)
        await asyncio.sleep(4.0)
        shedding = {event.observer for event in rig.log if event.kind == "overload"}
        assert len(shedding) == PROXIES  # also those whose offered load did not change

    run_overloaded(scenario)


MOVING_SURGE = [step for name in ("n0", "n1", "n2", "n3")
           for step in ((0.0, "surge-at", name, 6.0), (1.2, "surge-at", name, 1.0))]  # fmt: skip
CASES: dict[str, tuple[list[tuple[Any, ...]], dict[str, Any]]] = {  # s before each step; rig options
    "partition of four and two, then healed": ([(1.0, "split", "n0,n1,n2,n3", "n4,n5"), (4.0, "heal")], {}),
    "stopped for 3 s, with old tokens and admission": ([(1.0, "stop", "n1"), (3.0, "continue", "n1")], {}),
    "most killed and restarted": (
        [(1.0, "kill", "n1,n2,n3,n4"), (1.0, "start", "n1,n2,n3,n4"), (0.0, "surge", 1.7)], {}),
    "surge moves from proxy to proxy": ([(0.0, "surge", 1.0), *MOVING_SURGE], {}),
    "callers that ignore the hold-off": ([(4.0, "surge", 1.0)], {"hold_off_compliance": 0.0}),
    "half of the fleet without overload control": (
        [(4.0, "surge", 1.0)],
        {"budget": False, "extra_settings": {f"n{at}": OVERLOAD_ON for at in range(0, PROXIES, 2)}}),
    "messages delayed by 2 s everywhere, so that each acts alone": (
        [(0.0, "delay", 2_000, 100), (5.0, "delay", 0, 2)], {}),
}  # fmt: skip


@pytest.mark.parametrize("case", CASES)
def test_surge_with_fault(case: str) -> None:
    steps, more = CASES[case]

    async def scenario(rig: Rig) -> None:
        for wait, verb, *arguments in steps:
            await asyncio.sleep(wait)
            await run_step(rig, verb, *arguments)

    run_overloaded(scenario, **more)


def test_surge_with_a_hung_a_slow_and_a_cold_server() -> None:
    async def scenario(rig: Rig) -> None:
        hung, slow, cold = rig.servers
        hung.behavior.ignore_set_ups = hung.behavior.ignore_health_checks = True
        slow.behavior.rate = SERVER_RATE_PER_S / 3.0
        cold.behavior.cold_start_at = unix_ms()
        rig.discovery.publish([(cold, READY)], started=int(cold.behavior.cold_start_at))
        await asyncio.sleep(4.0)
        assert cold_start_load(cold) <= 1.0
        hung.behavior.ignore_set_ups = hung.behavior.ignore_health_checks = False
        slow.behavior.rate = SERVER_RATE_PER_S

    run_overloaded(scenario)


def test_cold_server_stays_within_its_limit_during_a_partition() -> None:
    async def scenario(rig: Rig) -> None:
        await run_step(rig, "split", "n0,n1,n2", "n3,n4,n5")
        await asyncio.sleep(2.0)
        cold = SessionServer(SERVERS)
        rig.servers.append(cold)
        await cold.start()
        cold.behavior.rate, cold.behavior.cold_start_at = SERVER_RATE_PER_S, unix_ms()
        rig.discovery.publish([(cold, READY)], started=int(cold.behavior.cold_start_at))
        await asyncio.sleep(5.0)
        assert len(cold.received_set_ups) > 0 and cold_start_load(cold) <= 1.0
        await run_step(rig, "heal")

    run_overloaded(scenario)


async def publish_false_claims(rig: Rig, hold_back: int, baseline: int, rounds: int) -> list[float]:
    """Run a member that makes false claims and requests all tokens; return what the others then admit."""
    hollow_member = HollowMember("n9")
    admitted = []
    try:
        await hollow_member.join(rig.hub, (rig.hub.public_address("n0"),))
        for turn in range(rounds):
            pressed = [ServerPressure(server.name, hold_back, 0) for server in rig.servers]
            offered = {"status-check": 100 + turn}
            hollow_member.publish(
                LOAD_KIND, 1, write_load(Load(baseline, 0, 0, 0, offered, pressed, tokens_wanted=99))
            )
            await asyncio.sleep(0.25)
            if turn >= 8 and turn % 4 == 0:
                status = [(await rig.status(name))["overload"] for name in rig.proxies]
                admitted += [one["admitted"] for one in status]
    finally:
        hollow_member.close()
    return admitted


def test_false_claims_of_full_servers_have_a_bounded_effect() -> None:
    async def scenario(rig: Rig) -> None:
        for load in rig.load_generators.values():
            load.rate /= 2.0
        admitted = await publish_false_claims(rig, hold_back=1_000, baseline=0, rounds=24)
        assert admitted and min(admitted) >= 0.6, admitted
        await rig.wait_until(lambda: rig.are_known_dead("n9"), WAIT_LIMIT_S)

    run_scenario(
        scenario, PROXIES, SERVERS, rate=0.8 * SERVER_RATE_PER_S * SERVERS, extra_settings=OVERLOAD_ON
    )


def test_false_claims_of_idle_servers_do_not_prevent_shedding() -> None:
    async def scenario(rig: Rig) -> None:
        await run_step(rig, "surge", 2.0)
        admitted = await publish_false_claims(rig, hold_back=0, baseline=1_000, rounds=24)
        assert min(admitted) < 0.95, admitted
        await rig.wait_until(lambda: rig.are_known_dead("n9"), WAIT_LIMIT_S)

    run_overloaded(scenario)


def test_status_shows_the_state_of_overload_control() -> None:
    async def scenario(rig: Rig) -> None:
        status = (await rig.status("n0"))["overload"]
        assert status["phase"] == "normal" and set(status["shares"].values()) <= {1.0}
        assert status["admitted"] == 1.0
        assert "overload: normal" in table(json.dumps(await rig.status("n0")))

    run_scenario(scenario, 2, 1, extra_settings=OVERLOAD_ON)


@pytest.mark.parametrize(("further", "broken"), [(11, False), (30, True)])
def test_retry_checker_detects_a_violation(further: int, broken: bool) -> None:
    server = SessionServer(0)
    for at in range(20):
        server.received_set_ups.append(ReceivedSetUp(at.to_bytes(8, "big"), b"", float(at)))
    server.received_set_ups += [
        ReceivedSetUp((1).to_bytes(8, "big"), b"", float(at)) for at in range(further)
    ]
    assert bool(check_retries([server], 20, 0.15, 1, 9.0)) is broken


@pytest.mark.parametrize(("gap", "over"), [(500.0, False), (20.0, True)])
def test_cold_server_checker_detects_a_violation(gap: float, over: bool) -> None:
    server = SessionServer(0)
    server.behavior.rate, server.behavior.cold_start_at = SERVER_RATE_PER_S, 0.0
    server.received_set_ups = [ReceivedSetUp(b"", b"", gap * at) for at in range(100)]
    assert (cold_start_load(server) > 1.0) is over
