"""A small site in simulated time: real Controllers with modelled servers and callers, from one seed.

A server processes set-ups one at a time from a queue. It refuses a set-up if the wait is too long, and
processes a set-up even if it was given up. It reports the share to be held back, updated periodically. A
cold server starts at a share of its capacity. Callers redial up to three times with waits that double; a
call with its redials counts once for its worth.
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

LINK_DELAY_MS = 8.0  # in one direction
MAX_REDIALS = 3
OTHER_PROXY_SHARE = 0.1  # share of redials to a randomly chosen proxy instead of the home proxy
PROBE_TIMEOUT_MS = 1_000.0  # time after which a health check counts as unanswered
ASSIGNMENT_INTERVAL_MS = 250.0  # between two polls of a member's health-check assignment and overload


@dataclass
class SimulatedServer:
    """One session server.

    ``rate`` is its capacity in set-ups a second when warm and not slowed down; ``slowdown`` divides it.
    Times are in ms.
    """

    name: str
    place: int
    rate: float
    slowdown: float = 1.0
    started_at: float | None = None  # start of the warm-up; None: warm
    busy_until: float = 0.0
    reported_share: float = 0.0
    reported_at: float = -1e9
    received_at: list[float] = field(default_factory=list)  # of each set-up
    ignore_set_ups: bool = False  # does not answer set-ups
    ignore_health_checks: bool = False  # does not answer health checks
    health_checks: list[float] = field(default_factory=list)  # arrival time of each

    def capacity(self, now: float, settings: Settings) -> float:
        """Return the capacity in set-ups a second at ``now``."""
        share = 1.0
        if self.started_at is not None:
            share = warm_up_share(now - self.started_at, settings.cold_share, settings.cold_time)
        return self.rate * share / self.slowdown

    def queue_wait(self, now: float) -> float:
        """Return how long a set-up that arrives at ``now`` waits."""
        return max(0.0, self.busy_until - now)

    def report(self, now: float) -> Report:
        """Return the report, with the share to be held back as of its latest update."""
        if now - self.reported_at >= REPORT_INTERVAL_MS:
            self.reported_share, self.reported_at = hold_back_share(self.queue_wait(now)), now
        return Report(400.0, self.reported_share, None)


@dataclass(slots=True)
class SimulatedCall:
    """A call with its redials; times in ms."""

    class_index: int
    number: str
    started_at: float
    home_proxy: int  # index of the proxy that the caller dials, except for some redials
    dials: int = 0
    stood_at: float | None = None


class SimulatedSite:
    """Proxies, servers and callers on one simulated clock in ms."""

    def __init__(
        self, settings: Settings, proxy_count: int, servers: list[SimulatedServer], seed: int
    ) -> None:
        self.settings, self.servers = settings, {server.name: server for server in servers}
        self.rng, self.seed = random.Random(seed), seed
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.refs = itertools.count(1)
        self.calls: list[SimulatedCall] = []
        # By ref: proxy index, call, deadline.
        self.open_calls: dict[int, tuple[int, SimulatedCall, float]] = {}
        # By ref and attempt number: proxy index, server name, time of sending.
        self.outstanding_attempts: dict[tuple[int, int], tuple[int, str, float]] = {}
        self.attempt_counts: Counter[int] = Counter()
        self.sent_set_ups: list[tuple[float, str]] = []
        self.incarnations = [0] * proxy_count  # restarts of each proxy
        self.fleet: SimulatedFleet | None = None
        self.assignments: list[HealthCheckAssignment] = []
        self.overloads: list[overload.Overload] = []
        self.controllers = [self.new_controller(index) for index in range(proxy_count)]

    def schedule_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule ``callback`` for the time ``when``."""
        heapq.heappush(self.queue, (when, next(self.sequence), callback))

    def run(self, until: float) -> None:
        """Run all callbacks due up to ``until`` and set the clock to it."""
        while self.queue and self.queue[0][0] <= until:
            if self.fleet is not None:
                self.fleet.run(self.queue[0][0])
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        self.now = until

    # ---- the fleet ----------------------------------------------------------------------------------------

    def join_fleet(
        self, fleet: SimulatedFleet, overload_control: bool = False, without: frozenset[str] = frozenset()
    ) -> None:
        """Make the proxies the members ``n0``, ``n1`` and so on of ``fleet``, which shares this clock.

        With ``overload_control`` they coordinate overload control, except the parts in ``without``.
        """
        self.fleet = fleet
        fleet.now = self.now
        fleet.start_converged()
        self.assignments = [
            HealthCheckAssignment(member.name, member.zone) for member in fleet.members.values()
        ]
        if overload_control:
            worths = {call_class.name: call_class.worth for call_class in self.settings.classes}
            self.overloads = [
                overload.Overload(
                    member.name,
                    member.core.me.process_id,
                    worths,
                    self.settings.max_hold_off,
                    self.controllers[index].tolerable_wait,
                    self.seed + index,
                )
                for index, member in enumerate(fleet.members.values())
                if member.core is not None
            ]
            for member_overload in self.overloads:
                member_overload.disabled = without
        for index in range(len(self.controllers)):
            self.schedule_at(
                self.now + self.rng.uniform(0.0, ASSIGNMENT_INTERVAL_MS),
                lambda index=index: self._poll_fleet(index),  # type: ignore[misc]
            )

    def _poll_fleet(self, index: int) -> None:
        assert self.fleet is not None
        self.schedule_at(self.now + ASSIGNMENT_INTERVAL_MS, lambda: self._poll_fleet(index))
        name, member = f"n{index}", self.fleet.members[f"n{index}"]
        if member.core is None or member.stopped:
            return
        now = member.local_time(self.now)
        result, _ = evaluate_assignment(
            member.core, self.assignments[index], now, self.controllers[index].servers
        )
        for kind, expires_at, body in result.entries:
            self.fleet.publish(name, kind, body, expires_at)
        for event in result.events:
            self.handle_event(index, event)
        for server in result.health_checks:
            self._probe(index, server)
        if self.overloads:
            self._poll_overload(index, now)

    def _poll_overload(self, index: int, now: float) -> None:
        """Poll with the member's own clock, which may differ from the Controller's, as in production."""
        assert self.fleet is not None
        member, member_overload, controller = (
            self.fleet.members[f"n{index}"],
            self.overloads[index],
            self.controllers[index],
        )
        assert member.core is not None
        retry_tokens = (
            controller.retry_tokens if self.now < controller.retry_tokens_expire_at < math.inf else 0.0
        )
        outcome, unreadable = overload.poll(
            member.core, member_overload, now, controller.servers, retry_tokens
        )
        assert not unreadable, "an unreadable overload message"
        for event in outcome.events:
            self.handle_event(index, event)
        if outcome.message is not None:
            self.fleet.publish(member.name, overload.LOAD_KIND, outcome.message, overload.LOAD_EXPIRY)

    # ---- proxies ------------------------------------------------------------------------------------------

    def server_entries(self) -> tuple[ServerEntry, ...]:
        """Return the current servers as entries of a server list."""
        return tuple(
            ServerEntry(server.name, server.place, "z", ServerState.OPEN, server.started_at, 1.0)
            for server in self.servers.values()
        )

    def new_controller(self, index: int) -> Controller:
        """Create the Controller of a proxy, with a seed per incarnation, and pass it the server list."""
        controller = Controller(self.settings, self.seed * 1000 + index * 10 + self.incarnations[index])
        server_list = ServerList(ListKind.REMEMBERED, self.server_entries())
        self._execute_actions(index, controller.handle(self.now, server_list))
        return controller

    def restart(self, index: int, transfer_state: Callable[[Controller, Controller], None]) -> None:
        """Restart a proxy: its open calls are lost, and their callers redial.

        ``transfer_state`` may copy state from the old Controller to the new one.
        """
        old = self.controllers[index]
        self.incarnations[index] += 1
        for ref in [ref for ref, (proxy, _, _) in self.open_calls.items() if proxy == index]:
            _, call, _ = self.open_calls.pop(ref)
            self._redial(call, 0.0)
        for key in [key for key, (proxy, _, _) in self.outstanding_attempts.items() if proxy == index]:
            del self.outstanding_attempts[key]
        new = self.controllers[index] = self.new_controller(index)
        transfer_state(old, new)

    def replace(
        self, old: str, new: SimulatedServer, notice_delay: Callable[[int], float] = lambda index: 0.0
    ) -> None:
        """Replace the server ``old`` by a cold one.

        ``notice_delay`` gives the ms after which each proxy, by index, is notified.
        """
        del self.servers[old]
        self.servers[new.name] = new
        gone = ServerEntry(old, new.place, "z", ServerState.GONE, None, 1.0)
        server_list = ServerList(ListKind.CHANGES, (gone, *self.server_entries()))
        for index in range(len(self.controllers)):
            self.schedule_at(
                self.now + notice_delay(index),
                lambda index=index: self.handle_event(index, server_list),  # type: ignore[misc]
            )

    def handle_event(self, index: int, event: Event) -> None:
        """Pass an event to a proxy's Controller and execute the actions that it returns.

        If the proxy is in a fleet, its overload control and its health-check assignment observe the event.
        """
        controller = self.controllers[index]
        self._execute_actions(index, controller.handle(self.now, event))
        if self.overloads:
            self.overloads[index].observe(self.fleet.members[f"n{index}"].local_time(self.now), event)  # type: ignore[union-attr]
        is_observation = isinstance(event, (ProbeEnded, Stands, AttemptEnded))
        if self.fleet is not None and is_observation and event.server in self.assignments[index].watched:  # type: ignore[union-attr]
            self.assignments[index].observe(self.fleet.members[f"n{index}"].local_time(self.now), event)

    def _execute_actions(self, index: int, actions: list[Action]) -> None:
        incarnation = self.incarnations[index]
        for action in list(actions):
            match action:
                case SetTimer(token, delay):
                    self.schedule_at(
                        self.now + delay,
                        lambda token=token: self._timer_expired(index, incarnation, token),  # type: ignore[misc]
                    )
                case SendSetUp():
                    self._send_set_up(index, action)
                case Refuse() | Fail():
                    entry = self.open_calls.pop(action.ref, None)
                    if entry is not None:
                        self._redial(entry[1], action.hold_off if isinstance(action, Refuse) else 0.0)
                case CancelAttempt(ref, attempt):
                    if (ref, attempt) in self.outstanding_attempts:
                        self.schedule_at(
                            self.now,
                            lambda ref=ref, number=attempt: self._end_attempt(ref, number, Ending.CANCELLED),  # type: ignore[misc]
                        )
                case Probe(name):
                    self._probe(index, name)

    def _timer_expired(self, index: int, incarnation: int, token: int) -> None:
        if self.incarnations[index] == incarnation:
            self.handle_event(index, TimerDue(token))

    def _probe(self, index: int, name: str) -> None:
        server, incarnation = self.servers.get(name), self.incarnations[index]
        if server is not None:
            server.health_checks.append(self.now + LINK_DELAY_MS)
            delay = PROBE_TIMEOUT_MS if server.ignore_health_checks else 2 * LINK_DELAY_MS
            self.schedule_at(self.now + delay, lambda: self._probe_ended(index, incarnation, name))

    def _probe_ended(self, index: int, incarnation: int, name: str) -> None:
        server = self.servers.get(name)
        if self.incarnations[index] != incarnation or server is None:
            return
        if server.ignore_health_checks:
            self.handle_event(index, ProbeEnded(name, Ending.TIMED_OUT, False, PROBE_TIMEOUT_MS, None))
        else:
            self.handle_event(
                index, ProbeEnded(name, Ending.DELIVERED, False, 2 * LINK_DELAY_MS, server.report(self.now))
            )

    def _send_set_up(self, index: int, action: SendSetUp) -> None:
        attempt = self.attempt_counts[action.ref]
        self.attempt_counts[action.ref] += 1
        ref, key = action.ref, (action.ref, attempt)
        self.outstanding_attempts[key] = (index, action.server, self.now)
        self.sent_set_ups.append((self.now, action.server))
        self.schedule_at(self.now + LINK_DELAY_MS, lambda: self._set_up_arrives(key))
        self.schedule_at(
            self.now + action.patience, lambda: self._end_attempt(ref, attempt, Ending.TIMED_OUT)
        )

    # ---- servers ------------------------------------------------------------------------------------------

    def _set_up_arrives(self, key: tuple[int, int]) -> None:
        attempt = self.outstanding_attempts.get(key)
        if attempt is None:
            return
        server = self.servers.get(attempt[1])
        if server is None:
            self._end_attempt(*key, Ending.UNREACHABLE)
            return
        server.received_at.append(self.now)
        if server.ignore_set_ups:
            return
        work = 1000.0 / server.capacity(self.now, self.settings)
        if server.queue_wait(self.now) > MAX_QUEUE_WAIT_MS:
            server.busy_until += REFUSAL_COST * work
            self.schedule_at(
                self.now + LINK_DELAY_MS,
                lambda: self._end_attempt(*key, Ending.FULL, server.report(self.now)),
            )
            return
        server.busy_until = max(server.busy_until, self.now) + work
        self.schedule_at(server.busy_until + LINK_DELAY_MS, lambda: self._call_stands(key))

    def _call_stands(self, key: tuple[int, int]) -> None:
        attempt, entry = self.outstanding_attempts.pop(key, None), self.open_calls.pop(key[0], None)
        if attempt is None or entry is None:
            return
        index, name, sent_at = attempt
        entry[1].stood_at = self.now
        incarnation = self.incarnations[index]
        self.handle_event(index, Stands(key[0], key[1], name, self.now - sent_at))
        duration = self.rng.expovariate(1.0 / 6000.0)
        self.schedule_at(self.now + duration, lambda: self._end_standing_call(index, incarnation, key, name))

    def _end_standing_call(self, index: int, incarnation: int, key: tuple[int, int], name: str) -> None:
        server = self.servers.get(name)
        if self.incarnations[index] == incarnation and server is not None:
            report = server.report(self.now)
            self.handle_event(index, AttemptEnded(*key, name, Ending.DELIVERED, True, False, 0.0, report))

    def _end_attempt(self, ref: int, attempt: int, ending: Ending, report: Report | None = None) -> None:
        outstanding = self.outstanding_attempts.pop((ref, attempt), None)
        if outstanding is not None:
            index, name, sent_at = outstanding
            settled = ref not in self.open_calls
            self.handle_event(
                index, AttemptEnded(ref, attempt, name, ending, settled, False, self.now - sent_at, report)
            )

    # ---- callers ------------------------------------------------------------------------------------------

    def offer_calls(
        self,
        until: float,
        rate: float,
        shares: tuple[float, ...],
        home_shares: tuple[float, ...] | None = None,
    ) -> None:
        """Schedule first tries as a Poisson process until ``until``, ``rate`` a second.

        ``shares`` gives the relative frequency of each class, ``home_shares`` that of each home proxy.
        """
        when = self.now
        while (when := when + self.rng.expovariate(rate / 1000.0)) < until:
            class_index = self.rng.choices(range(len(shares)), shares)[0]
            home_proxy = self.rng.choices(range(len(self.controllers)), home_shares)[0]
            call = SimulatedCall(class_index, f"{self.rng.getrandbits(48):x}", when, home_proxy)
            self.calls.append(call)
            self.schedule_at(when, lambda call=call: self._dial(call))  # type: ignore[misc]

    def _dial(self, call: SimulatedCall) -> None:
        call_class = self.settings.classes[call.class_index]
        call.dials += 1
        ref = next(self.refs)
        index = call.home_proxy
        if call.dials > 1 and self.rng.random() < OTHER_PROXY_SHARE:
            index = self.rng.randrange(len(self.controllers))
        time_left = call_class.deadline * self.rng.uniform(0.3, 0.4)
        first_choice = self.rng.choice([server.place for server in self.servers.values()])
        self.open_calls[ref] = (index, call, self.now + time_left)
        self.handle_event(
            index,
            SetUpOffered(ref, call_class.name, None, call.number, time_left, first_choice, False, False),
        )

    def _redial(self, call: SimulatedCall, hold_off: float) -> None:
        if call.dials <= MAX_REDIALS:
            delay = redial_delay(call.dials, hold_off, HOLD_OFF_COMPLIANCE, self.rng)
            self.schedule_at(self.now + delay, lambda: self._dial(call))

    # ---- results ------------------------------------------------------------------------------------------

    def served_share(self, begin: float, end: float) -> float:
        """Return the share of worth served, of the calls with a first try between ``begin`` and ``end``.

        A call is served if it stands within its class's aim, counted from the first try. The share is 1 if
        there are no calls.
        """
        served_worth = offered_worth = 0.0
        for call in self.calls:
            if begin <= call.started_at < end:
                call_class = self.settings.classes[call.class_index]
                offered_worth += call_class.worth
                if call.stood_at is not None and call.stood_at <= call.started_at + call_class.aim:
                    served_worth += call_class.worth
        return served_worth / offered_worth if offered_worth else 1.0

    def _cold_windows(self, server: SimulatedServer) -> Iterator[tuple[int, float]]:
        """Yield, for each set-up at a cold server, the number received and allowed within ``fall_time``."""
        window_length = self.settings.fall_time
        window: deque[float] = deque()
        for received_at in server.received_at:
            if server.started_at is None or received_at > server.started_at + self.settings.cold_time:
                break
            window.append(received_at)
            while window[0] <= received_at - window_length:
                window.popleft()
            yield (
                len(window),
                self.settings.fall_multiple
                * server.capacity(received_at, self.settings)
                * window_length
                / 1000.0,
            )

    def cold_start_load_beyond_chance(self, server: SimulatedServer) -> float:
        """Return the highest load relative to the allowed one plus two standard deviations plus 2.

        The limit is 1.
        """
        windows = self._cold_windows(server)
        return max(
            (count / (allowed + 2.0 * math.sqrt(allowed) + 2.0) for count, allowed in windows), default=0.0
        )

    def cold_start_load(self, server: SimulatedServer) -> float:
        """Return the highest load relative to the allowed one (limit: 1)."""
        return max((count / max(1.0, allowed) for count, allowed in self._cold_windows(server)), default=0.0)
