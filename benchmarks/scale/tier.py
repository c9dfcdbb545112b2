"""Simulates the control tier through the events of an ordinary day, in two minutes of simulated time."""

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

BASE_LINK = Link(delay=5.0, jitter=5.0)
CHECK_INTERVAL_MS = 1_000.0  # between checks of the invariants and samples of state
DETECTION_INTERVAL_MS = 200.0  # between checks whether killed proxies are detected
SAMPLED_PROXIES = 150  # proxies whose state is checked
KILLED_SHARE, RESTARTED_SHARE = 8 / 4_700, 340 / 4_700  # of the proxies, on an ordinary day


@dataclass
class DayRun:
    """One run: the tier, its checker and the measurements. Times are in ms unless the name has a unit."""

    tier: SimulatedTier
    seed: int
    rng: random.Random = field(init=False)
    checker: TierChecker = field(init=False)
    entry_ages: list[float] = field(default_factory=list)
    missing: int = 0  # of the ``expected`` members in all samples
    expected: int = 0
    detection_times: list[float] = field(default_factory=list)
    undetected: dict[str, float] = field(default_factory=dict)  # time of the kill by name
    join_all: float = -1.0
    recovery_s: dict[str, float] = field(default_factory=dict)
    sampling: bool = False

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.checker = TierChecker(self.tier)
        self.sample = self.rng.sample(
            list(self.tier.proxies.values()), min(SAMPLED_PROXIES, len(self.tier.proxies))
        )

    def run(self, seconds: float) -> None:
        """Advance simulated time, with checks and samples at their intervals."""
        until = self.tier.now + seconds * 1_000.0
        while self.tier.now < until:
            next_check = min(until, self.tier.now + CHECK_INTERVAL_MS)
            while self.tier.now < next_check:
                self.tier.run(min(next_check, self.tier.now + DETECTION_INTERVAL_MS))
                self._check_detection()
            self.checker.check(self.sample)
            if self.sampling:
                self._sample_state()

    def run_until_attached(self, name: str, timeout_s: float) -> None:
        """Run until all running proxies hold a lease, at most ``timeout_s``; record the time as ``name``."""
        started = self.tier.now
        while not self.checker.all_attached() and self.tier.now - started < timeout_s * 1_000.0:
            self.tier.run(self.tier.now + 200.0)
        self.recovery_s[name] = (self.tier.now - started) / 1_000.0

    def kill(self, proxies: list[SimulatedProxy]) -> None:
        """Kill proxies and measure when others detect it."""
        for proxy in proxies:
            self.tier.kill_proxy(proxy)
            self.undetected[proxy.info.name] = self.tier.now

    def _check_detection(self) -> None:
        """Record when the last sampled subscriber has dropped a killed member.

        A killed member that was started again counts as detected at that time.
        """
        for name, killed_at in list(self.undetected.items()):
            killed = self.tier.proxies[name]
            still_held = False
            for proxy in self.sample:
                core = proxy.client
                if core is None or killed.info.service not in core.info.services:
                    continue
                held = core.state(killed.info.service, self.tier.now)
                still_held |= any(member.name == name for entry in held for member in entry.members)
            if not still_held or killed.client is not None:
                del self.undetected[name]
                self.detection_times.append(self.tier.now - killed_at)

    def _sample_state(self) -> None:
        """Record entry ages of the sampled proxies and count the members of their region they lack."""
        for proxy in self.sample:
            core = proxy.client
            if core is None or not core.attached:
                continue
            for key in core.entries:
                self.entry_ages.append(core.age(key, self.tier.now))
            for service in core.info.services:
                state = core.state(service, self.tier.now)
                held = {member.name for entry in state for member in entry.members}
                for other in self.tier.by_service.get(service, ()):
                    if other.info.region == proxy.info.region and other.client is not None:
                        self.expected += 1
                        self.missing += other.info.name not in held


def percentile(values: list[float], share: float) -> float:
    """Return the value at the given share (0 to 1) of the sorted values, -1 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else -1.0


def simulate_day(layout: Layout, seed: int, loss: float = 0.0, faults: bool = True) -> dict[str, object]:
    """Simulate a cold start and steady state and, with ``faults``, the faults of a day.

    The faults are kills and restarts of proxies, a zone lost, a region cut off, and nodes lost and restarted.
    ``loss`` is the share of datagrams lost on all links.
    """
    gc.disable()  # the heap is large and kept to the end: collections would take most of the time
    started = time.process_time()
    link = Link(delay=BASE_LINK.delay, jitter=BASE_LINK.jitter, loss=loss)
    tier = SimulatedTier(layout, seed, ControlTerms(), link)
    day = DayRun(tier, seed)
    tier.start()
    day.run_until_attached("join", 60.0)
    join_all = day.recovery_s.pop("join")
    day.run(8.0)
    proxies = list(tier.proxies.values())
    total_before = sum(proxy.bytes_in + proxy.bytes_out for proxy in proxies)
    bytes_before = [proxy.bytes_in + proxy.bytes_out for proxy in proxies]
    day.sampling, sampling_from = True, tier.now
    day.run(15.0)
    day.sampling = False
    seconds = (tier.now - sampling_from) / 1_000.0
    rates = [
        (proxy.bytes_in + proxy.bytes_out - before) / seconds
        for proxy, before in zip(proxies, bytes_before, strict=True)
    ]
    mean = (
        (sum(proxy.bytes_in + proxy.bytes_out for proxy in proxies) - total_before) / seconds / len(proxies)
    )
    if faults:
        _inject_faults(day, layout)
    violations = day.checker.finish()
    gc.enable()
    return {
        "proxies": layout.proxies,
        "control_nodes": layout.nodes,
        "loss": loss,
        "bytes_per_s_proxy": round(mean, 1),
        "bytes_per_s_proxy_p99": round(percentile(rates, 0.99), 1),
        "most_bytes_in_a_second": max(proxy.max_bytes_per_second for proxy in proxies),
        "state_age_p50_s": round(percentile(day.entry_ages, 0.5) / 1_000.0, 3),
        "state_age_p99_s": round(percentile(day.entry_ages, 0.99) / 1_000.0, 3),
        "missing_share": round(day.missing / max(1, day.expected), 5),
        "detect_p99_s": round(percentile(day.detection_times, 0.99) / 1_000.0, 2)
        if day.detection_times
        else None,
        "join_all_s": round(join_all, 1),
        "heal_s": {name: round(value, 1) for name, value in day.recovery_s.items()},
        "most_leases_of_a_node": max((len(node.leases) for node in tier.nodes.values()), default=0),
        "rules_broken": len(violations),
        "broken": [str(violation) for violation in violations[:5]],
        "simulated_s": round(tier.now / 1_000.0, 1),
        "processor_s": round(time.process_time() - started, 1),
    }


def flatten(result: dict[str, object]) -> Row:
    """Return the result as one table row; a nested mapping becomes one column per key."""
    row: dict[str, float | int | str | None] = {}
    for name, value in result.items():
        if isinstance(value, dict):
            row.update({f"{name} {key}": item for key, item in value.items()})
        elif isinstance(value, float | int | str) or value is None:
            row[name] = value
    return row


def _inject_faults(day: DayRun, layout: Layout) -> None:
    tier, rng = day.tier, day.rng
    proxies = list(tier.proxies.values())
    day.kill(rng.sample(proxies, max(1, round(KILLED_SHARE * len(proxies)))))
    restarted = rng.sample(
        [proxy for proxy in proxies if proxy.client], max(1, round(RESTARTED_SHARE * len(proxies)))
    )
    for proxy in restarted:
        tier.shut_down_proxy(proxy)
        tier.start_proxy(proxy)
    day.run_until_attached("restarts in one wave", 30.0)
    day.run(6.0)
    zone_proxies = [proxy for proxy in proxies if proxy.info.zone == "z1" and proxy.client is not None]
    day.kill(zone_proxies)
    day.run(12.0)
    for proxy in zone_proxies:
        tier.start_proxy(proxy)
    day.run_until_attached("zone back", 60.0)
    day.run(2.0)
    _inject_fault(
        day,
        "region back",
        lambda: tier.cut_network(*tier.split_by_region("r2")),
        14.0,
        tier.fleet.network.heal,
    )
    node_names = [info.name for info in tier.node_infos]
    _inject_fault(day, "node killed", lambda: tier.kill_node(node_names[0]), 0.0, lambda: None)
    tier.start_node(node_names[0])
    day.run(6.0)
    _inject_fault(
        day,
        "node stopped 5 s",
        lambda: tier.stop_node(node_names[1]),
        5.0,
        lambda: tier.continue_node(node_names[1]),
    )
    _inject_fault(
        day, "half of the nodes killed", lambda: _for_each(tier.kill_node, node_names[::2]), 0.0, lambda: None
    )
    _for_each(tier.start_node, node_names[::2])
    day.run(6.0)
    all_back = "all nodes back"
    _inject_fault(
        day,
        all_back,
        lambda: _for_each(tier.kill_node, node_names),
        10.0,
        lambda: _for_each(tier.start_node, node_names),
    )
    day.run(14.0)


def _for_each(action: Callable[[str], None], names: list[str]) -> None:
    for name in names:
        action(name)


def _inject_fault(
    day: DayRun, name: str, begin: Callable[[], None], seconds: float, end: Callable[[], None]
) -> None:
    """Run a fault and measure the recovery after it, counted from the call of ``end``."""
    day.checker.record_fault()
    begin()
    day.run(seconds)
    end()
    day.checker.record_fault()
    day.run(3.0)
    day.run_until_attached(name, 60.0)
    day.recovery_s[name] += 3.0
    day.checker.record_fault()
