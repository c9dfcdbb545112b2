"""The plan against brute force, its ties, floors that nothing keeps, and what it says of itself."""

from __future__ import annotations

import dataclasses
import functools
import random
import time

import pytest

from martentide.failover.plan import (
    Demand,
    Infeasible,
    Plan,
    Question,
    Terms,
    Zone,
    routes_of,
    slices_of,
    solve,
    why,
)

HALVES = Terms(near_load=0.5, most_load=1.0, kept=0.25)  # so that small capacities are cut into whole parts


def small(seed: int) -> Question:
    """Few zones, classes and calls, whole numbers only."""
    dice = random.Random(seed)
    names = ["a", "b", "c"][: dice.randint(1, 3)]
    zones = tuple(Zone(name, float(dice.choice((0, 4, 8)))) for name in names)
    worths = {"low": float(dice.randint(1, 2)), "high": float(dice.randint(2, 5))}
    demands = tuple(
        Demand(name, kind, float(dice.randint(1, 4)))
        for name in names
        for kind in worths
        if dice.random() < 0.8
    )
    cost = {
        (a, b): float(dice.randint(1, 60)) for a in names for b in names if a != b and dice.random() < 0.9
    }
    barred = frozenset((kind, name) for kind in worths for name in names if dice.random() < 0.1)
    return Question(zones, demands, worths, cost, barred, terms=HALVES)


def by_brute_force(question: Question) -> float:
    """The best that any way of sending whole calls brings: each call to any slice that may take it, or
    none."""
    slices = slices_of(question)
    routes = routes_of(question, slices)
    ways = [
        [(one.slice, one.weight) for one in routes if one.demand == at] for at in range(len(question.demands))
    ]
    calls = [at for at, demand in enumerate(question.demands) for _ in range(int(demand.rate))]

    @functools.lru_cache(None)
    def best(place: int, room: tuple[int, ...]) -> float:
        if place == len(calls):
            return 0.0
        most = best(place + 1, room)
        for number, weight in ways[calls[place]]:
            if room[number]:
                left = (*room[:number], room[number] - 1, *room[number + 1 :])
                most = max(most, weight + best(place + 1, left))
        return most

    return best(0, tuple(int(one.size) for one in slices))


@pytest.mark.parametrize("block", range(10))
def test_the_plan_is_as_good_as_brute_force(block: int) -> None:
    for seed in range(block * 100, block * 100 + 100):
        question = small(seed)
        assert solve(question).objective == pytest.approx(by_brute_force(question), rel=1e-9, abs=1e-3), seed


THREE = Question(
    (Zone("plovdiv", 100.0), Zone("sofia", 100.0), Zone("varna", 100.0)),
    tuple(Demand(zone, kind, rate) for zone in ("plovdiv", "sofia", "varna")
          for kind, rate in (("sign", 10.0), ("status", 50.0))),
    {"sign": 6.0, "status": 1.0},
    {(a, b): 10.0 for a in ("plovdiv", "sofia", "varna") for b in ("plovdiv", "sofia", "varna") if a != b},
)  # fmt: skip


def with_capacity(**more: float) -> Question:
    zones = tuple(dataclasses.replace(one, capacity=more.get(one.name, one.capacity)) for one in THREE.zones)
    return dataclasses.replace(THREE, zones=zones)


def test_calls_stay_near_while_that_is_safe() -> None:
    plan = solve(THREE)
    assert all(plan.shares[(one.zone, one.call_class)] == ((one.zone, 1.0),) for one in THREE.demands)
    assert plan.served == pytest.approx(1.0)


def test_a_lost_zone_spills_the_worthiest_first_and_no_zone_is_overfilled() -> None:
    lost = with_capacity(varna=0.0)
    plan = solve(lost)
    assert all(plan.used[zone] <= 95.0 + 1e-6 for zone in plan.used)
    assert sum(share for _, share in plan.shares[("varna", "sign")]) == pytest.approx(1.0)
    poor = solve(with_capacity(varna=0.0, sofia=40.0, plovdiv=40.0))
    served = {kind: sum(share for (_, k), parts in poor.shares.items() if k == kind for _, share in parts) / 3
              for kind in ("sign", "status")}  # fmt: skip
    assert served["sign"] == pytest.approx(1.0) and served["status"] < 0.5


def test_ties_are_broken_the_same_way_whatever_the_order_of_the_zones() -> None:
    lost = with_capacity(varna=0.0)
    mixed = dataclasses.replace(lost, zones=tuple(reversed(lost.zones)))
    assert solve(lost).shares == solve(mixed).shares == solve(lost).shares


def test_a_small_change_moves_few_calls() -> None:
    before = solve(with_capacity(varna=0.0))
    after = solve(with_capacity(varna=0.0, sofia=99.0), before)
    moved = sum(
        abs(
            after.share(one.zone, one.call_class, zone.name)
            - before.share(one.zone, one.call_class, zone.name)
        )
        * one.rate
        for one in THREE.demands
        for zone in THREE.zones
    )
    assert moved <= 4.0  # set-ups a second, of 180


def test_floors_that_nothing_keeps_are_said_to_be_that() -> None:
    poor = with_capacity(varna=0.0, sofia=40.0, plovdiv=40.0)
    with pytest.raises(Infeasible, match="no plan keeps the floors status 90%: 80 set-ups/s"):
        solve(dataclasses.replace(poor, floors={"status": 0.9}))
    kept = solve(dataclasses.replace(poor, floors={"status": 0.3}))
    assert (
        sum(s for (_, k), parts in kept.shares.items() if k == "status" for _, s in parts) / 3 >= 0.3 - 1e-6
    )
    nothing = with_capacity(varna=0.0, sofia=0.0, plovdiv=0.0)
    assert solve(nothing).served == 0.0
    with pytest.raises(Infeasible):
        solve(dataclasses.replace(nothing, floors={"sign": 0.1}))


def test_it_explains_a_share_in_words() -> None:
    lost = with_capacity(varna=0.0)
    plan = solve(lost)
    lines = why(lost, plan, "varna", "status")
    assert any("away from varna, which can do nothing now, at a cost of 10 ms" in line for line in lines)
    poor = with_capacity(varna=0.0, sofia=40.0, plovdiv=40.0)
    assert "refused: no zone that may take it has room" in why(poor, solve(poor), "varna", "status")[-1]
    assert why(THREE, solve(THREE), "sofia", "sign") == [
        "sign at sofia: 100% to sofia: near, where servers are planned to 60%"
    ]


def test_a_class_that_only_the_lost_zone_may_take_is_refused() -> None:
    barred = frozenset((("sign", "sofia"), ("sign", "plovdiv")))
    plan = solve(dataclasses.replace(with_capacity(varna=0.0), barred=barred))
    assert not any(kind == "sign" for _, kind in plan.shares)


def large() -> Question:
    names = [f"z{at:02}" for at in range(12)]
    dice = random.Random(1)
    worths = {f"c{at}": float(at + 1) for at in range(5)}
    demands = tuple(Demand(zone, kind, dice.uniform(10, 40)) for zone in names for kind in worths)
    zones = tuple(Zone(name, 0.0 if name == "z03" else dice.uniform(100, 200)) for name in names)
    cost = {(a, b): dice.uniform(1, 50) for a in names for b in names if a != b}
    return Question(zones, demands, worths, cost)


def test_twelve_zones_and_five_classes_are_planned() -> None:
    question = large()
    begin = time.perf_counter()
    plan: Plan = solve(question)
    assert 0.5 < plan.served <= 1.0 and time.perf_counter() - begin < 10.0  # its speed is measured elsewhere
    assert solve(question, plan).shares.keys() == plan.shares.keys()
