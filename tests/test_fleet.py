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
from tests.support import SETTINGS, Bench, entry, sends

WARM = 4
RATE = 50.0  # set-ups/s offered per warm server


def sent_to_cold(proxies: int) -> list[float]:
    """Return when a fleet sends set-ups to a server that starts at 10 s and is every call's first choice."""
    settings = replace(SETTINGS, proxies=proxies)
    fleet = [Controller(replace(settings, own_slot=slot), slot) for slot in range(proxies)]
    warm = tuple(entry(f"s{at}", at) for at in range(WARM))
    cold = ServerList(ListKind.CHANGES, (entry("cold", WARM, started=10_000.0),))
    queue: list[tuple[float, int, int, Event]] = []
    for slot in range(proxies):
        queue.append((0.0, len(queue), slot, ServerList(ListKind.WHOLE, warm)))
        queue.append((10_000.0 + slot, len(queue), slot, cold))
    for ref in range(int(20.0 * WARM * RATE)):
        at = ref * 1000.0 / (WARM * RATE)
        first = WARM if at > 10_000.0 else ref % WARM
        call = SetUpOffered(ref, "plain", None, None, 3000.0, first, False, False)
        queue.append((at, len(queue), ref % proxies, call))
    heapq.heapify(queue)
    number = len(queue)
    seen: list[float] = []
    busy = 0.0
    while queue:
        now, _, slot, event = heapq.heappop(queue)
        if now > 20_000.0:
            break
        for action in fleet[slot].handle(now, event):
            number += 1
            match action:
                case SendSetUp():
                    seen += [now] if action.server == "cold" else []
                    delay = 50.0
                    if action.server == "cold":  # it serves one at a time, at its share of RATE
                        busy = max(busy, now) + 1000.0 / (RATE * SETTINGS.cold_share)
                        delay += busy - now
                    stands = Stands(action.ref, 0, action.server, delay)
                    heapq.heappush(queue, (now + delay, number, slot, stands))
                case SetTimer():
                    heapq.heappush(queue, (now + action.delay, number, slot, TimerDue(action.token)))
    return seen


@pytest.mark.parametrize("proxies", [6, 24, 80, 240])
def test_all_proxies_together_do_not_overload_a_cold_server(proxies: int) -> None:
    seen = sent_to_cold(proxies)
    span = SETTINGS.fall_time
    limit = SETTINGS.fall_multiple * SETTINGS.cold_share * RATE * span / 1000.0
    assert seen
    assert max(sum(1 for other in seen if at <= other < at + span) for at in seen) < limit


def refill_without_expiry(tokens: float, rate: float, elapsed: float, settings: Settings) -> float:
    """The usual token bucket, whose grants never expire."""
    return min(1.5, tokens + rate * elapsed / 1000.0)


def test_a_whole_initial_token_per_proxy_would_overload_it(monkeypatch: pytest.MonkeyPatch) -> None:
    """The check above can fail: with one initial token per proxy that never expires, 240 exceed the limit."""
    monkeypatch.setattr(slow_start, "refill", refill_without_expiry)
    monkeypatch.setattr(rules.Controller, "_mark_cold", mark_cold_with_a_token)
    seen = sent_to_cold(240)
    limit = SETTINGS.fall_multiple * SETTINGS.cold_share * RATE * SETTINGS.fall_time / 1000.0
    assert sum(1 for at in seen if at < seen[0] + SETTINGS.fall_time) > limit


def mark_cold_with_a_token(self: Controller, server: rules.Server, since: float, now: float) -> None:
    server.cold_from, server.cold_filled, server.cold_tokens = since, now, 1.0


def one_of(proxies: int, **more: object) -> Bench:
    bench = Bench(settings=replace(SETTINGS, proxies=proxies, **more), servers=3)  # type: ignore[arg-type]
    return bench


@pytest.mark.parametrize("proxies", [1, 6, 12])
def test_small_fleets_have_full_minimum_allowances(proxies: int) -> None:
    bench = one_of(proxies)
    bench.press("s0", 0.99)
    image = bench.controller.servers["s0"].image
    assert image is not None and image.rate == rules.BOUND_FLOOR and image.tokens == 1.0


@pytest.mark.parametrize("proxies", [24, 120, 300])
def test_rate_floors_of_all_proxies_have_a_constant_sum(proxies: int) -> None:
    bench = one_of(proxies)
    bench.press("s0", 0.99)
    image = bench.controller.servers["s0"].image
    assert image is not None and image.rate * proxies == pytest.approx(rules.SMALL_FLEET * rules.BOUND_FLOOR)


def test_a_tightened_image_keeps_only_part_of_its_bucket() -> None:
    bench = one_of(300)
    bench.press("s0", 0.2)
    image = bench.controller.servers["s0"].image
    assert image is not None
    image.tokens = 1.0
    bench.press("s0", 0.9)
    assert image.tokens < 0.2


def test_requested_share_above_one_is_limited() -> None:
    bench = one_of(300)
    for share in (1.2, 0.1, 1.5, 0.9):
        bench.press("s0", share)
        bench.advance(500.0)
    image = bench.controller.servers["s0"].image
    assert image is not None and image.hold_back <= rules.MAX_HOLD_BACK and image.rate > 0.0


def test_unanswered_set_ups_at_all_servers_are_bounded_in_a_large_fleet() -> None:
    small, large = one_of(6), one_of(300)
    assert len([send for at in range(3) for send in sends(small.offer(first=at))]) == 3
    assert len([send for at in range(3) for send in sends(large.offer(first=at))]) == 1
    assert sends(large.advance(400.0)), "a set-up unanswered for long no longer counts"


def test_redrawn_call_counts_as_offered_at_its_first_and_final_server() -> None:
    bench = one_of(3000)
    servers = bench.controller.servers
    servers["s0"].lines_paused_until = servers["s1"].lines_paused_until = bench.now + 1000.0
    [send] = sends(bench.offer(first=0))
    assert send.server == "s2"
    assert [len(servers[name].offered) for name in ("s0", "s1", "s2")] == [1, 0, 1]


def test_half_open_probe_waits_its_turn_until_other_proxies_are_answered() -> None:
    bench = one_of(300, may_tell_peers=True)
    [send] = sends(bench.offer())
    bench.end(send.ref, "s0", Ending.TIMED_OUT)
    server = bench.controller.servers["s0"]
    server.trial_turn = 60_000.0
    bench.advance(2500.0)
    bench.feed(PeerMessage(7, bytes([0, 1, 2])))
    assert server.trial_turn == 0.0


def test_gossip_reaches_few_peers_in_a_large_fleet_and_all_in_a_small_one() -> None:
    for proxies, expected in ((4, 3), (300, rules.GOSSIP_FANOUT)):
        bench = one_of(proxies, may_tell_peers=True)
        [send] = sends(bench.offer())
        bench.stand(send)
        got = [action for action in bench.advance(rules.GOSSIP_INTERVAL) if isinstance(action, TellPeer)]
        assert len({action.peer for action in got}) == len(got) == expected
        assert bench.settings.own_slot not in {action.peer for action in got}


def test_received_waits_are_forwarded_and_expire() -> None:
    bench = one_of(300, may_tell_peers=True)
    bench.feed(PeerMessage(7, bytes([1, 0, 60])))
    assert bench.controller.servers["s1"].image is not None
    got = [action for action in bench.advance(rules.GOSSIP_INTERVAL) if isinstance(action, TellPeer)]
    assert got and all(action.body[0] == 1 and action.body[2] == 60 for action in got)
    bench.advance(rules.WAIT_MAX_AGE)
    assert not [action for action in bench.advance(rules.GOSSIP_INTERVAL) if isinstance(action, TellPeer)]


@pytest.mark.parametrize("body", [b"", b"\x01", b"\x01\x02", b"\x01\x02\x03\x04", b"\xff\xff\xff"])
def test_truncated_peer_message_or_one_about_an_unknown_server_is_ignored(body: bytes) -> None:
    bench = one_of(300, may_tell_peers=True)
    for sender in (-1, 7, 300):
        bench.feed(PeerMessage(sender, body))
    assert all(
        server.image is None and server.seen_at is None for server in bench.controller.servers.values()
    )


def test_line_pause_ends_for_as_many_proxies_as_lines_are_free() -> None:
    ended = 0
    for seed in range(200):
        bench = Bench(settings=replace(SETTINGS, proxies=200), servers=1, seed=seed)
        server = bench.controller.servers["s0"]
        server.lines_paused_until = bench.now + 5000.0
        bench.feed(ProbeEnded("s0", Ending.DELIVERED, True, 0.0, Report(50.0, None, None)))
        ended += server.lines_paused_until <= bench.now
    assert 30 <= ended <= 70


def test_timers_run_only_while_calls_wait() -> None:
    bench = one_of(6)
    quiet = [action for action in bench.advance(10_000.0) if isinstance(action, SetTimer)]
    assert len(quiet) == 10_000.0 / rules.MAINTENANCE_PERIOD
    bench.controller.servers.clear()
    assert SetTimer(rules.TICK_TOKEN, bench.controller.tick_interval) in bench.offer()


def test_total_probe_rate_grows_with_the_square_root_of_the_fleet_size() -> None:
    counts = []
    for proxies in (12, 300):
        bench = one_of(proxies, may_probe=True, report_by=ReportBy.PROBES)
        asked = 0
        for _ in range(240):
            for action in bench.advance(rules.MAINTENANCE_PERIOD):
                if isinstance(action, Probe):
                    asked += 1
                    bench.feed(ProbeEnded(action.server, Ending.DELIVERED, False, 10.0, None))
        counts.append(asked)
    assert counts[0] / counts[1] == pytest.approx(math.sqrt(300 / 12), rel=0.25)


@pytest.mark.parametrize(("proxies", "goes_on"), [(6, True), (200, False)])
def test_large_fleet_probes_a_suspect_server_only_until_it_answers(proxies: int, goes_on: bool) -> None:
    bench = one_of(proxies, may_probe=True)
    [send] = sends(bench.offer())
    bench.end(send.ref, send.server, Ending.TIMED_OUT)
    assert bench.controller.servers[send.server].suspect
    asked = [action for action in bench.advance(rules.MAINTENANCE_PERIOD) if isinstance(action, Probe)]
    assert asked == [Probe(send.server)]
    bench.feed(ProbeEnded(send.server, Ending.DELIVERED, False, 10.0, None))
    later = [action for action in bench.advance(30_000.0) if isinstance(action, Probe)]
    assert bool(later) is goes_on and bench.controller.servers[send.server].suspect


def test_window_grows_with_throughput() -> None:
    def out(pace: float) -> int:
        bench = Bench(settings=replace(SETTINGS, proxies=200), servers=24)
        bench.controller.throughput = pace  # set-ups/s of a server of size 1
        return sum(len(sends(bench.offer(first=at % 24))) for at in range(40))

    light, heavy = out(0.1), out(2.0)
    assert light == 2 and heavy > 5 * light
