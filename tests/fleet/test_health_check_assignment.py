"""Duty of testing: who tests, who leaves it to others, and that somebody always does."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

import pytest

from martentide.fleet.health_check_assignment import (
    ASSIGNEES,
    FRESHNESS_MS,
    MAX_FRESHNESS_MS,
    OBSERVATIONS_KIND,
    AssignmentResult,
    HealthCheckAssignment,
    decode_observations,
)
from martentide.interface import Ending, PeerNews, Probe, ProbeEnded, Stands, TestDuty
from tests.support import SETTINGS, Bench, sends

LIVING = {f"n{at}": f"z{at % 3}" for at in range(12)}
WORLD = dict[str, HealthCheckAssignment]


def looks(world: WORLD, now: float, doubted: dict[str, list[str]], facets: dict[str, tuple[float, bytes]],
          living: dict[str, str] | None = None) -> dict[str, AssignmentResult]:  # fmt: skip
    """One look of each, with the facets of all others that it can hear."""
    living = living or LIVING
    found = {}
    for name, duty in world.items():
        others = [(now - at, decode_observations(body)) for owner, (at, body) in facets.items()
                  if owner != name and owner in living]  # fmt: skip
        doubts = [doubted.get(one, []) for one in living if one != name]
        found[name] = duty.evaluate(now, doubted.get(name, []), living, doubts, others)
    for name, outlook in found.items():
        for kind, _, body in outlook.entries:
            if kind == OBSERVATIONS_KIND:
                facets[name] = (now, body)
    return found


def world_of(living: dict[str, str]) -> WORLD:
    return {name: HealthCheckAssignment(name, zone) for name, zone in living.items()}


def test_two_hold_the_duty_in_different_zones_the_same_for_all_and_evenly() -> None:
    duty = HealthCheckAssignment("n0", "z0")
    holders: dict[str, int] = {}
    for at in range(600):
        order = duty.rank_members(f"s-{at}", LIVING)
        assert sorted(order) == sorted(LIVING) and LIVING[order[0]] != LIVING[order[1]]
        shuffled = dict(sorted(LIVING.items(), key=lambda _: random.Random(at).random()))
        assert HealthCheckAssignment("n5", "z2").rank_members(f"s-{at}", shuffled) == order
        for name in order[:ASSIGNEES]:
            holders[name] = holders.get(name, 0) + 1
        without = {name: zone for name, zone in LIVING.items() if name != order[5]}
        assert duty.rank_members(f"s-{at}", without)[0] == order[0]  # who dies takes no other's duty along
    assert len(holders) == 12 and max(holders.values()) < 2.0 * min(holders.values())


@pytest.mark.parametrize("gone", [0, 1, 2, 6])
def test_tests_are_few_while_holders_speak_and_never_cease_when_they_fall_silent(gone: int) -> None:
    """``gone`` of the first in the order are dead from 10 s on, and nobody knows it yet."""
    world = world_of(LIVING)
    order = HealthCheckAssignment("x", "").rank_members("s0", LIVING)
    facets: dict[str, tuple[float, bytes]] = {}
    tests: list[tuple[float, str]] = []
    for now in range(0, 30_000, 250):
        up = {name: duty for name, duty in world.items() if now < 10_000 or name not in order[:gone]}
        found = looks(up, float(now), {"n3": ["s0"], "n4": ["s0"]}, facets)
        for name, outlook in found.items():
            held = name in ("n3", "n4") and "s0" not in up[name].last_assignment.no_tests and now % 1_000 == 0
            if "s0" in outlook.health_checks or held:
                tests.append((float(now), name))
                up[name].observe(now, ProbeEnded("s0", Ending.UNREACHABLE, False, 5.0, None))
    calm = [name for now, name in tests if 5_000 <= now < 10_000]
    assert len(calm) <= 5 * ASSIGNEES + 2
    times = [now for now, _ in tests if now >= 9_000]
    longest = max(later - earlier for earlier, later in itertools.pairwise(times))
    assert longest <= MAX_FRESHNESS_MS + 500.0
    after = [name for now, name in tests if now >= 20_000]
    assert len(after) <= 10 * (ASSIGNEES + 4)


def test_alone_it_tests_as_without_a_fleet() -> None:
    duty = HealthCheckAssignment("n0", "z0")
    for now in range(0, 5_000, 250):
        outlook = duty.evaluate(float(now), ["s0"], {"n0": "z0"}, [], [])
        assert not outlook.health_checks and not outlook.events  # its own decisions test what they doubt


def test_good_word_reaches_the_decisions_and_bad_word_relieves_them() -> None:
    world = world_of(LIVING)
    order = HealthCheckAssignment("x", "").rank_members("s0", LIVING)
    holder, other = world[order[0]], world[order[9]]
    facets: dict[str, tuple[float, bytes]] = {}
    doubted = {name: ["s0"] for name in LIVING}
    looks(world, 0.0, doubted, facets)
    holder.observe(100.0, ProbeEnded("s0", Ending.UNREACHABLE, False, 5.0, None))
    looks(world, 500.0, doubted, facets)
    found = looks(world, 750.0, doubted, facets)
    assert TestDuty(frozenset({"s0"}), frozenset()) in found[other.name].events
    holder.observe(900.0, Stands(1, 0, "s0", 80.0))
    looks(world, 1_250.0, doubted, facets)
    found = looks(world, 1_500.0, doubted, facets)
    [news] = [event for event in found[other.name].events if isinstance(event, PeerNews)]
    assert news == PeerNews("s0", 600.0, 0.0)
    found = looks(world, 900.0 + FRESHNESS_MS + 3_000.0, doubted, facets)
    assert other.last_assignment == TestDuty(frozenset(), frozenset())  # the word is old


def test_the_decisions_leave_tests_and_trials_to_others_and_take_up_good_word() -> None:
    bench = Bench(settings=replace(SETTINGS, may_probe=True), servers=2)
    [send] = sends(bench.offer(first=0))
    bench.end(send.ref, "s0", Ending.TIMED_OUT)
    server = bench.controller.servers["s0"]
    assert server.suspect
    bench.feed(TestDuty(frozenset({"s0"}), frozenset({"s0"})))
    assert not [one for one in bench.advance(10_000.0) if isinstance(one, Probe)]
    bench.feed(PeerNews("s0", 100.0, 0.0))
    assert server.heard_at == bench.now - 100.0 > server.failed_at
    assert [one.server for one in sends(bench.offer(first=0))] == ["s1"]  # still left to others
    bench.feed(TestDuty(frozenset(), frozenset()))
    assert [one.server for one in sends(bench.offer(first=0))] == ["s0"]
    bench.feed(PeerNews("unheard-of", 0.0, None))
