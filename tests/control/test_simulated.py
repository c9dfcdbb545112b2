"""The control tier in simulated time: no invariant breaks in a day of faults, and the checker finds each
injected fault."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from benchmarks.scale.tier import simulate_day
from martentide.control.client import ControlClient
from martentide.control.messages import StateEntry
from martentide.control.node import ControlNode
from martentide.control.terms import ControlTerms
from martentide_lab.control.invariants import TierBounds, TierChecker
from martentide_lab.control.layout import Layout
from martentide_lab.control.simulated import SimulatedTier
from martentide_lab.fleet.faults import Link

SMALL = Layout(proxies=60, nodes=4, regions=2, zones=4, services=6, called_services=3)


def test_a_day_of_faults_breaks_no_invariant() -> None:
    result = simulate_day(SMALL, 3)
    assert result["rules_broken"] == 0, result["broken"]
    assert result["missing_share"] == 0.0


def test_five_percent_loss_breaks_no_invariant() -> None:
    result = simulate_day(SMALL, 4, loss=0.05)
    assert result["rules_broken"] == 0, result["broken"]


def violated_invariants(terms: ControlTerms | None = None, seconds: int = 30, **limits: float) -> set[str]:
    """Return the invariants violated in a run without network faults in which one proxy is killed halfway."""
    tier = SimulatedTier(SMALL, 5, terms, Link(delay=2.0, jitter=2.0))
    checker = TierChecker(tier, TierBounds(**limits))  # type: ignore[arg-type]
    tier.start()
    proxies = list(tier.proxies.values())
    for second in range(seconds):
        tier.run(second * 1_000.0)
        if second == seconds // 2:
            tier.kill_proxy(proxies[7])
        checker.check(proxies)
    return {one.invariant for one in checker.finish()}


def test_a_run_without_faults_breaks_no_invariant() -> None:
    assert violated_invariants() == set()


def drop_a_member(patch: pytest.MonkeyPatch) -> None:
    """Fault: a client omits one member from the updates that it receives."""
    original_update = ControlClient._update

    def update_without_member(self: ControlClient, update: object, now: float) -> None:
        original_update(self, update, now)  # type: ignore[arg-type]
        for held in self.entries.values():
            entry = held.entry
            kept = [one for one in entry.members if one.name != "p9"]
            held.entry = StateEntry(
                entry.service, entry.region, entry.zone, entry.up, entry.capacity, entry.pressure, kept
            )

    patch.setattr(ControlClient, "_update", update_without_member)


def disable_expiry(patch: pytest.MonkeyPatch) -> None:
    """Fault: a node never expires a lease."""
    patch.setattr(ControlNode, "_expire", lambda self, now: None)


def disable_ageing(patch: pytest.MonkeyPatch) -> None:
    """Fault: a client takes its state for fresh, however old it is."""
    patch.setattr(ControlClient, "age", lambda self, key, now: 0.0)


@pytest.mark.parametrize(("inject", "rule"), [(drop_a_member, "held-dead"), (disable_expiry, "held-alive")])
def test_an_injected_fault_is_found(
    monkeypatch: pytest.MonkeyPatch, inject: Callable[[pytest.MonkeyPatch], None], rule: str
) -> None:
    inject(monkeypatch)
    assert rule in violated_invariants()


def test_use_of_expired_state_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    disable_ageing(monkeypatch)
    tier = SimulatedTier(SMALL, 5)
    checker = TierChecker(tier)
    tier.start()
    tier.run(10_000.0)
    for info in tier.node_infos:
        tier.kill_node(info.name)
    tier.run(30_000.0)
    checker.check(list(tier.proxies.values()))
    assert {one.invariant for one in checker.violations} == {"past-end"}


def test_more_update_bytes_than_allowed_are_found() -> None:
    terms = ControlTerms(update_bytes_per_s=80_000.0, update_burst=80_000.0, pressure_step=1, heartbeat=20.0)
    assert "bytes" in violated_invariants(terms, seconds=8)


def test_a_node_with_too_many_leases_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ControlNode, "_exceeds_limit", lambda self, more, now: False)
    monkeypatch.setattr(ControlNode, "_shed", lambda self, now: None)
    monkeypatch.setattr("martentide.control.placement.draw", lambda proxy, node: 0.9 if node == "n0" else 0.1)
    assert "load" in violated_invariants(ControlTerms(min_bound=2))


def test_a_proxy_that_stays_in_another_region_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ControlClient, "_schedule_home_return", lambda self, update, now: None)
    tier = SimulatedTier(SMALL, 5)
    checker = TierChecker(tier)
    home = [info.name for info in tier.node_infos if info.region == "r0"]
    for info in tier.node_infos:
        if info.name not in home:
            tier.start_node(info.name)
    for proxy in tier.proxies.values():
        tier.start_proxy(proxy)
    tier.run(15_000.0)
    for name in home:
        tier.start_node(name)
    checker.record_fault()
    tier.run(40_000.0)
    checker.check(list(tier.proxies.values()))
    assert "away" in {one.invariant for one in checker.violations}
