"""Real proxy processes with faults between them; the checkers read the logs of the other members."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

import msgspec
import pytest

from martentide.fleet.wire import Datagram, Frame, State
from martentide_lab.fleet.faults import Link
from martentide_lab.fleet.hollow_member import HollowMember
from martentide_lab.fleet.rig import Rig
from martentide_lab.fleet.scenario import Step
from tests.fleet.support import WAIT_LIMIT_S, run_scenario


async def run_step(rig: Rig, verb: str, *arguments: object) -> None:
    """Execute one step of a scenario at once."""
    await rig.execute_step(Step(0.0, verb, arguments))


async def wait_until_alive(rig: Rig, member: str, observers: Sequence[str], generation: int) -> None:
    """Wait until all observers list the member as alive in that generation."""

    async def listed_by_all() -> bool:
        statuses = [await rig.status(name) for name in observers]
        entries = [one for status in statuses for one in status["members"] if one["name"] == member]
        return [(one["state"], one["generation"]) for one in entries] == [("alive", generation)] * len(
            statuses
        )

    async with asyncio.timeout(WAIT_LIMIT_S):
        while not await listed_by_all():
            await asyncio.sleep(0.1)


def test_killed_restarted_and_terminated_members_are_recognized_by_all() -> None:
    async def scenario(rig: Rig) -> None:
        await run_step(rig, "kill", "n3")
        await rig.wait_until(lambda: rig.are_known_dead("n3"), WAIT_LIMIT_S)
        await run_step(rig, "start", "n3")
        await rig.wait_until(rig.is_converged, WAIT_LIMIT_S)
        await run_step(rig, "term", "n2")
        await rig.wait_until(lambda: rig.are_known_dead("n2"), WAIT_LIMIT_S)
        changes = [event for event in rig.log if event.kind == "member" and event.subject == "n2"]
        assert any(event.fields["state"] == State.LEFT for event in changes)

    run_scenario(scenario)


@pytest.mark.parametrize("duration", [0.5, 2.0, 20.0])
def test_a_member_stopped_and_continued_rejoins_and_marks_no_other_dead(duration: float) -> None:
    async def scenario(rig: Rig) -> None:
        await run_step(rig, "stop", "n1")
        await asyncio.sleep(duration)
        if duration > 10.0:
            assert rig.are_known_dead("n1", by=["n0", "n2", "n3"])
        await run_step(rig, "continue", "n1")
        await rig.wait_until(rig.is_converged, WAIT_LIMIT_S)
        await asyncio.sleep(1.0)  # the stopped member must not mark others dead for its own stall
        changes = [event for event in rig.log if event.kind == "member" and event.observer == "n1"]
        assert not [event for event in changes if event.fields["state"] == State.DEAD]

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("one_side", "other_side"), [("n5", "n0,n1,n2,n3,n4"), ("n0,n1,n2", "n3,n4,n5"), ("n0,n1,n2,n3", "n4,n5")]
)
def test_both_sides_of_a_partition_find_each_other_once_it_is_healed(one_side: str, other_side: str) -> None:
    async def scenario(rig: Rig) -> None:
        one_names, other_names = one_side.split(","), other_side.split(",")
        await run_step(rig, "split", one_side, other_side)
        await rig.wait_until(
            lambda: (
                rig.are_known_dead(*one_names, by=other_names)
                and rig.are_known_dead(*other_names, by=one_names)
            ),
            WAIT_LIMIT_S,
        )
        assert rig.is_converged(one_names) and rig.is_converged(other_names)
        await run_step(rig, "heal")
        await rig.wait_until(rig.is_converged, WAIT_LIMIT_S)

    run_scenario(scenario, proxies=6)


def test_a_one_way_cut_marks_no_member_dead() -> None:
    async def scenario(rig: Rig) -> None:
        await run_step(rig, "cut", "n1", "n0")
        await asyncio.sleep(6.0)
        assert rig.is_converged()
        assert not [e for e in rig.log if e.kind == "member" and e.fields["state"] == State.DEAD]

    run_scenario(scenario, servers=0, with_load=False)


def test_20_percent_loss_marks_no_live_member_dead_and_a_dead_one_is_detected() -> None:
    async def scenario(rig: Rig) -> None:
        await asyncio.sleep(5.0)
        assert not [e for e in rig.log if e.kind == "member" and e.fields["state"] == State.DEAD]
        await run_step(rig, "kill", "n5")
        await rig.wait_until(lambda: rig.are_known_dead("n5"), WAIT_LIMIT_S)

    run_scenario(scenario, proxies=6, base=Link(loss=0.2, jitter=20.0))


def test_a_process_starved_of_cpu_marks_no_other_dead() -> None:
    async def scenario(rig: Rig) -> None:
        await run_step(rig, "starve", "n2")
        await asyncio.sleep(8.0)
        await run_step(rig, "feed", "n2")
        deaths = [e for e in rig.log if e.kind == "member" and e.fields["state"] == State.DEAD]
        assert not [e for e in deaths if e.subject != "n2"]
        await rig.wait_until(rig.is_converged, WAIT_LIMIT_S)

    run_scenario(scenario)


def test_members_started_while_the_only_seed_is_dead_find_the_fleet_later() -> None:
    async def scenario(rig: Rig) -> None:
        await run_step(rig, "kill", "n0,n3")
        await rig.wait_until(lambda: rig.are_known_dead("n0", "n3"), WAIT_LIMIT_S)
        await run_step(rig, "start", "n3")  # known to the others: they ping its former address
        await rig.wait_until(rig.is_converged, WAIT_LIMIT_S)
        await rig.start_member("x1")  # unknown to all: it runs without peers
        await asyncio.sleep(1.5)
        assert rig.views["x1"] == {} and rig.is_converged(["n1", "n2", "n3"])
        await run_step(rig, "start", "n0")
        await rig.wait_until(rig.is_converged, WAIT_LIMIT_S)

    run_scenario(scenario, seed_count=1)


def test_all_members_killed_and_restarted_at_once_find_each_other() -> None:
    async def scenario(rig: Rig) -> None:
        names = ",".join(rig.proxies)
        await run_step(rig, "kill", names)
        await run_step(rig, "start", names)
        await rig.wait_until(rig.is_converged, WAIT_LIMIT_S)

    run_scenario(scenario, proxies=6)


def test_seven_of_ten_members_killed_at_once_are_detected() -> None:
    async def scenario(rig: Rig) -> None:
        dead = [f"n{at}" for at in range(3, 10)]
        await run_step(rig, "kill", ",".join(dead))
        await rig.wait_until(lambda: rig.are_known_dead(*dead), WAIT_LIMIT_S)
        assert rig.is_converged()

    run_scenario(scenario, proxies=10)


def test_a_member_restarted_five_times_in_ten_seconds_is_known_as_its_last_process() -> None:
    async def scenario(rig: Rig) -> None:
        for _ in range(5):
            await run_step(rig, "kill", "n3")
            await asyncio.sleep(0.7)
            await run_step(rig, "start", "n3")

        def known() -> bool:
            """Whether the last record that each other member logged of n3 is its last process, alive."""
            [*_, last] = [event.fields["life"] for event in rig.log if event.kind == "started"]
            last_changes = {
                event.observer: event.fields
                for event in rig.log
                if event.kind == "member" and event.subject == "n3"
            }
            states = [(one["life"], one["state"]) for who, one in last_changes.items() if who in rig.proxies]
            return states == [(last, State.ALIVE)] * 3

        await rig.wait_until(known, WAIT_LIMIT_S)
        await rig.wait_until(rig.is_converged, WAIT_LIMIT_S)

    run_scenario(scenario)


def test_of_two_processes_of_one_name_the_newer_keeps_it() -> None:
    async def scenario(rig: Rig) -> None:
        await rig.start_member("x1", member_name="n1")
        await rig.wait_until(lambda: any(e.kind == "displaced" for e in rig.log), WAIT_LIMIT_S)
        [displaced] = {e.observer for e in rig.log if e.kind == "displaced"}
        assert displaced == "n1"
        assert (await rig.status("n1"))["state"] == "displaced"
        alive: set[str] = set()
        async with asyncio.timeout(WAIT_LIMIT_S):
            while alive != {"n0", "n2", "n3"}:  # its first sync may not be complete
                status = await rig.status("x1")
                alive = {one["name"] for one in status["members"] if one["state"] == "alive"}
                await asyncio.sleep(0.1)
        await wait_until_alive(rig, "n1", ("n0", "n2", "n3"), status["generation"])

    run_scenario(scenario)


def test_a_member_whose_address_another_name_or_fleet_took_over_is_marked_dead() -> None:
    async def scenario(rig: Rig) -> None:
        await run_step(rig, "kill", "n3")
        await rig.start_member("n3", member_name="n9")
        await rig.wait_until(lambda: rig.are_known_dead("n3"), WAIT_LIMIT_S)
        assert all(rig.views[name]["n9"] == State.ALIVE for name in ("n0", "n1", "n2"))
        await run_step(rig, "kill", "n2")
        await rig.start_member("n2", fleet="other")
        await rig.wait_until(lambda: rig.are_known_dead("n2", by=["n0", "n1"]), WAIT_LIMIT_S)
        assert rig.views["n2"] == {}
        counts = [(await rig.status(name))["counts"] for name in ("n0", "n1", "n2")]
        assert sum(one.get("other-fleet", 0) for one in counts) > 0

    run_scenario(scenario, with_load=False)


def test_an_upgrade_keeps_the_name_alive() -> None:
    async def scenario(rig: Rig) -> None:
        await run_step(rig, "upgrade", "n1")
        await rig.wait_until(rig.is_converged, WAIT_LIMIT_S)
        await asyncio.sleep(3.0)
        changes = [e for e in rig.log if e.kind == "member" and e.subject == "n1" and e.observer != "n1"]
        assert not [e for e in changes if e.fields["state"] >= State.DEAD]
        status = await rig.status("n1")
        assert status["state"] == "alive" and status["generation"] == 2

    run_scenario(scenario)


def test_wall_clocks_that_differ_jump_or_run_fast_affect_no_member() -> None:
    async def scenario(rig: Rig) -> None:
        await run_step(rig, "stop", "n3")
        rig.set_clock("n1", -3600.0)
        await rig.wait_until(lambda: rig.are_known_dead("n3"), WAIT_LIMIT_S)
        rig.set_clock("n1", 7200.0)
        await run_step(rig, "pace", "n2", 9.0)  # a wall clock that runs ten times as fast
        await run_step(rig, "continue", "n3")
        await rig.wait_until(rig.is_converged, WAIT_LIMIT_S)
        ages = [
            facet["age"] for name in rig.proxies for one in (await rig.status(name))["members"]
            for facet in one["facets"]
        ]  # fmt: skip
        assert all(age < 60_000 for age in ages)

    run_scenario(scenario, clock_offsets={"n1": 3600.0, "n2": -3600.0})


def later_version(frame: Frame, datagram: Datagram) -> bytes:
    """Encode as a later protocol version would: with extra elements at the end of every array."""
    raw = msgspec.msgpack.decode(msgspec.msgpack.encode(datagram))
    raw[1].append({"new": 1})
    for entries in (raw[8], raw[9], raw[12]):
        for entry in entries:
            entry.append("new")
    raw += ["new", 7]
    data = frame.head + msgspec.msgpack.encode(raw)
    return data + frame._check(data)


def test_a_member_of_a_later_version_is_listed_and_its_entries_are_gossiped() -> None:
    async def scenario(rig: Rig) -> None:
        hollow_member = HollowMember("n7", transform=later_version)
        try:
            rig.network.set_links(["n7"], ["n1", "n2", "n3"], cut=True)  # these learn of it through n0 only
            await hollow_member.join(rig.hub, (rig.hub.public_address("n0"),))
            hollow_member.publish(77, 9, b"of a kind that nobody knows")

            async def gossiped() -> bool:
                statuses = [await rig.status(name) for name in rig.proxies]
                facets = [f for s in statuses for m in s["members"] if m["name"] == "n7" for f in m["facets"]]
                return len([f for f in facets if (f["kind"], f["schema"]) == (77, 9)]) == len(statuses)

            async with asyncio.timeout(WAIT_LIMIT_S):
                while not await gossiped():
                    await asyncio.sleep(0.1)
        finally:
            hollow_member.close()
        await rig.wait_until(lambda: rig.are_known_dead("n7"), WAIT_LIMIT_S)

    run_scenario(scenario, with_load=False)


def test_a_flood_of_invalid_datagrams_delays_no_detection_and_floods_no_log() -> None:
    async def scenario(rig: Rig) -> None:
        rng, frame = random.Random(1), Frame("rig")
        begin = rig.now()
        await run_step(rig, "kill", "n3")
        while not rig.are_known_dead("n3"):
            assert rig.now() - begin < WAIT_LIMIT_S * 1000.0
            for name in rig.proxies:
                for _ in range(20):
                    noise = rng.randbytes(rng.choice([0, 1, 15, 200, 1_400, 9_000]))
                    sealed = frame.head + noise[:1_300]
                    rig.hub.inject(
                        name, rng.choice([noise, frame.head + noise, sealed + frame._check(sealed)])
                    )
            await asyncio.sleep(0.02)
        lines = [event for event in rig.log if event.kind == "passed-over"]
        assert lines and len(lines) <= 3 * ((rig.now() - begin) / 1000.0 + 2)
        assert (await rig.status("n0"))["counts"]["malformed"] > 0

    run_scenario(scenario)


def test_few_members_check_a_hung_server_also_after_their_death_and_a_partition() -> None:
    async def scenario(rig: Rig) -> None:
        hung = rig.servers[0]

        async def checks(count: int) -> None:
            """Wait for that many more health checks."""
            before = len(hung.health_checks)
            async with asyncio.timeout(WAIT_LIMIT_S):
                while len(hung.health_checks) < before + count:
                    await asyncio.sleep(0.05)

        async def left_to(name: str) -> set[str]:
            return set((await rig.status(name))["tests_left_to_others"])

        async def assignees(names: list[str]) -> list[str]:
            """Wait until at most two members don't leave the checks to others; return them."""
            async with asyncio.timeout(WAIT_LIMIT_S):
                while True:
                    checking = [name for name in names if hung.name not in await left_to(name)]
                    if len(checking) <= 2:
                        return checking
                    await asyncio.sleep(0.05)

        await run_step(rig, "server", "s0", "hung")
        await checks(1)
        first = await assignees(list(rig.proxies))
        await checks(4)
        await run_step(rig, "kill", ",".join(first))
        await rig.wait_until(lambda: rig.are_known_dead(*first), WAIT_LIMIT_S)
        await checks(4)
        second = await assignees(list(rig.proxies))
        assert second and not set(first) & set(second)
        one_side, other_side = list(rig.proxies)[:2], list(rig.proxies)[2:]
        await run_step(rig, "split", ",".join(one_side), ",".join(other_side))
        await rig.wait_until(
            lambda: (
                rig.are_known_dead(*one_side, by=other_side) and rig.are_known_dead(*other_side, by=one_side)
            ),
            WAIT_LIMIT_S,
        )
        for side in (one_side, other_side):
            assert [name for name in side if hung.name not in await left_to(name)]
        await run_step(rig, "heal")
        await run_step(rig, "server", "s0", "well")
        await rig.wait_until(rig.is_converged, WAIT_LIMIT_S)
        before = len(hung.received_set_ups)
        async with asyncio.timeout(WAIT_LIMIT_S):
            while len(hung.received_set_ups) < before + 20:  # it is sent calls again
                await asyncio.sleep(0.1)

    run_scenario(scenario, proxies=6, servers=3, rate=60.0)
