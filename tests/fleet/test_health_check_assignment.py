"""Health-check assignment: which members check a server, which don't, and that one always does."""

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
from tests.support import SETTINGS, ControllerDriver, sends

LIVE_MEMBERS = {f"n{at}": f"z{at % 3}" for at in range(12)}
Fleet = dict[str, HealthCheckAssignment]


def evaluate_all(
    fleet: Fleet,
    now: float,
    suspected: dict[str, list[str]],
    entries: dict[str, tuple[float, bytes]],
    live_members: dict[str, str] | None = None,
) -> dict[str, AssignmentResult]:
    """Evaluate once for each member, with the state entries of all other live members."""
    live_members = live_members or LIVE_MEMBERS
    results = {}
    for name, assignment in fleet.items():
        peer_observations = [
            (now - at, decode_observations(body))
            for owner, (at, body) in entries.items()
            if owner != name and owner in live_members
        ]
        peer_suspects = [suspected.get(one, []) for one in live_members if one != name]
        results[name] = assignment.evaluate(
            now, suspected.get(name, []), live_members, peer_suspects, peer_observations
        )
    for name, result in results.items():
        for kind, _, body in result.entries:
            if kind == OBSERVATIONS_KIND:
                entries[name] = (now, body)
    return results


def fleet_of(live_members: dict[str, str]) -> Fleet:
    """Return the assignment of each member."""
    return {name: HealthCheckAssignment(name, zone) for name, zone in live_members.items()}


def test_two_assignees_in_different_zones_agreed_by_all_and_evenly_spread() -> None:
    assignment = HealthCheckAssignment("n0", "z0")
    assignments: dict[str, int] = {}
    for at in range(600):
        ranked = assignment.rank_members(f"s-{at}", LIVE_MEMBERS)
        assert sorted(ranked) == sorted(LIVE_MEMBERS) and LIVE_MEMBERS[ranked[0]] != LIVE_MEMBERS[ranked[1]]
        shuffled = dict(sorted(LIVE_MEMBERS.items(), key=lambda _: random.Random(at).random()))
        assert HealthCheckAssignment("n5", "z2").rank_members(f"s-{at}", shuffled) == ranked
        for name in ranked[:ASSIGNEES]:
            assignments[name] = assignments.get(name, 0) + 1
        without = {name: zone for name, zone in LIVE_MEMBERS.items() if name != ranked[5]}
        # A death changes no other member's assignment.
        assert assignment.rank_members(f"s-{at}", without)[0] == ranked[0]
    assert len(assignments) == 12 and max(assignments.values()) < 2.0 * min(assignments.values())


@pytest.mark.parametrize("dead", [0, 1, 2, 6])
def test_few_checks_while_assignees_publish_and_no_gap_when_they_fail(dead: int) -> None:
    """The ``dead`` members of highest rank are dead from 10 s on, and no member has detected it yet."""
    fleet = fleet_of(LIVE_MEMBERS)
    ranked = HealthCheckAssignment("x", "").rank_members("s0", LIVE_MEMBERS)
    entries: dict[str, tuple[float, bytes]] = {}
    checks: list[tuple[float, str]] = []
    for now in range(0, 30_000, 250):
        running = {
            name: assignment
            for name, assignment in fleet.items()
            if now < 10_000 or name not in ranked[:dead]
        }
        results = evaluate_all(running, float(now), {"n3": ["s0"], "n4": ["s0"]}, entries)
        for name, result in results.items():
            own_check = (
                name in ("n3", "n4")
                and "s0" not in running[name].last_assignment.no_tests
                and now % 1_000 == 0
            )
            if "s0" in result.health_checks or own_check:
                checks.append((float(now), name))
                running[name].observe(now, ProbeEnded("s0", Ending.UNREACHABLE, False, 5.0, None))
    early_checks = [name for now, name in checks if 5_000 <= now < 10_000]
    assert len(early_checks) <= 5 * ASSIGNEES + 2
    times = [now for now, _ in checks if now >= 9_000]
    longest = max(later - earlier for earlier, later in itertools.pairwise(times))
    assert longest <= MAX_FRESHNESS_MS + 500.0
    after = [name for now, name in checks if now >= 20_000]
    assert len(after) <= 10 * (ASSIGNEES + 4)


def test_a_member_without_peers_checks_as_without_a_fleet() -> None:
    assignment = HealthCheckAssignment("n0", "z0")
    for now in range(0, 5_000, 250):
        result = assignment.evaluate(float(now), ["s0"], {"n0": "z0"}, [], [])
        assert not result.health_checks and not result.events  # its dispatcher checks what it suspects


def test_successes_of_peers_are_passed_on_and_failures_suppress_own_checks() -> None:
    fleet = fleet_of(LIVE_MEMBERS)
    ranked = HealthCheckAssignment("x", "").rank_members("s0", LIVE_MEMBERS)
    assignee, other = fleet[ranked[0]], fleet[ranked[9]]
    entries: dict[str, tuple[float, bytes]] = {}
    suspected = {name: ["s0"] for name in LIVE_MEMBERS}
    evaluate_all(fleet, 0.0, suspected, entries)
    assignee.observe(100.0, ProbeEnded("s0", Ending.UNREACHABLE, False, 5.0, None))
    evaluate_all(fleet, 500.0, suspected, entries)
    results = evaluate_all(fleet, 750.0, suspected, entries)
    assert TestDuty(frozenset({"s0"}), frozenset()) in results[other.name].events
    assignee.observe(900.0, Stands(1, 0, "s0", 80.0))
    evaluate_all(fleet, 1_250.0, suspected, entries)
    results = evaluate_all(fleet, 1_500.0, suspected, entries)
    [news] = [event for event in results[other.name].events if isinstance(event, PeerNews)]
    assert news == PeerNews("s0", 600.0, 0.0)
    results = evaluate_all(fleet, 900.0 + FRESHNESS_MS + 3_000.0, suspected, entries)
    assert other.last_assignment == TestDuty(frozenset(), frozenset())  # the observation is stale


def test_decisions_leave_checks_and_probes_to_others_and_apply_peer_successes() -> None:
    driver = ControllerDriver(settings=replace(SETTINGS, may_probe=True), servers=2)
    [send] = sends(driver.offer(first=0))
    driver.end_attempt(send.ref, "s0", Ending.TIMED_OUT)
    server = driver.controller.servers["s0"]
    assert server.suspect
    driver.feed(TestDuty(frozenset({"s0"}), frozenset({"s0"})))
    assert not [one for one in driver.advance(10_000.0) if isinstance(one, Probe)]
    driver.feed(PeerNews("s0", 100.0, 0.0))
    assert server.heard_at == driver.now - 100.0 > server.failed_at
    assert [one.server for one in sends(driver.offer(first=0))] == ["s1"]  # s0 is still left to other members
    driver.feed(TestDuty(frozenset(), frozenset()))
    assert [one.server for one in sends(driver.offer(first=0))] == ["s0"]
    driver.feed(PeerNews("unheard-of", 0.0, None))
