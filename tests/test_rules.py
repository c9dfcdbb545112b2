"""The decisions: each test covers one rule of the platform or guards against one failure."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from itertools import pairwise

import pytest

from martentide import rules
from martentide.interface import (
    AttemptEnded,
    CallClass,
    CallerGone,
    CancelAttempt,
    ColdShare,
    Ending,
    Fail,
    ListKind,
    PeerMessage,
    Probe,
    ProbeEnded,
    Refuse,
    Repeat,
    Report,
    ReportBy,
    SendSetUp,
    ServerList,
    ServerState,
    SetTimer,
    Stands,
    TellPeer,
    Tenant,
)
from tests.support import SETTINGS, ControllerDriver, entry, finals, sends


def offer_steadily(
    driver: ControllerDriver, count: int, gap: float = 200.0, first: int = 0, name: str = "plain"
) -> list[SendSetUp]:
    """Offer calls at a constant rate; each that is sent stands at once."""
    sent: list[SendSetUp] = []
    for _ in range(count):
        for action in sends(driver.offer(first, name) + driver.advance(gap)):
            driver.stand(action)
            sent.append(action)
    return sent


# ---- the gap image --------------------------------------------------------------------------------------


def test_server_without_reports_has_no_image_and_first_choice_is_kept() -> None:
    driver = ControllerDriver()
    assert {send.server for send in offer_steadily(driver, 20, first=1)} == {"s1"}


def test_report_creates_an_image_that_limits_the_rate() -> None:
    driver = ControllerDriver(servers=1)
    offer_steadily(driver, 20, gap=100.0)
    driver.report_hold_back("s0", 0.5)
    image = driver.controller.servers["s0"].image
    assert image is not None
    assert image.rate == pytest.approx(5.0, abs=0.3)
    sent = 0
    for _ in range(40):  # 4 s at 10 calls/s, with a report after each call
        for send in sends(driver.offer() + driver.advance(100.0)):
            driver.stand(send)
            sent += 1
        driver.report_hold_back("s0", 0.5)
    assert 15 <= sent <= 22


def test_image_is_refreshed_by_each_report_and_expires() -> None:
    driver = ControllerDriver(servers=1)
    driver.report_hold_back("s0", 0.5)
    driver.advance(4000.0)
    driver.report_hold_back("s0", 0.9)
    image = driver.controller.servers["s0"].image
    assert image is not None
    assert image.expires == driver.now + rules.IMAGE_LIFETIME
    driver.advance(rules.IMAGE_LIFETIME + 1.0)
    assert len(offer_steadily(driver, 10, gap=100.0)) == 10


def test_bound_rate_never_falls_below_the_floor() -> None:
    driver = ControllerDriver(servers=1)
    driver.report_hold_back("s0", 1.0)
    image = driver.controller.servers["s0"].image
    assert image is not None
    assert image.rate == rules.BOUND_FLOOR


def test_gapped_call_is_redrawn_among_the_other_servers() -> None:
    driver = ControllerDriver(servers=3)
    driver.report_hold_back("s0", 1.0)
    servers = {send.server for send in offer_steadily(driver, 20, gap=100.0, first=0)}
    assert servers & {"s1", "s2"}


def test_report_without_figures_creates_no_image() -> None:
    driver = ControllerDriver(servers=1)
    driver.end_attempt(1, "s0", Ending.DELIVERED, report=Report(4.0, None, None), settled=True)
    assert driver.controller.servers["s0"].image is None


@pytest.mark.parametrize("wait", [0.0, 60.0, 125.0, 250.0, 400.0, 600.0, 5000.0])
def test_level_table_rises_with_the_wait(wait: float) -> None:
    controller = ControllerDriver().controller
    assert controller._hold_back_for(wait) <= controller._hold_back_for(wait + 50.0) < 1.0
    assert (controller._hold_back_for(wait) > 0) == (
        wait >= rules.HOLD_BACK_LEVELS[0][0] * controller.tolerable_wait
    )


def test_reported_wait_alone_creates_an_image() -> None:
    driver = ControllerDriver(servers=1)
    driver.end_attempt(1, "s0", Ending.DELIVERED, report=Report(None, None, 600.0), settled=True)
    assert driver.controller.servers["s0"].image is not None


def test_own_measured_delay_creates_an_image_without_any_report() -> None:
    driver = ControllerDriver(servers=1, settings=replace(SETTINGS, report_by=ReportBy.NEVER))
    offer_steadily(driver, 5)
    [send] = sends(driver.offer())
    driver.stand(send, delay=500.0)
    assert driver.controller.servers["s0"].image is not None


def test_last_tokens_are_reserved_for_the_highest_worth_class() -> None:
    driver = ControllerDriver(servers=1)
    driver.report_hold_back("s0", 1.0)
    assert not sends(driver.offer(name="plain"))
    assert sends(driver.offer(name="urgent"))


# ---- rule 1: one final answer in time -------------------------------------------------------------------


@pytest.mark.parametrize("left", [-5.0, 0.0, 1.0, 40.0, 400.0, 3000.0])
def test_held_call_is_answered_once_before_its_deadline(left: float) -> None:
    driver = ControllerDriver(servers=0)
    start = driver.now
    driver.offer(left=left)
    driver.advance(4000.0)
    answers = [(at, action) for at, action in driver.actions if isinstance(action, Refuse | Fail)]
    assert len(answers) == 1
    assert answers[0][0] <= start + max(left, 0.0) + SETTINGS.answer_slack


def test_call_whose_last_attempt_timed_out_is_answered_with_a_failure() -> None:
    driver = ControllerDriver(servers=1)
    [send] = sends(driver.offer(left=900.0))
    driver.advance(send.patience)
    assert isinstance(finals(driver.end_attempt(send.ref, "s0", Ending.TIMED_OUT))[0], Fail)
    assert not finals(driver.advance(2000.0))


def test_nothing_is_sent_for_a_finished_call() -> None:
    driver = ControllerDriver()
    [send] = sends(driver.offer())
    driver.feed(CallerGone(send.ref))
    actions = driver.end_attempt(send.ref, send.server, Ending.FULL, settled=True) + driver.advance(3000.0)
    assert not sends(actions) and not finals(actions)


def test_call_that_may_have_run_is_not_retried_if_once_only() -> None:
    once = CallClass("plain", 1.0, 2000.0, 9000.0, 0.2, Repeat.ONCE_ONLY, None)
    driver = ControllerDriver(settings=replace(SETTINGS, classes=(once,)))
    [send] = sends(driver.offer())
    actions = driver.end_attempt(send.ref, send.server, Ending.TIMED_OUT)
    assert isinstance(finals(actions)[0], Fail)
    assert not sends(driver.advance(2000.0))


# ---- rule 2 and the attempt limit -----------------------------------------------------------------------


def test_one_attempt_at_a_time_and_never_more_than_the_limit() -> None:
    driver = ControllerDriver(servers=6)
    [send] = sends(driver.offer())
    for attempt in range(SETTINGS.max_attempts):
        assert not sends(driver.advance(100.0))
        again = sends(driver.end_attempt(send.ref, send.server, Ending.UNREACHABLE, attempt))
        if attempt + 1 < SETTINGS.max_attempts:
            assert len(again) == 1 and again[0].server != send.server
            send = again[0]
        else:
            assert not again
    assert sum(isinstance(action, Refuse | Fail) for _, action in driver.actions) == 1


# ---- rule 3: drains -------------------------------------------------------------------------------------


@pytest.mark.parametrize("state", [ServerState.DRAINING, ServerState.GONE])
def test_draining_or_removed_server_gets_no_more_calls(state: ServerState) -> None:
    driver = ControllerDriver()
    driver.feed(ServerList(ListKind.CHANGES, (entry("s0", 0, state),)))
    assert {send.server for send in offer_steadily(driver, 20, first=0)} == {"s1"}


def test_server_missing_from_a_whole_list_is_removed() -> None:
    driver = ControllerDriver()
    driver.feed(ServerList(ListKind.WHOLE, (entry("s1", 1),)))
    assert {send.server for send in offer_steadily(driver, 20, first=0)} == {"s1"}


def test_failed_list_request_keeps_the_old_list() -> None:
    driver = ControllerDriver()
    driver.feed(ServerList(ListKind.FAILED, ()))
    assert sends(driver.offer())


def test_retry_is_not_sent_to_a_server_that_drains_meanwhile() -> None:
    driver = ControllerDriver()
    [send] = sends(driver.offer(first=0))
    driver.end_attempt(send.ref, "s0", Ending.TIMED_OUT)
    driver.feed(ServerList(ListKind.CHANGES, (entry("s1", 1, ServerState.DRAINING),)))
    assert all(again.server == "s0" for again in sends(driver.advance(1000.0)))


# ---- rule 4: cold servers -------------------------------------------------------------------------------


def test_cold_server_is_limited_at_first() -> None:
    driver = ControllerDriver(servers=2)
    offer_steadily(driver, 80, gap=100.0, first=0)
    driver.feed(ServerList(ListKind.CHANGES, (entry("new", 2, started=driver.now),)))
    sent_to_new = 0
    for _ in range(40):  # 2 s at 20 calls/s, all for the new server, none of them answered
        sent_to_new += len(
            [s for s in sends(driver.offer(first=2) + driver.advance(50.0)) if s.server == "new"]
        )
    warm_rate = 10.0  # set-ups/s of the warm server
    assert 0 < sent_to_new <= SETTINGS.fall_multiple * SETTINGS.cold_share * warm_rate * 2.0


def test_quick_answers_raise_the_cold_budget_and_slow_ones_lower_it() -> None:
    driver = ControllerDriver(servers=1)
    driver.feed(ServerList(ListKind.WHOLE, (entry("new", 0, started=driver.now),)))
    server = driver.controller.servers["new"]
    for _ in range(5):
        driver.feed(Stands(1, 0, "new", 40.0))
    trust_after_quick_answers = server.cold_trust
    driver.feed(Stands(1, 0, "new", 900.0))
    assert 1.0 <= server.cold_trust < trust_after_quick_answers


def set_ups_to_cold_server(share: float | None) -> int:
    """Return the set-ups that reach a cold server in 5 s with ``share`` of its budget."""
    driver = ControllerDriver(servers=1)
    offer_steadily(driver, 80, gap=100.0)
    if share is not None:
        driver.feed(ColdShare(share))
    driver.feed(ServerList(ListKind.WHOLE, (entry("new", 5, started=driver.now),)))
    return len(offer_steadily(driver, 50, gap=100.0, first=5))


def test_two_processes_of_one_proxy_share_a_cold_servers_budget() -> None:
    whole_budget, half_budget = set_ups_to_cold_server(None), set_ups_to_cold_server(0.5)
    assert 0 < 2 * half_budget <= whole_budget
    assert set_ups_to_cold_server(0.0) == 0
    assert set_ups_to_cold_server(1.0) == whole_budget


def test_server_with_a_new_start_time_in_the_list_is_cold_again() -> None:
    driver = ControllerDriver()
    driver.feed(ServerList(ListKind.CHANGES, (entry("s0", 0, started=driver.now - 500.0),)))
    assert driver.controller.servers["s0"].cold_from == driver.now - 500.0
    driver.feed(ServerList(ListKind.CHANGES, (entry("s0", 0, started=driver.now - 500.0),)))
    assert driver.controller.servers["s0"].cold_from == driver.now - 500.0


# ---- rule 5: release ------------------------------------------------------------------------------------


@pytest.mark.parametrize("ending", [Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED])
def test_release_is_awaited_before_a_retry(ending: Ending) -> None:
    driver = ControllerDriver()
    [send] = sends(driver.offer())
    ended_at = driver.now
    assert not sends(driver.end_attempt(send.ref, send.server, ending))
    driver.advance(1000.0)
    again = [(at, action) for at, action in driver.actions if isinstance(action, SendSetUp)][1:]
    assert again and again[0][0] >= ended_at + SETTINGS.release


# ---- regressions ----------------------------------------------------------------------------------------


def test_only_one_more_set_up_is_sent_while_one_is_overdue() -> None:
    driver = ControllerDriver(servers=1)
    assert sends(driver.offer())
    driver.advance(rules.UNANSWERED_SHARE * driver.controller.tolerable_wait + 60.0)
    assert sends(driver.offer())  # one more shows whether the first was lost
    assert not sends(driver.offer())


def test_no_more_set_ups_are_sent_while_one_is_overdue_if_the_last_answer_was_slow() -> None:
    driver = ControllerDriver(servers=1)
    [send] = sends(driver.offer())
    driver.stand(send, delay=400.0)
    sent = sends(driver.advance(700.0) + driver.offer(name="urgent"))
    assert len(sent) == 1
    driver.advance(rules.UNANSWERED_SHARE * driver.controller.tolerable_wait + 60.0)
    assert not sends(driver.offer(name="urgent"))


def test_server_that_fails_set_ups_gets_only_half_open_probes() -> None:
    driver = ControllerDriver(servers=2)
    for _ in range(2):
        [send] = [s for s in sends(driver.offer(first=0)) if s.server == "s0"]
        [again] = sends(driver.end_attempt(send.ref, "s0", Ending.ERROR))
        driver.stand(again, attempt=1)
    assert driver.controller.servers["s0"].suspect
    assert {send.server for send in offer_steadily(driver, 5, gap=100.0, first=0)} == {"s1"}


def test_call_that_no_server_accepts_fails_after_two_errors_and_makes_none_suspect() -> None:
    """A caller whose calls all servers answer with an error must not lock out other callers."""
    driver = ControllerDriver()
    for _ in range(5):
        [first] = sends(driver.offer(first=0))
        [second] = sends(driver.end_attempt(first.ref, first.server, Ending.ERROR))
        assert second.server != first.server
        assert finals(driver.end_attempt(first.ref, second.server, Ending.ERROR, attempt=1)) == [
            Fail(first.ref)
        ]
        driver.advance(20)
    assert not any(server.suspect for server in driver.controller.servers.values())
    assert sends(driver.offer(first=0))


def test_tick_is_shorter_for_short_aims() -> None:
    """Servers must not be idle between two ticks while calls with short aims wait."""
    classes = tuple(replace(kind, aim=kind.aim / 5.0) for kind in SETTINGS.classes)
    driver = ControllerDriver(settings=replace(SETTINGS, classes=classes))
    driver.feed(ServerList(ListKind.WHOLE, ()))
    [tick] = [
        action
        for action in driver.offer()
        if isinstance(action, SetTimer) and action.token == rules.TICK_TOKEN
    ]
    assert tick.delay == pytest.approx(
        rules.TICK * rules.TOLERABLE_SHARE_OF_AIM * 300.0 / rules.TRIAL_REFERENCE_WAIT
    )


def test_answers_without_a_wait_reduce_an_earlier_requested_share() -> None:
    """Calls must not be held back for seconds after a server pause has ended, as quick answers show."""
    driver = ControllerDriver()
    driver.report_hold_back("s0", 0.7)
    for _ in range(10):
        driver.offer(first=0, name="urgent")
        driver.stand(SendSetUp(driver.ref, "s0", 1.0))
    image = driver.controller.servers["s0"].image
    assert image is not None and image.hold_back == pytest.approx(0.7 * rules.HOLD_BACK_DECAY**10)


def test_single_error_does_not_make_a_server_suspect() -> None:
    driver = ControllerDriver()
    [send] = sends(driver.offer(first=0))
    driver.end_attempt(send.ref, "s0", Ending.ERROR)
    assert not driver.controller.servers["s0"].suspect


def test_quickly_answered_half_open_probe_ends_the_suspicion() -> None:
    driver = ControllerDriver(servers=1)
    [send] = sends(driver.offer())
    driver.end_attempt(send.ref, "s0", Ending.UNREACHABLE)
    assert driver.controller.servers["s0"].suspect
    [probe] = sends(driver.advance(rules.TRIAL_GAP + rules.TRIAL_SPREAD) + driver.offer())
    assert not sends(driver.offer())
    driver.stand(probe, attempt=int(probe.ref == send.ref))
    assert not driver.controller.servers["s0"].suspect


def test_half_open_probes_of_a_silent_server_back_off() -> None:
    driver = ControllerDriver(servers=1)
    start, sent_at = driver.now, []
    attempts: Counter[int] = Counter()
    while driver.now < start + 20_000.0:
        for send in sends(driver.offer() + driver.advance(50.0)):
            sent_at.append(driver.now)
            driver.end_attempt(send.ref, "s0", Ending.UNREACHABLE, attempts[send.ref])
            attempts[send.ref] += 1
    gaps = [later - earlier for earlier, later in pairwise(sent_at)]
    assert 7 <= len(sent_at) <= 14
    assert gaps[-1] > gaps[0] and gaps[-1] <= rules.MAX_TRIAL_GAP + rules.TRIAL_SPREAD + 100.0


def test_suspect_server_gets_a_call_only_after_an_answered_health_check() -> None:
    driver = ControllerDriver(servers=1, settings=replace(SETTINGS, may_probe=True))
    [send] = sends(driver.offer())
    driver.end_attempt(send.ref, "s0", Ending.UNREACHABLE)
    probes = [action for action in driver.advance(300.0) if isinstance(action, Probe)]
    assert len(probes) == 1
    driver.feed(ProbeEnded("s0", Ending.TIMED_OUT, False, 250.0, None))
    driver.advance(4000.0)
    assert not sends(driver.offer())
    driver.feed(ProbeEnded("s0", Ending.DELIVERED, False, 20.0, None))
    assert sends(driver.offer() + driver.advance(100.0))


TENANT_SETTINGS = replace(
    SETTINGS, tenants=(Tenant("t", 2.0), Tenant("u", 2.0)), over_share_worth=0.1, may_tell_peers=True
)


def test_tenant_above_its_allowance_is_recognised_and_rates_are_gossiped() -> None:
    driver = ControllerDriver(settings=TENANT_SETTINGS)
    for _ in range(50):
        driver.offer(tenant="t")
        driver.advance(100.0)
    gossip = [action for _, action in driver.actions if isinstance(action, TellPeer)]
    assert {action.peer for action in gossip} == set(range(1, TENANT_SETTINGS.proxies))
    assert all(len(action.body) >= 4 for action in gossip)
    assert driver.controller.inside_share["t"] < 0.5
    assert driver.controller.inside_share["u"] == 1.0


def test_peer_rates_replace_the_estimate_from_own_traffic() -> None:
    driver = ControllerDriver(settings=TENANT_SETTINGS)
    for _ in range(50):
        driver.offer(tenant="t")
        driver.advance(200.0)
        for peer in range(1, TENANT_SETTINGS.proxies):
            driver.feed(PeerMessage(peer, bytes(4)))
    estimate_from_own_traffic = 2.0 / (5.0 * TENANT_SETTINGS.proxies)
    assert driver.controller.inside_share["t"] == pytest.approx(2.0 / 5.0, rel=0.1)
    assert driver.controller.inside_share["t"] > estimate_from_own_traffic


def test_malformed_peer_message_is_ignored() -> None:
    driver = ControllerDriver(settings=TENANT_SETTINGS)
    driver.feed(PeerMessage(1, b"hello"))
    driver.feed(PeerMessage(99, bytes(4)))
    assert not driver.controller.peer_rates


def test_server_that_answers_after_a_long_silence_is_treated_as_cold() -> None:
    driver = ControllerDriver(servers=1)
    [send] = sends(driver.offer())
    driver.end_attempt(send.ref, "s0", Ending.UNREACHABLE)
    server = driver.controller.servers["s0"]
    server.suspect_from = driver.now - rules.COLD_AFTER_SILENCE - 1.0
    driver.feed(Stands(77, 0, "s0", 40.0))
    assert server.cold_from == driver.now and not server.suspect


def test_overtaken_set_up_is_cancelled_and_retried() -> None:
    driver = ControllerDriver(servers=1)
    offer_steadily(driver, 5)
    [lost] = sends(driver.offer())
    driver.advance(100.0)
    [later] = sends(driver.offer())
    assert CancelAttempt(lost.ref, 0) in driver.stand(later)
    server = driver.controller.servers["s0"]
    assert not server.unanswered
    driver.end_attempt(lost.ref, "s0", Ending.CANCELLED)
    assert not server.suspect
    again = sends(driver.advance(SETTINGS.release + 50.0))
    assert [send.ref for send in again] == [lost.ref]


def test_overtaken_set_up_is_not_cancelled_if_not_allowed() -> None:
    driver = ControllerDriver(servers=1, settings=replace(SETTINGS, may_cancel=False))
    assert sends(driver.offer())
    driver.advance(100.0)
    [later] = sends(driver.offer())
    assert not [action for action in driver.stand(later) if isinstance(action, CancelAttempt)]


def test_server_without_a_free_line_gets_no_set_ups_for_a_short_pause() -> None:
    driver = ControllerDriver(servers=1)
    [send] = sends(driver.offer())
    actions = driver.feed(AttemptEnded(send.ref, 0, "s0", Ending.FULL, False, True, 20.0, None))
    assert not sends(actions)
    assert sends(driver.advance(rules.LINE_PAUSE + 50.0))


def test_last_lines_are_reserved_for_the_highest_worth_class() -> None:
    driver = ControllerDriver(servers=1)
    driver.feed(ProbeEnded("s0", Ending.DELIVERED, True, 0.0, Report(2.0, None, None)))
    assert not sends(driver.offer(name="plain"))
    assert sends(driver.offer(name="urgent"))


def test_first_choice_without_free_lines_is_skipped() -> None:
    driver = ControllerDriver(servers=2)
    driver.feed(ProbeEnded("s0", Ending.DELIVERED, True, 0.0, Report(0.0, None, None)))
    assert {send.server for send in offer_steadily(driver, 10, first=0)} == {"s1"}


def test_redial_is_recognised_by_number_and_dated_from_the_first_try() -> None:
    driver = ControllerDriver(servers=0)
    driver.offer(number="n1", left=500.0)
    first = driver.now
    driver.advance(600.0)
    driver.offer(number="n1")
    assert [call.first_tried_at for call in driver.controller.calls.values()] == [first]
    driver.offer(number="n2")
    assert driver.controller.calls[driver.ref].first_tried_at == driver.now


# ---- restart, probes, unusual input ---------------------------------------------------------------------


def test_restarted_proxy_sends_calls_by_its_remembered_list() -> None:
    driver = ControllerDriver(servers=1)
    assert sends(driver.offer())


def test_health_checks_are_sent_only_if_allowed_and_once_per_interval() -> None:
    driver = ControllerDriver(settings=replace(SETTINGS, may_probe=True, report_by=ReportBy.PROBES))
    probes = [a for a in driver.advance(1500.0) if isinstance(a, Probe)]
    assert sorted(a.server for a in probes) == ["s0", "s1"]
    assert not [a for a in ControllerDriver().advance(5000.0) if isinstance(a, Probe)]


def test_calls_of_a_class_are_sent_only_to_its_pools() -> None:
    plain = replace(SETTINGS.classes[0], pools=(1,))
    driver = ControllerDriver(settings=replace(SETTINGS, classes=(plain,)))
    assert {send.server for send in offer_steadily(driver, 10, first=0)} == {"s1"}


def test_call_in_transit_is_sent_only_to_its_first_choice() -> None:
    driver = ControllerDriver(servers=3)
    driver.report_hold_back("s0", 1.0)
    for _ in range(10):
        assert all(send.server == "s0" for send in sends(driver.offer(first=0, in_transit=True)))


def test_events_for_unknown_calls_and_servers_are_ignored() -> None:
    driver = ControllerDriver()
    actions = (
        driver.feed(CallerGone(77))
        + driver.feed(Stands(77, 0, "nowhere", 5.0))
        + driver.end_attempt(77, "nowhere", Ending.TIMED_OUT)
        + driver.feed(ProbeEnded("nowhere", Ending.DELIVERED, False, 5.0, None))
    )
    assert not [action for action in actions if not isinstance(action, SetTimer)]


def test_same_events_and_seed_give_the_same_actions() -> None:
    first, second = ControllerDriver(servers=3), ControllerDriver(servers=3)
    for driver in (first, second):
        driver.report_hold_back("s0", 0.8)
        offer_steadily(driver, 60, gap=70.0)
    assert first.actions == second.actions


# ---- aims below a second: times and limits must scale down with the aim -----------------------------------

SHORT_AIM_SETTINGS = replace(
    SETTINGS,
    classes=(CallClass("plain", 1.0, 300.0, 3000.0, 0.2, Repeat.HARMLESS, None),),
    repeat_interval=200.0,
    release=100.0,
)


def test_network_jitter_creates_no_image() -> None:
    driver = ControllerDriver(SHORT_AIM_SETTINGS, servers=1)
    for delay in (50.0, 62.0, 55.0, 64.0):
        [send] = sends(driver.offer() + driver.advance(20.0))
        driver.stand(send, delay)
    assert driver.controller.servers["s0"].image is None


def test_a_gapped_call_is_held_for_part_of_a_short_aim() -> None:
    driver = ControllerDriver(SHORT_AIM_SETTINGS, servers=1)
    driver.report_hold_back("s0", 1.0)
    for send in sends(driver.offer() + driver.offer()):
        driver.stand(send)
    actions = driver.offer()
    assert not sends(actions) and not finals(actions + driver.advance(60.0))
    assert finals(driver.advance(200.0))


def test_no_early_time_out_where_a_second_attempt_cannot_be_in_time() -> None:
    driver = ControllerDriver(SHORT_AIM_SETTINGS, servers=2)
    [send] = sends(driver.offer())
    assert send.patience >= 300.0


def test_after_a_slow_answer_set_ups_to_a_busy_server_are_spaced_by_its_usual_rate() -> None:
    driver = ControllerDriver(SHORT_AIM_SETTINGS, servers=1)
    offer_steadily(driver, 80, gap=25.0)
    [send] = sends(driver.offer())
    driver.stand(send, 200.0)
    assert len(offer_steadily(driver, 12, gap=25.0)) > 2  # one per 200 ms would be 2


def test_half_open_probes_are_sooner_for_short_aims() -> None:
    """A server that paused for a moment must not stay excluded for many times the aim."""
    driver = ControllerDriver(SHORT_AIM_SETTINGS, servers=1)
    [send] = sends(driver.offer())
    driver.end_attempt(send.ref, "s0", Ending.TIMED_OUT)
    server = driver.controller.servers["s0"]
    assert server.suspect
    scale = driver.controller.tolerable_wait / rules.TRIAL_REFERENCE_WAIT
    assert scale < 0.5
    assert server.trial_due - driver.now <= (rules.TRIAL_GAP + rules.TRIAL_SPREAD) * scale


def test_tick_tries_a_bounded_number_of_held_calls_and_answers_the_rest_in_time() -> None:
    """One pass over the held calls must not take longer than their deadlines allow."""
    driver = ControllerDriver(servers=1)
    driver.report_hold_back("s0", 0.98)
    offers = [driver.offer() for _ in range(3 * rules.MAX_HELD_CALLS_PER_TICK)]
    held_calls = driver.ref - sum(bool(sends(actions)) for actions in offers)
    tried = 0
    choose_server = driver.controller._choose_server

    def count_choice(call: rules.Call, now: float) -> rules.Server | None:
        nonlocal tried
        tried += 1
        return choose_server(call, now)

    driver.controller._choose_server = count_choice  # type: ignore[method-assign]
    actions = driver.advance(60.0)
    assert 0 < tried <= 2 * rules.MAX_HELD_CALLS_PER_TICK and not finals(actions)
    actions += driver.advance(2000.0)
    assert len(finals(actions)) + len(sends(actions)) == held_calls, "each is sent or answered once"
