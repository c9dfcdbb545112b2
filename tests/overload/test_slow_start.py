"""Slow start: the total load that many uncoordinated proxies send to a cold server."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from martentide.overload import slow_start
from martentide_lab.checker import cold_start_load_beyond_chance
from martentide_lab.servers import OVERLOAD_TIME_MS, ReceivedSetUp, ServerBehavior, SessionServer
from tests.support import SETTINGS

AGES = st.floats(0.0, 3.0 * SETTINGS.cold_time)
TRUSTS = st.floats(1.0, slow_start.MAX_TRUST)


@given(AGES, TRUSTS)
def test_grants_in_a_window_and_the_lifetime_before_it_stay_within_the_limit(
    age: float, trust: float
) -> None:
    """With any trust if the server warms up linearly; without trust if it stays at its initial share."""
    share = slow_start.allowed_share(age, trust, True, SETTINGS)
    cold, multiple = SETTINGS.cold_share, SETTINGS.fall_multiple
    linear = cold + (1.0 - cold) * min(1.0, age / SETTINGS.cold_time)
    assert 0.0 < share * (1.0 + slow_start.REDRAW_GRANT_LIFETIME) <= multiple * linear
    assert (
        slow_start.allowed_share(age, 1.0, True, SETTINGS)
        <= slow_start.MAX_UTILISATION * multiple * cold + 1e-9
    )


@given(st.floats(0.0, 1.0), st.floats(0.01, 20.0), st.lists(st.floats(0.0, 5000.0), max_size=20))
def test_expired_grant_keeps_the_phase_between_two_grants(
    begin: float, rate: float, steps: list[float]
) -> None:
    tokens, granted = begin, begin
    for step in steps:
        tokens = slow_start.refill(tokens, rate, step, SETTINGS)
        granted += rate * step / 1000.0
        assert abs((granted - tokens) - round(granted - tokens)) < 1e-6
        assert tokens < 1.0 + rate * slow_start.GRANT_LIFETIME * SETTINGS.fall_time / 1000.0 + 1e-6
        assert slow_start.fresh_tokens(tokens, rate, SETTINGS) <= tokens


def refill_without_expiry(tokens: float, rate: float, elapsed: float) -> float:
    """Faulty version of ``slow_start.refill``: an ordinary token bucket, whose tokens never expire."""
    return min(1.5, tokens + rate * elapsed / 1000.0)


@pytest.mark.parametrize("proxies", [20, 30, 200])
@pytest.mark.parametrize("allowed", [3.0, 10.0, 30.0])
def test_idle_fleet_saturated_at_once_stays_near_the_limit(proxies: int, allowed: float) -> None:
    """After a minute without calls, every proxy is saturated at once: the worst case of a storm."""
    rng = random.Random(proxies + int(allowed))
    window = SETTINGS.fall_time
    rate = allowed / 2.0 / (window / 1000.0) / proxies
    sent = 0
    for _ in range(proxies):
        tokens = slow_start.refill(rng.random(), rate, 60_000.0, SETTINGS)
        for _ in range(int(window // 50.0)):
            tokens = slow_start.refill(tokens, rate, 50.0, SETTINGS)
            if slow_start.fresh_tokens(tokens, rate, SETTINGS) >= 1.0:
                sent, tokens = sent + 1, tokens - 1.0
    assert sent <= allowed + 2.0 * math.sqrt(allowed) + 2.0


def test_grants_without_expiry_would_cause_a_burst() -> None:
    """The same with the usual bucket after an idle minute: 200 tokens at once, where 10 are allowed."""
    rate, idle = 10.0 / 2.0 / 2.0 / 200.0, 600_000.0
    tokens_without_expiry = [refill_without_expiry(at / 200.0, rate, idle) for at in range(200)]
    tokens_with_expiry = [slow_start.refill(at / 200.0, rate, idle, SETTINGS) for at in range(200)]
    assert sum(one >= 1.0 for one in tokens_without_expiry) == 200
    assert sum(slow_start.fresh_tokens(one, rate, SETTINGS) >= 1.0 for one in tokens_with_expiry) <= 10


@pytest.mark.parametrize(("count", "over"), [(40, False), (80, True)])
def test_cold_start_checker_detects_a_violation(count: int, over: bool) -> None:
    server = SessionServer(0, ServerBehavior(rate=16.0, cold_start_at=0.0))
    server.received_set_ups = [
        ReceivedSetUp(bytes(8), b"", at * OVERLOAD_TIME_MS / count) for at in range(count)
    ]
    assert (cold_start_load_beyond_chance(server) > 1.0) is over


@given(AGES, TRUSTS)
def test_server_with_an_assumed_start_is_limited_by_trust_alone(age: float, trust: float) -> None:
    """A server that was unreachable and is warm must not be limited for the whole warm-up time."""
    known, assumed = (
        slow_start.allowed_share(age, trust, start_known, SETTINGS) for start_known in (True, False)
    )
    assert assumed >= known - 1e-9
    assert slow_start.allowed_share(0.0, slow_start.MAX_TRUST, False, SETTINGS) > 1.0
