"""Effects of fleet size: many controllers together, and a single one of many."""

from __future__ import annotations

import heapq
import math
from dataclasses import replace

import pytest

from martentide import rules
from martentide.interface import (
    Ending,
    Event,
    ListKind,
    PeerMessage,
    Probe,
    ProbeEnded,
    Report,
    ReportBy,
    SendSetUp,
    ServerList,
    SetTimer,
    Settings,
    SetUpOffered,
    Stands,
    TellPeer,
    TimerDue,
)
from martentide.overload import slow_start
from martentide.rules import Controller
from tests.support import SETTINGS, ControllerDriver, entry, sends

WARM_SERVERS = 4
RATE_PER_S = 50.0  # set-ups offered per warm server


def times_sent_to_cold_server(proxies: int) -> list[float]:
    """Return the times (ms) at which a fleet sends set-ups to a server that starts at 10 s.

    The server is the first choice of every call from then on.
    """
    settings = replace(SETTINGS, proxies=proxies)
    fleet = [Controller(replace(settings, own_slot=slot), slot) for slot in range(proxies)]
    warm = tuple(entry(f"s{at}", at) for at in range(WARM_SERVERS))
    cold = ServerList(ListKind.CHANGES, (entry("cold", WARM_SERVERS, started=10_000.0),))
    queue: list[tuple[float, int, int, Event]] = []
    for slot in range(proxies):
        queue.append((0.0, len(queue), slot, ServerList(ListKind.WHOLE, warm)))
        queue.append((10_000.0 + slot, len(queue), slot, cold))
    for ref in range(int(20.0 * WARM_SERVERS * RATE_PER_S)):
        at = ref * 1000.0 / (WARM_SERVERS * RATE_PER_S)
        first = WARM_SERVERS if at > 10_000.0 else ref % WARM_SERVERS
        call = SetUpOffered(ref, "plain", None, None, 3000.0, first, False, False)
        queue.append((at, len(queue), ref % proxies, call))
    heapq.heapify(queue)
    sequence = len(queue)
    sent_at: list[float] = []
    busy_until = 0.0
    while queue:
        now, _, slot, event = heapq.heappop(queue)
        if now > 20_000.0:
            break
        for action in fleet[slot].handle(now, event):
            sequence += 1
            match action:
                case SendSetUp():
                    sent_at += [now] if action.server == "cold" else []
                    delay = 50.0
                    if action.server == "cold":  # serves one at a time, at its share of RATE_PER_S
                        busy_until = max(busy_until, now) + 1000.0 / (RATE_PER_S * SETTINGS.cold_share)
                        delay += busy_until - now
                    stands = Stands(action.ref, 0, action.server, delay)
                    heapq.heappush(queue, (now + delay, sequence, slot, stands))
                case SetTimer():
                    heapq.heappush(queue, (now + action.delay, sequence, slot, TimerDue(action.token)))
    return sent_at


@pytest.mark.parametrize("proxies", [6, 24, 80, 240])
def test_all_proxies_together_do_not_overload_a_cold_server(proxies: int) -> None:
    sent_at = times_sent_to_cold_server(proxies)
    span = SETTINGS.fall_time
    limit = SETTINGS.fall_multiple * SETTINGS.cold_share * RATE_PER_S * span / 1000.0
    assert sent_at
    assert max(sum(1 for other in sent_at if at <= other < at + span) for at in sent_at) < limit


def refill_without_expiry(tokens: float, rate: float, elapsed: float, settings: Settings) -> float:
    """Faulty version of ``slow_start.refill``: an ordinary token bucket, whose tokens never expire."""
    return min(1.5, tokens + rate * elapsed / 1000.0)


def test_whole_initial_token_per_proxy_would_overload_a_cold_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """The check above can fail: with one initial token per proxy that never expires, 240 exceed the limit."""
    monkeypatch.setattr(slow_start, "refill", refill_without_expiry)
    monkeypatch.setattr(rules.Controller, "_mark_cold", mark_cold_with_a_token)
    sent_at = times_sent_to_cold_server(240)
    limit = SETTINGS.fall_multiple * SETTINGS.cold_share * RATE_PER_S * SETTINGS.fall_time / 1000.0
    assert sum(1 for at in sent_at if at < sent_at[0] + SETTINGS.fall_time) > limit


def mark_cold_with_a_token(self: Controller, server: rules.Server, since: float, now: float) -> None:
    """Faulty version of ``Controller._mark_cold``: a cold server starts with a whole token."""
    server.cold_from, server.cold_filled, server.cold_tokens = since, now, 1.0


def driver_in_fleet(proxies: int, **more: object) -> ControllerDriver:
    """Return the driver of one Controller in a fleet of ``proxies``."""
    driver = ControllerDriver(settings=replace(SETTINGS, proxies=proxies, **more), servers=3)  # type: ignore[arg-type]
    return driver


@pytest.mark.parametrize("proxies", [1, 6, 12])
def test_proxy_of_a_small_fleet_has_the_full_rate_floor_and_initial_token(proxies: int) -> None:
    driver = driver_in_fleet(proxies)
    driver.report_hold_back("s0", 0.99)
    image = driver.controller.servers["s0"].image
    assert image is not None and image.rate == rules.BOUND_FLOOR and image.tokens == 1.0


@pytest.mark.parametrize("proxies", [24, 120, 300])
def test_rate_floors_of_all_proxies_have_a_constant_sum(proxies: int) -> None:
    driver = driver_in_fleet(proxies)
    driver.report_hold_back("s0", 0.99)
    image = driver.controller.servers["s0"].image
    assert image is not None and image.rate * proxies == pytest.approx(rules.SMALL_FLEET * rules.BOUND_FLOOR)


def test_image_whose_rate_falls_keeps_only_part_of_its_tokens() -> None:
    driver = driver_in_fleet(300)
    driver.report_hold_back("s0", 0.2)
    image = driver.controller.servers["s0"].image
    assert image is not None
    image.tokens = 1.0
    driver.report_hold_back("s0", 0.9)
    assert image.tokens < 0.2


def test_requested_share_above_one_is_limited() -> None:
    driver = driver_in_fleet(300)
    for share in (1.2, 0.1, 1.5, 0.9):
        driver.report_hold_back("s0", share)
        driver.advance(500.0)
    image = driver.controller.servers["s0"].image
    assert image is not None and image.hold_back <= rules.MAX_HOLD_BACK and image.rate > 0.0


def test_unanswered_set_ups_at_all_servers_are_bounded_in_a_large_fleet() -> None:
    small, large = driver_in_fleet(6), driver_in_fleet(300)
    assert len([send for at in range(3) for send in sends(small.offer(first=at))]) == 3
    assert len([send for at in range(3) for send in sends(large.offer(first=at))]) == 1
    assert sends(large.advance(400.0)), "a set-up unanswered for long no longer counts"


def test_redrawn_call_counts_as_offered_at_its_first_and_final_server() -> None:
    driver = driver_in_fleet(3000)
    servers = driver.controller.servers
    servers["s0"].lines_paused_until = servers["s1"].lines_paused_until = driver.now + 1000.0
    [send] = sends(driver.offer(first=0))
    assert send.server == "s2"
    assert [len(servers[name].offered) for name in ("s0", "s1", "s2")] == [1, 0, 1]


def test_half_open_probe_waits_for_its_turn_only_until_another_proxy_reports_an_answer() -> None:
    driver = driver_in_fleet(300, may_tell_peers=True)
    [send] = sends(driver.offer())
    driver.end_attempt(send.ref, "s0", Ending.TIMED_OUT)
    server = driver.controller.servers["s0"]
    server.trial_turn = 60_000.0
    driver.advance(2500.0)
    driver.feed(PeerMessage(7, bytes([0, 1, 2])))
    assert server.trial_turn == 0.0


def test_gossip_reaches_few_peers_in_a_large_fleet_and_all_in_a_small_one() -> None:
    for proxies, expected in ((4, 3), (300, rules.GOSSIP_FANOUT)):
        driver = driver_in_fleet(proxies, may_tell_peers=True)
        [send] = sends(driver.offer())
        driver.stand(send)
        messages = [
            action for action in driver.advance(rules.GOSSIP_INTERVAL) if isinstance(action, TellPeer)
        ]
        assert len({action.peer for action in messages}) == len(messages) == expected
        assert driver.settings.own_slot not in {action.peer for action in messages}


def test_received_waits_are_forwarded_and_expire() -> None:
    driver = driver_in_fleet(300, may_tell_peers=True)
    driver.feed(PeerMessage(7, bytes([1, 0, 60])))
    assert driver.controller.servers["s1"].image is not None
    messages = [action for action in driver.advance(rules.GOSSIP_INTERVAL) if isinstance(action, TellPeer)]
    assert messages and all(action.body[0] == 1 and action.body[2] == 60 for action in messages)
    driver.advance(rules.WAIT_MAX_AGE)
    assert not [action for action in driver.advance(rules.GOSSIP_INTERVAL) if isinstance(action, TellPeer)]


@pytest.mark.parametrize("body", [b"", b"\x01", b"\x01\x02", b"\x01\x02\x03\x04", b"\xff\xff\xff"])
def test_truncated_peer_message_or_one_about_an_unknown_server_is_ignored(body: bytes) -> None:
    driver = driver_in_fleet(300, may_tell_peers=True)
    for sender in (-1, 7, 300):
        driver.feed(PeerMessage(sender, body))
    assert all(
        server.image is None and server.seen_at is None for server in driver.controller.servers.values()
    )


def test_line_pause_ends_at_about_as_many_proxies_as_lines_are_free() -> None:
    ended = 0
    for seed in range(200):
        driver = ControllerDriver(settings=replace(SETTINGS, proxies=200), servers=1, seed=seed)
        server = driver.controller.servers["s0"]
        server.lines_paused_until = driver.now + 5000.0
        driver.feed(ProbeEnded("s0", Ending.DELIVERED, True, 0.0, Report(50.0, None, None)))
        ended += server.lines_paused_until <= driver.now
    assert 30 <= ended <= 70


def test_tick_timer_runs_only_while_calls_are_held() -> None:
    driver = driver_in_fleet(6)
    idle_timers = [action for action in driver.advance(10_000.0) if isinstance(action, SetTimer)]
    assert len(idle_timers) == 10_000.0 / rules.MAINTENANCE_PERIOD
    driver.controller.servers.clear()
    assert SetTimer(rules.TICK_TOKEN, driver.controller.tick_interval) in driver.offer()


def test_total_probe_rate_grows_with_the_square_root_of_the_fleet_size() -> None:
    counts = []
    for proxies in (12, 300):
        driver = driver_in_fleet(proxies, may_probe=True, report_by=ReportBy.PROBES)
        probes = 0
        for _ in range(240):
            for action in driver.advance(rules.MAINTENANCE_PERIOD):
                if isinstance(action, Probe):
                    probes += 1
                    driver.feed(ProbeEnded(action.server, Ending.DELIVERED, False, 10.0, None))
        counts.append(probes)
    assert counts[0] / counts[1] == pytest.approx(math.sqrt(300 / 12), rel=0.25)


@pytest.mark.parametrize(("proxies", "continues"), [(6, True), (200, False)])
def test_large_fleet_probes_a_suspect_server_only_until_it_answers(proxies: int, continues: bool) -> None:
    driver = driver_in_fleet(proxies, may_probe=True)
    [send] = sends(driver.offer())
    driver.end_attempt(send.ref, send.server, Ending.TIMED_OUT)
    assert driver.controller.servers[send.server].suspect
    probes = [action for action in driver.advance(rules.MAINTENANCE_PERIOD) if isinstance(action, Probe)]
    assert probes == [Probe(send.server)]
    driver.feed(ProbeEnded(send.server, Ending.DELIVERED, False, 10.0, None))
    later = [action for action in driver.advance(30_000.0) if isinstance(action, Probe)]
    assert bool(later) is continues and driver.controller.servers[send.server].suspect


def test_limit_on_unanswered_set_ups_grows_with_throughput() -> None:
    def count_sent(throughput: float) -> int:
        driver = ControllerDriver(settings=replace(SETTINGS, proxies=200), servers=24)
        driver.controller.throughput = throughput  # set-ups/s of a server of size 1
        return sum(len(sends(driver.offer(first=at % 24))) for at in range(40))

    light_load, heavy_load = count_sent(0.1), count_sent(2.0)
    assert light_load == 2 and heavy_load > 5 * light_load
