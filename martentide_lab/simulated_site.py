"""A small site in simulated time: real Controllers, modelled servers and callers, all from one seed.

A server is one processor with one line: a set-up waits for those before it, is turned away past a longest
wait, and is worked on even if it was given up. It reports the share to be held back, refreshed now and then.
A cold one begins at a share of its capacity. Callers dial again, up to three times, as one story for its
worth, after waits that double.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from martentide.fleet.health_check_assignment import HealthCheckAssignment, evaluate_assignment
from martentide.interface import (
    Action,
    AttemptEnded,
    CancelAttempt,
    Ending,
    Event,
    Fail,
    ListKind,
    Probe,
    ProbeEnded,
    Refuse,
    Report,
    SendSetUp,
    ServerEntry,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    SetUpOffered,
    Stands,
    TimerDue,
)
from martentide.overload import core as overload
from martentide.rules import Controller
from martentide_lab.fleet.simulated import SimulatedFleet
from martentide_lab.load_model import (
    HOLD_OFF_COMPLIANCE,
    MAX_QUEUE_WAIT_MS,
    REFUSAL_COST,
    REPORT_INTERVAL_MS,
    hold_back_share,
    redial_delay,
    warm_up_share,
)

LINK_DELAY_MS = 8.0  # ms one way
MAX_REDIALS = 3
OTHER_PROXY_SHARE = 0.1  # of redials that come to another proxy than the caller's own
PROBE_TIMEOUT_MS = 1_000.0  # ms after which a test counts as unanswered
ASSIGNMENT_INTERVAL_MS = 250.0  # ms between two looks at the duty of testing


@dataclass
class SimulatedServer:
    """One session server. ``rate``: set-ups a second when warm; ``slowdown`` times slower."""

    name: str
    place: int
    rate: float
    slowdown: float = 1.0
    started_at: float | None = None
    busy_until: float = 0.0
    reported_share: float = 0.0
    reported_at: float = -1e9
    received_at: list[float] = field(default_factory=list)
    ignore_set_ups: bool = False  # answers no set-up
    ignore_health_checks: bool = False  # answers no test either
    health_checks: list[float] = field(default_factory=list)

    def capacity(self, now: float, settings: Settings) -> float:
        """Set-ups a second at that time."""
        share = 1.0
        if self.started_at is not None:
            share = warm_up_share(now - self.started_at, settings.cold_share, settings.cold_time)
        return self.rate * share / self.slowdown

    def wait(self, now: float) -> float:
        return max(0.0, self.busy_until - now)

    def report(self, now: float) -> Report:
        if now - self.reported_at >= REPORT_INTERVAL_MS:
            self.reported_share, self.reported_at = hold_back_share(self.wait(now)), now
        return Report(400.0, self.reported_share, None)


@dataclass(slots=True)
class SimulatedCall:
    """A call and its redials."""

    class_index: int
    number: str
    started_at: float
    home_proxy: int  # the proxy it dials at
    dials: int = 0
    stood_at: float | None = None


class SimulatedSite:
    """Proxies, servers and callers on one clock; ``run`` plays until a time."""

    def __init__(self, settings: Settings, proxies: int, servers: list[SimulatedServer], seed: int) -> None:
        self.settings, self.servers = settings, {server.name: server for server in servers}
        self.rng, self.seed = random.Random(seed), seed
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.refs = itertools.count(1)
        self.calls: list[SimulatedCall] = []
        self.open_calls: dict[int, tuple[int, SimulatedCall, float]] = {}  # proxy, story, deadline
        self.attempts_out: dict[tuple[int, int], tuple[int, str, float]] = {}
        self.attempt_counts: Counter[int] = Counter()
        self.sent_set_ups: list[tuple[float, str]] = []
        self.incarnations = [0] * proxies
        self.fleet: SimulatedFleet | None = None
        self.assignments: list[HealthCheckAssignment] = []
        self.overloads: list[overload.Overload] = []
        self.controllers = [self.new_controller(at) for at in range(proxies)]

    def schedule_at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.sequence), what))

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            if self.fleet is not None:
                self.fleet.run(self.queue[0][0])
            self.now, _, what = heapq.heappop(self.queue)
            what()
        self.now = until

    # ---- the fleet ----------------------------------------------------------------------------------------

    def join_fleet(
        self, fleet: SimulatedFleet, overload_control: bool = False, without: frozenset[str] = frozenset()
    ) -> None:
        """The proxies are members, ``n0`` and on, from now on; the fleet's clock is this one.
        ``overload_control``: they handle overload together, ``without`` some parts of that."""
        self.fleet = fleet
        fleet.now = self.now
        fleet.start_acquainted()
        self.assignments = [HealthCheckAssignment(node.name, node.zone) for node in fleet.members.values()]
        if overload_control:
            worths = {kind.name: kind.worth for kind in self.settings.classes}
            self.overloads = [
                overload.Overload(
                    node.name,
                    node.core.me.process_id,
                    worths,
                    self.settings.max_hold_off,
                    self.controllers[at].tolerable_wait,
                    self.seed + at,
                )
                for at, node in enumerate(fleet.members.values())
                if node.core is not None
            ]
            for part in self.overloads:
                part.disabled = without
        for at in range(len(self.controllers)):
            self.schedule_at(
                self.now + self.rng.uniform(0.0, ASSIGNMENT_INTERVAL_MS),
                lambda at=at: self._look(at),  # type: ignore[misc]
            )

    def _look(self, at: int) -> None:
        assert self.fleet is not None
        self.schedule_at(self.now + ASSIGNMENT_INTERVAL_MS, lambda: self._look(at))
        name, node = f"n{at}", self.fleet.members[f"n{at}"]
        if node.core is None or node.stopped:
            return
        now = node.own_time(self.now)
        outlook, _ = evaluate_assignment(node.core, self.assignments[at], now, self.controllers[at].servers)
        for kind, end, body in outlook.entries:
            self.fleet.publish(name, kind, body, end)
        for event in outlook.events:
            self.handle_event(at, event)
        for server in outlook.health_checks:
            self._probe(at, server)
        if self.overloads:
            self._shed(at, now)

    def _shed(self, at: int, now: float) -> None:
        """The member's own clock differs from the decisions' here, as it may in service."""
        assert self.fleet is not None
        node, part, controller = self.fleet.members[f"n{at}"], self.overloads[at], self.controllers[at]
        assert node.core is not None
        purse = controller.retry_tokens if self.now < controller.retry_tokens_expire_at < math.inf else 0.0
        outcome, bad = overload.poll(node.core, part, now, controller.servers, purse)
        assert not bad, "a word that could not be read"
        for event in outcome.events:
            self.handle_event(at, event)
        if outcome.message is not None:
            self.fleet.publish(node.name, overload.LOAD_KIND, outcome.message, overload.LOAD_EXPIRY)

    # ---- proxies ------------------------------------------------------------------------------------------

    def entries(self) -> tuple[ServerEntry, ...]:
        return tuple(
            ServerEntry(one.name, one.place, "z", ServerState.OPEN, one.started_at, 1.0)
            for one in self.servers.values()
        )

    def new_controller(self, at: int) -> Controller:
        controller = Controller(self.settings, self.seed * 1000 + at * 10 + self.incarnations[at])
        told = ServerList(ListKind.REMEMBERED, self.entries())
        self._acted(at, controller.handle(self.now, told))
        return controller

    def restart(self, at: int, transfer_state: Callable[[Controller, Controller], None]) -> None:
        """The proxy ends and begins anew: its open calls are lost, and dialled again by their callers.
        ``transfer_state`` may hand state from the old Controller to the new."""
        old = self.controllers[at]
        self.incarnations[at] += 1
        for ref in [ref for ref, (proxy, _, _) in self.open_calls.items() if proxy == at]:
            _, story, _ = self.open_calls.pop(ref)
            self._redial(story, 0.0)
        for key in [key for key, (proxy, _, _) in self.attempts_out.items() if proxy == at]:
            del self.attempts_out[key]
        new = self.controllers[at] = self.new_controller(at)
        transfer_state(old, new)

    def replace(
        self, old: str, new: SimulatedServer, notice_delay: Callable[[int], float] = lambda at: 0.0
    ) -> None:
        """A cold server takes the place of another; each proxy is told so many ms later
        (``notice_delay``)."""
        del self.servers[old]
        self.servers[new.name] = new
        gone = ServerEntry(old, new.place, "z", ServerState.GONE, None, 1.0)
        told = ServerList(ListKind.CHANGES, (gone, *self.entries()))
        for at in range(len(self.controllers)):
            self.schedule_at(self.now + notice_delay(at), lambda at=at: self.handle_event(at, told))  # type: ignore[misc]

    def handle_event(self, at: int, event: Event) -> None:
        controller = self.controllers[at]
        self._acted(at, controller.handle(self.now, event))
        if self.overloads:
            self.overloads[at].observe(self.fleet.members[f"n{at}"].own_time(self.now), event)  # type: ignore[union-attr]
        told = isinstance(event, (ProbeEnded, Stands, AttemptEnded))
        if self.fleet is not None and told and event.server in self.assignments[at].watched:  # type: ignore[union-attr]
            self.assignments[at].observe(self.fleet.members[f"n{at}"].own_time(self.now), event)

    def _acted(self, at: int, actions: list[Action]) -> None:
        life = self.incarnations[at]
        for action in list(actions):
            match action:
                case SetTimer(token, delay):
                    self.schedule_at(self.now + delay, lambda t=token: self._timer(at, life, t))  # type: ignore[misc]
                case SendSetUp():
                    self._send(at, action)
                case Refuse() | Fail():
                    entry = self.open_calls.pop(action.ref, None)
                    if entry is not None:
                        self._redial(entry[1], action.hold_off if isinstance(action, Refuse) else 0.0)
                case CancelAttempt(ref, attempt):
                    if (ref, attempt) in self.attempts_out:
                        self.schedule_at(self.now, lambda r=ref, a=attempt: self._end(r, a, Ending.CANCELLED))  # type: ignore[misc]
                case Probe(name):
                    self._probe(at, name)

    def _timer(self, at: int, life: int, token: int) -> None:
        if self.incarnations[at] == life:
            self.handle_event(at, TimerDue(token))

    def _probe(self, at: int, name: str) -> None:
        server, life = self.servers.get(name), self.incarnations[at]
        if server is not None:
            server.health_checks.append(self.now + LINK_DELAY_MS)
            after = PROBE_TIMEOUT_MS if server.ignore_health_checks else 2 * LINK_DELAY_MS
            self.schedule_at(self.now + after, lambda: self._probed(at, life, name))

    def _probed(self, at: int, life: int, name: str) -> None:
        server = self.servers.get(name)
        if self.incarnations[at] != life or server is None:
            return
        if server.ignore_health_checks:
            self.handle_event(at, ProbeEnded(name, Ending.TIMED_OUT, False, PROBE_TIMEOUT_MS, None))
        else:
            self.handle_event(
                at, ProbeEnded(name, Ending.DELIVERED, False, 2 * LINK_DELAY_MS, server.report(self.now))
            )

    def _send(self, at: int, action: SendSetUp) -> None:
        attempt = self.attempt_counts[action.ref]
        self.attempt_counts[action.ref] += 1
        ref, key = action.ref, (action.ref, attempt)
        self.attempts_out[key] = (at, action.server, self.now)
        self.sent_set_ups.append((self.now, action.server))
        self.schedule_at(self.now + LINK_DELAY_MS, lambda: self._arrive(key))
        self.schedule_at(self.now + action.patience, lambda: self._end(ref, attempt, Ending.TIMED_OUT))

    # ---- servers ------------------------------------------------------------------------------------------

    def _arrive(self, key: tuple[int, int]) -> None:
        known = self.attempts_out.get(key)
        if known is None:
            return
        server = self.servers.get(known[1])
        if server is None:
            self._end(*key, Ending.UNREACHABLE)
            return
        server.received_at.append(self.now)
        if server.ignore_set_ups:
            return
        work = 1000.0 / server.capacity(self.now, self.settings)
        if server.wait(self.now) > MAX_QUEUE_WAIT_MS:
            server.busy_until += REFUSAL_COST * work
            self.schedule_at(
                self.now + LINK_DELAY_MS, lambda: self._end(*key, Ending.FULL, server.report(self.now))
            )
            return
        server.busy_until = max(server.busy_until, self.now) + work
        self.schedule_at(server.busy_until + LINK_DELAY_MS, lambda: self._stands(key))

    def _stands(self, key: tuple[int, int]) -> None:
        known, entry = self.attempts_out.pop(key, None), self.open_calls.pop(key[0], None)
        if known is None or entry is None:
            return
        at, name, sent = known
        entry[1].stood_at = self.now
        life = self.incarnations[at]
        self.handle_event(at, Stands(key[0], key[1], name, self.now - sent))
        hold = self.rng.expovariate(1.0 / 6000.0)
        self.schedule_at(self.now + hold, lambda: self._over(at, life, key, name))

    def _over(self, at: int, life: int, key: tuple[int, int], name: str) -> None:
        server = self.servers.get(name)
        if self.incarnations[at] == life and server is not None:
            report = server.report(self.now)
            self.handle_event(at, AttemptEnded(*key, name, Ending.DELIVERED, True, False, 0.0, report))

    def _end(self, ref: int, attempt: int, ending: Ending, report: Report | None = None) -> None:
        known = self.attempts_out.pop((ref, attempt), None)
        if known is not None:
            at, name, sent = known
            settled = ref not in self.open_calls
            self.handle_event(
                at, AttemptEnded(ref, attempt, name, ending, settled, False, self.now - sent, report)
            )

    # ---- callers ------------------------------------------------------------------------------------------

    def offer_calls(
        self, until: float, rate: float, shares: tuple[float, ...], homes: tuple[float, ...] | None = None
    ) -> None:
        """Poisson arrivals of first tries, ``rate`` a second; ``homes``: the proxies' parts of them."""
        when = self.now
        while (when := when + self.rng.expovariate(rate / 1000.0)) < until:
            kind = self.rng.choices(range(len(shares)), shares)[0]
            home = self.rng.choices(range(len(self.controllers)), homes)[0]
            story = SimulatedCall(kind, f"{self.rng.getrandbits(48):x}", when, home)
            self.calls.append(story)
            self.schedule_at(when, lambda s=story: self._dial(s))  # type: ignore[misc]

    def _dial(self, story: SimulatedCall) -> None:
        kind = self.settings.classes[story.class_index]
        story.dials += 1
        ref = next(self.refs)
        at = story.home_proxy
        if story.dials > 1 and self.rng.random() < OTHER_PROXY_SHARE:
            at = self.rng.randrange(len(self.controllers))
        left = kind.deadline * self.rng.uniform(0.3, 0.4)
        choice = self.rng.choice([server.place for server in self.servers.values()])
        self.open_calls[ref] = (at, story, self.now + left)
        self.handle_event(at, SetUpOffered(ref, kind.name, None, story.number, left, choice, False, False))

    def _redial(self, story: SimulatedCall, hold_off: float) -> None:
        if story.dials <= MAX_REDIALS:
            wait = redial_delay(story.dials, hold_off, HOLD_OFF_COMPLIANCE, self.rng)
            self.schedule_at(self.now + wait, lambda: self._dial(story))

    # ---- what came of it ----------------------------------------------------------------------------------

    def served(self, begin: float, end: float) -> float:
        """Worth of the stories begun in the span that stood within the aim, over the worth begun."""
        got = asked = 0.0
        for story in self.calls:
            if begin <= story.started_at < end:
                kind = self.settings.classes[story.class_index]
                asked += kind.worth
                if story.stood_at is not None and story.stood_at <= story.started_at + kind.aim:
                    got += kind.worth
        return got / asked if asked else 1.0

    def _cold_windows(self, server: SimulatedServer) -> Iterator[tuple[int, float]]:
        """For each set-up that came to a cold server: how many came in the fall-over time, how many may."""
        span = self.settings.fall_time
        window: deque[float] = deque()
        for when in server.received_at:
            if server.started_at is None or when > server.started_at + self.settings.cold_time:
                break
            window.append(when)
            while window[0] <= when - span:
                window.popleft()
            yield (
                len(window),
                self.settings.fall_multiple * server.capacity(when, self.settings) * span / 1000.0,
            )

    def cold_start_load_beyond_chance(self, server: SimulatedServer) -> float:
        """The worst window, over what may come with twice its deviation and two more (1: the limit)."""
        windows = self._cold_windows(server)
        return max((count / (may + 2.0 * math.sqrt(may) + 2.0) for count, may in windows), default=0.0)

    def cold_start_load(self, server: SimulatedServer) -> float:
        """The worst window, over what the rule allows (1: the limit)."""
        return max((count / max(1.0, may) for count, may in self._cold_windows(server)), default=0.0)
