"""The control tier at a size, through an ordinary day's events in two minutes of simulated time."""

from __future__ import annotations

import gc
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.scale.results import Row
from martentide.control.terms import ControlTerms
from martentide_lab.control.invariants import TierChecker
from martentide_lab.control.layout import Layout
from martentide_lab.control.simulated import SimulatedProxy, SimulatedTier
from martentide_lab.fleet.faults import Link

BASE = Link(delay=5.0, jitter=5.0)
LOOK_EVERY = 1_000.0  # ms between two looks of the checker and the samples
DETECT_EVERY = 200.0  # ms between two looks whether a death is known
SAMPLE = 150  # proxies that are looked at
KILLED, RESTARTED = 8 / 4_700, 340 / 4_700  # of the proxies, on an ordinary day


@dataclass
class Day:
    """One play: the tier, its checker, and what was seen of it. Times in ms."""

    tier: SimulatedTier
    seed: int
    rng: random.Random = field(init=False)
    checker: TierChecker = field(init=False)
    ages: list[float] = field(default_factory=list)
    missing: int = 0
    wanted: int = 0
    detected: list[float] = field(default_factory=list)
    watched: dict[str, float] = field(default_factory=dict)  # killed, and when
    join_all: float = -1.0
    heal: dict[str, float] = field(default_factory=dict)
    calm: bool = False

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.checker = TierChecker(self.tier)
        self.sample = self.rng.sample(list(self.tier.proxies.values()), min(SAMPLE, len(self.tier.proxies)))

    def run(self, seconds: float) -> None:
        until = self.tier.now + seconds * 1_000.0
        while self.tier.now < until:
            look = min(until, self.tier.now + LOOK_EVERY)
            while self.tier.now < look:
                self.tier.run(min(look, self.tier.now + DETECT_EVERY))
                self._detect()
            self.checker.check(self.sample)
            if self.calm:
                self._sample()

    def until_whole(self, name: str, limit: float) -> None:
        """Go on until every living proxy has its lease; the time of it, or the limit's breach."""
        begun = self.tier.now
        while not self.checker.all_attached() and self.tier.now - begun < limit * 1_000.0:
            self.tier.run(self.tier.now + 200.0)
        self.heal[name] = (self.tier.now - begun) / 1_000.0

    def kill(self, proxies: list[SimulatedProxy]) -> None:
        for proxy in proxies:
            self.tier.kill_proxy(proxy)
            self.watched[proxy.info.name] = self.tier.now

    def _detect(self) -> None:
        """When the last of a dead member's region forgets it, among the sampled subscribers."""
        for name, since in list(self.watched.items()):
            dead = self.tier.proxies[name]
            holding = False
            for proxy in self.sample:
                core = proxy.client
                if core is None or dead.info.service not in core.info.services:
                    continue
                held = core.state(dead.info.service, self.tier.now)
                holding |= any(one.name == name for entry in held for one in entry.members)
            if not holding or dead.client is not None:
                del self.watched[name]
                self.detected.append(self.tier.now - since)

    def _sample(self) -> None:
        """Ages of what the sampled proxies hold, and living members that they lack in their region."""
        for proxy in self.sample:
            core = proxy.client
            if core is None or not core.attached:
                continue
            for key in core.entries:
                self.ages.append(core.age(key, self.tier.now))
            for service in core.info.services:
                state = core.state(service, self.tier.now)
                held = {one.name for entry in state for one in entry.members}
                for other in self.tier.by_service.get(service, ()):
                    if other.info.region == proxy.info.region and other.client is not None:
                        self.wanted += 1
                        self.missing += other.info.name not in held


def percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else -1.0


def play_day(layout: Layout, seed: int, loss: float = 0.0, faults: bool = True) -> dict[str, object]:
    """Cold start, calm, kills and restarts, a zone lost, a region alone, nodes lost and back."""
    gc.disable()  # one large heap of tables that live to the end: walking it would be most of the time
    begun = time.process_time()
    link = Link(delay=BASE.delay, jitter=BASE.jitter, loss=loss)
    tier = SimulatedTier(layout, seed, ControlTerms(), link)
    day = Day(tier, seed)
    tier.start()
    day.until_whole("join", 60.0)
    join_all = day.heal.pop("join")
    day.run(8.0)
    proxies = list(tier.proxies.values())
    in_before = sum(one.bytes_in + one.bytes_out for one in proxies)
    each_before = [one.bytes_in + one.bytes_out for one in proxies]
    day.calm, calm_from = True, tier.now
    day.run(15.0)
    day.calm = False
    seconds = (tier.now - calm_from) / 1_000.0
    rates = [
        (one.bytes_in + one.bytes_out - was) / seconds for one, was in zip(proxies, each_before, strict=True)
    ]
    mean = (sum(one.bytes_in + one.bytes_out for one in proxies) - in_before) / seconds / len(proxies)
    if faults:
        _faults(day, layout)
    broken = day.checker.finish()
    gc.enable()
    return {
        "proxies": layout.proxies,
        "control_nodes": layout.nodes,
        "loss": loss,
        "bytes_per_s_proxy": round(mean, 1),
        "bytes_per_s_proxy_p99": round(percentile(rates, 0.99), 1),
        "most_bytes_in_a_second": max(one.max_bytes_per_second for one in proxies),
        "state_age_p50_s": round(percentile(day.ages, 0.5) / 1_000.0, 3),
        "state_age_p99_s": round(percentile(day.ages, 0.99) / 1_000.0, 3),
        "missing_share": round(day.missing / max(1, day.wanted), 5),
        "detect_p99_s": round(percentile(day.detected, 0.99) / 1_000.0, 2) if day.detected else None,
        "join_all_s": round(join_all, 1),
        "heal_s": {name: round(value, 1) for name, value in day.heal.items()},
        "most_leases_of_a_node": max((len(one.leases) for one in tier.nodes.values()), default=0),
        "rules_broken": len(broken),
        "broken": [str(one) for one in broken[:5]],
        "simulated_s": round(tier.now / 1_000.0, 1),
        "processor_s": round(time.process_time() - begun, 1),
    }


def flat(result: dict[str, object]) -> Row:
    """The result as one row of a table."""
    row: dict[str, float | int | str | None] = {}
    for name, value in result.items():
        if isinstance(value, dict):
            row.update({f"{name} {what}": one for what, one in value.items()})
        elif isinstance(value, float | int | str) or value is None:
            row[name] = value
    return row


def _faults(day: Day, layout: Layout) -> None:
    tier, rng = day.tier, day.rng
    proxies = list(tier.proxies.values())
    day.kill(rng.sample(proxies, max(1, round(KILLED * len(proxies)))))
    restarted = rng.sample([one for one in proxies if one.client], max(1, round(RESTARTED * len(proxies))))
    for proxy in restarted:
        tier.end_proxy(proxy)
        tier.start_proxy(proxy)
    day.until_whole("restarts in one wave", 30.0)
    day.run(6.0)
    zone = [one for one in proxies if one.info.zone == "z1" and one.client is not None]
    day.kill(zone)
    day.run(12.0)
    for proxy in zone:
        tier.start_proxy(proxy)
    day.until_whole("zone back", 60.0)
    day.run(2.0)
    _fault(
        day,
        "region back",
        lambda: tier.cut_network(*tier.split_by_region("r2")),
        14.0,
        tier.fleet.network.heal,
    )
    first = [one.name for one in tier.infos]
    _fault(day, "node killed", lambda: tier.kill_node(first[0]), 0.0, lambda: None)
    tier.start_node(first[0])
    day.run(6.0)
    _fault(
        day, "node stopped 5 s", lambda: tier.stop_node(first[1]), 5.0, lambda: tier.continue_node(first[1])
    )
    _fault(day, "half of the nodes killed", lambda: _each(tier.kill_node, first[::2]), 0.0, lambda: None)
    _each(tier.start_node, first[::2])
    day.run(6.0)
    back = "all nodes back"
    _fault(day, back, lambda: _each(tier.kill_node, first), 10.0, lambda: _each(tier.start_node, first))
    day.run(14.0)


def _each(act: Callable[[str], None], names: list[str]) -> None:
    for name in names:
        act(name)


def _fault(day: Day, name: str, begin: Callable[[], None], seconds: float, end: Callable[[], None]) -> None:
    day.checker.record_fault()
    begin()
    day.run(seconds)
    end()
    day.checker.record_fault()
    day.run(3.0)
    day.until_whole(name, 60.0)
    day.heal[name] += 3.0
    day.checker.record_fault()
