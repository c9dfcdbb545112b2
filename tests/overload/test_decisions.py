"""Effects of admission and retry budget on the decisions, and unchanged decisions without them."""

from __future__ import annotations

from dataclasses import replace

import pytest

from martentide.interface import (
    Admission,
    Ending,
    Fail,
    Refuse,
    RepeatBudget,
    SendSetUp,
)
from martentide.overload.admission_threshold import unit_hash
from tests.support import SETTINGS, ControllerDriver, finals, sends

PARTIAL = Admission((("plain", 0.5), ("urgent", 1.0)), 0.6, 1.0, 3, 1_200.0, 2_000.0)


def driver_with(proxies: int = 6, servers: int = 4) -> ControllerDriver:
    """Return the driver of one Controller in a fleet of ``proxies``, without a release wait."""
    return ControllerDriver(settings=replace(SETTINGS, proxies=proxies, release=0.0), servers=servers)


def test_shedding_by_number_is_equal_at_all_proxies_and_sets_a_hold_off() -> None:
    first, second = driver_with(), ControllerDriver(settings=SETTINGS, servers=4, seed=99)
    verdicts = []
    for driver in (first, second):
        driver.feed(PARTIAL)
        seen = []
        for at in range(60):
            actions = driver.offer(number=f"{at}")
            shed = [action for action in actions if isinstance(action, Refuse)]
            assert all(1_200.0 <= action.hold_off <= 2_000.0 for action in shed)
            seen.append(bool(shed))
            for send in sends(actions):
                driver.stand(send)
        verdicts.append(seen)
    assert verdicts[0] == verdicts[1] == [unit_hash(f"{at}", 3) >= 0.5 for at in range(60)]
    assert 15 < sum(verdicts[0]) < 45


def test_redial_gets_the_same_verdict_and_late_redial_is_judged_by_worth() -> None:
    driver = driver_with()
    driver.feed(PARTIAL)
    number = next(f"{at}" for at in range(99) if unit_hash(f"{at}", 3) < 0.5)
    refused_number = next(f"{at}" for at in range(99) if unit_hash(f"{at}", 3) >= 0.5)
    assert [type(action) for action in driver.offer(number=refused_number)] == [Refuse]
    driver.advance(800.0)
    assert [type(action) for action in driver.offer(number=refused_number)] == [Refuse]
    driver.advance(1_300.0)  # past the aim: late, so worth a fifth
    assert [type(action) for action in driver.offer(number=refused_number)] == [Refuse]
    assert len(sends(driver.offer(number=number))) == 1
    driver.feed(replace(PARTIAL, shares=(("plain", 1.0), ("urgent", 1.0)), floor=0.0))
    assert len(sends(driver.offer(number=refused_number))) == 1


def test_full_admission_gives_the_same_actions_as_no_fleet() -> None:
    with_admission, without_fleet = driver_with(), driver_with()
    with_admission.feed(replace(PARTIAL, shares=(("plain", 1.0), ("urgent", 1.0)), admitted=1.0, floor=0.0))
    for at in range(200):
        pair = [driver.offer(first=at % 4, number=f"{at}") for driver in (with_admission, without_fleet)]
        assert pair[0] == pair[1]
        for driver, actions in zip((with_admission, without_fleet), pair, strict=True):
            for send in sends(actions):
                driver.stand(send, delay=10.0 + at % 7)
            driver.advance(20.0)


def test_retry_costs_a_token_and_tokens_expire() -> None:
    driver = driver_with()
    driver.feed(RepeatBudget(1.0, 1_000.0))
    [first], [second] = sends(driver.offer(number="1")), sends(driver.offer(number="2"))
    assert len(sends(driver.end_attempt(first.ref, first.server, Ending.CUT))) == 1
    assert finals(driver.end_attempt(second.ref, second.server, Ending.CUT)) == [Fail(second.ref)]
    driver.feed(RepeatBudget(5.0, 1_000.0))
    [third] = sends(driver.offer(number="3"))
    driver.now += 1_001.0  # the process was suspended: its tokens have expired
    assert finals(driver.end_attempt(third.ref, third.server, Ending.CUT)) == [Fail(third.ref)]


def test_without_a_retry_budget_only_max_attempts_limits_retries() -> None:
    driver = driver_with()
    [send] = sends(driver.offer(number="1"))
    for attempt in range(SETTINGS.max_attempts - 1):
        [send] = sends(driver.end_attempt(send.ref, send.server, Ending.CUT, attempt=attempt))
    assert finals(driver.end_attempt(send.ref, send.server, Ending.CUT, attempt=SETTINGS.max_attempts - 1))


def test_image_does_not_repeat_the_reduction_by_admission() -> None:
    """A server requests 0.4 and the fleet admits 0.6: nothing is left for the image to hold back."""
    driver = driver_with(servers=1)
    driver.feed(PARTIAL)
    driver.report_hold_back("s0", 0.4)
    assert driver.controller.servers["s0"].image is None
    driver.report_hold_back("s0", 0.8)
    image = driver.controller.servers["s0"].image
    assert image is not None and image.hold_back == pytest.approx(1.0 - 0.2 / 0.6)


def test_a_call_in_transit_is_not_shed() -> None:
    driver = driver_with()
    driver.feed(replace(PARTIAL, shares=(("plain", 0.0), ("urgent", 0.0))))
    assert any(isinstance(action, SendSetUp) for action in driver.offer(number="1", in_transit=True))
