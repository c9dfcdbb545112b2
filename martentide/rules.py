"""Admission decisions of a signalling proxy. Events and actions are defined in ``martentide/interface.py``.

Overload control follows "The IN SCP's overload protection mechanism": each session server has a gap image
(bound rate u, expiry), refreshed by each pressure report. First set-ups above u are refused before sending; a
call gapped at one server is redrawn among the others; a server without reports is not limited. Further guards
enforce the platform's five rules and handle failing servers. Times are in ms.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from martentide.interface import (
    Action, Admission, AttemptEnded, CallClass, CallerGone, CancelAttempt, ColdShare, Ending, Event, Fail,
    FollowList, ListKind, PeerMessage, PeerNews, Probe, ProbeEnded, Refuse, Repeat,
    RepeatBudget, Report, ReportBy, SendSetUp, ServerEntry, ServerList, ServerState, SetTimer, Settings,
    SettingsChanged, SetUpOffered, Stands, TellPeer, TestDuty, TimerDue,
)  # fmt: skip
from martentide.overload import admission_threshold, gossip, slow_start

# ---- fleet ----------------------------------------------------------------------------------------------
SMALL_FLEET = 12.0  # proxies; in larger fleets, per-proxy minimum allowances are scaled down to this total

# ---- gap image ------------------------------------------------------------------------------------------
IMAGE_LIFETIME = 6000.0  # ms from the last report until an image expires (figure from the paper)
OFFERED_WINDOW = 2000.0  # ms over which offered first set-ups are counted (figure from the paper)
BOUND_FLOOR = 1.0  # set-ups/s: lower limit of an image's rate (figure from the paper)
BUCKET_DEPTH = 2.0  # set-ups; strict spacing at low rates would refuse more calls than u requires
BUCKET_SPAN = 100.0  # ms of u that the bucket holds if that is more: absorbs random bursts
NETWORK_JITTER = 0.3  # share of the shortest observed lag; variation within it is not counted as a wait
MAX_NETWORK_LAG = 50.0  # ms of the shortest observed lag attributed to the network, not to the server
RESERVED_TOKENS = 0.8  # set-ups reserved for the highest-worth class, less as worth rises (trunk reservation)
# Level table: wait as a share of the tolerable wait -> share of new set-ups held back.
HOLD_BACK_LEVELS = ((0.12, 0.1), (0.25, 0.25), (0.5, 0.5), (0.8, 0.7), (1.2, 0.9))
TOLERABLE_SHARE_OF_AIM = 0.6  # tolerable wait as a share of the shortest aim (or repeat interval, if shorter)
FULL_HOLD_BACK = 0.7  # share held back after a refusal by a full processor
MAX_HOLD_BACK = 0.98  # share; some calls must still be sent, since their answers carry the next report
HOLD_BACK_DECAY = 0.9  # factor on an earlier share per answer without a wait: server pauses end abruptly
HOLD_BACK_HALF_LIFE = 1500.0  # ms in which an earlier, higher share halves once reports ask for less

# ---- lines and choice of server -------------------------------------------------------------------------
LINE_PAUSE = 150.0  # ms without new set-ups after "no free line"; lines are freed continually
RESERVED_LINES = 3  # reported free lines reserved for the highest-worth class (trunk reservation)
WAIT_HALF_LIFE = 3000.0  # ms in which a remembered wait or lag halves, so that weights recover gradually
HALF_WEIGHT_WAIT = 150.0  # ms of wait at which a server's weight is halved

# ---- health ---------------------------------------------------------------------------------------------
UNANSWERED_SHARE = 0.6  # of the tolerable wait: a server with an older unanswered set-up gets no more
OVERTAKE_MARGIN = 60.0  # ms; a set-up sent this long before one that stands is lost: jitter is smaller
MAX_UNANSWERED = 2  # unanswered set-ups per server, or, if more, this multiple of those offered per SLOW_LAG
BACKLOG_SHARE = 0.8  # limit on unanswered set-ups in a large fleet: part of those served in UNANSWERED_SHARE
SLOW_LAG = 150.0  # ms; a slower server gets, in each of its lags, only its usual set-ups per SLOW_LAG
TRIAL_GAP = 300.0  # ms before the first half-open probe of a suspect server; doubles with each failure
COLD_AFTER_SILENCE = 6000.0  # ms without a connection after which a recovered server is treated as cold
MAX_TRIAL_GAP = 2000.0  # ms between two half-open probes
FAULT_WEIGHT = 0.3  # weight of one outcome in a server's moving average of faults
MAX_ERRORS = 2  # error answers after which the call itself is taken to be at fault
FAULT_THRESHOLD = 0.4  # fault average above which a server is suspect: two errors in a row, not a single one
TRIAL_REFERENCE_WAIT = 600.0  # ms; a shorter tolerable wait scales TICK, trial gaps and TRIAL_SPREAD down
TRIAL_SHARE = 0.3  # of a server's usual load from this proxy: rate of half-open probes in a large fleet
MAX_TRIAL_TURN = 30.0  # s that a proxy waits at most for its turn to send a half-open probe
TRIAL_SPREAD = 600.0  # ms of random delay that prevents synchronised probes from several proxies

# ---- cold servers ---------------------------------------------------------------------------------------
THROUGHPUT_WINDOW = 8000.0  # ms over which the throughput of warm servers, per unit of size, is measured
THROUGHPUT_HALF_LIFE = 20000.0  # ms; slow, since the rate of a failing server does not show its capacity

# ---- holding, time-outs, refusals -----------------------------------------------------------------------
HOLD_RESERVE = 600.0  # ms of the aim left for the set-up of a held call: usual lag of a loaded server
HOLD_RESERVE_SHARE = 0.6  # upper limit of that reserve, as a share of the aim
SECOND_ATTEMPT_RESERVE = 250.0  # ms of the aim reserved for a second attempt after the release
MIN_TIMEOUT_LAGS = 3.0  # minimum attempt timeout, in multiples of the server's last lag, within the aim
MIN_TIMEOUT_SHARE_OF_AIM = 0.5  # minimum attempt timeout as a share of the aim, if a second attempt fits in
MAX_HELD_CALLS_PER_TICK = 400  # held calls tried in one tick
ANSWER_MARGIN = 60.0  # ms before the caller's time is up at which a held call is answered

# ---- tenants and peers ----------------------------------------------------------------------------------
TENANT_WINDOW = 5000.0  # ms over which a tenant's first tries are counted; also the expiry of peers' rates
TENANT_INTERVAL = 1000.0  # ms between two updates of the tenants' rates
GOSSIP_INTERVAL = 1000.0  # ms between two gossip rounds
GOSSIP_FANOUT = 6  # randomly chosen peers per round: a proxy's cost does not grow with the fleet
WAIT_MAX_AGE = 2000.0  # ms after which a wait is no longer gossiped

# ---- timers ---------------------------------------------------------------------------------------------
TICK = 50.0  # ms between two passes over held calls, while there are any; less where aims are short
MAINTENANCE_PERIOD = 250.0  # ms between two updates of throughput, tenants and probes
PROBE_INTERVAL = 1000.0  # ms between two probes of a server in a small fleet
TICK_TOKEN = 1  # token of the tick's SetTimer and TimerDue
MAINTENANCE_TOKEN = 2


@dataclass(slots=True)
class Image:
    """A gap image: bound rate, expiry and the token bucket that enforces the rate."""

    hold_back: float  # share of the offered set-ups that is held back
    rate: float
    expires: float
    reported: float  # time of the latest report
    tokens: float
    filled_at: float

    def available_tokens(self, now: float) -> float:
        """Refill the bucket up to ``now`` and return its tokens, one per set-up."""
        depth = max(BUCKET_DEPTH, self.rate * BUCKET_SPAN / 1000.0)
        self.tokens = min(depth, self.tokens + self.rate * (now - self.filled_at) / 1000.0)
        self.filled_at = now
        return self.tokens


@dataclass(slots=True)
class Server:
    """State that this proxy keeps for one session server."""

    entry: ServerEntry
    image: Image | None = None
    offered: deque[float] = field(default_factory=deque)  # times at which first set-ups were offered to it
    stood: deque[float] = field(default_factory=deque)  # times at which calls began to stand
    unanswered: dict[tuple[int, int], float] = field(default_factory=dict)  # by call and attempt: time sent
    wait: float = 0.0  # for the weights; replaced by any wait above its decayed value
    wait_at: float = 0.0
    seen_wait: float = 0.0  # latest wait seen here or received, for gossip
    seen_at: float | None = None
    least_lag: float | None = None  # shortest observed lag, taken as the lag without load
    free_lines: float | None = None
    lag: float = 0.0  # latest time to an answer
    lag_at: float = 0.0
    next_send_at: float = 0.0
    lines_paused_until: float = 0.0
    suspect: bool = False
    silent: bool = False  # an attempt got no answer or no connection since it became suspect
    faults: float = 0.0
    suspect_from: float = 0.0
    trial_gap: float = 0.0  # ms before the next half-open probe; doubles with each failure
    failed_at: float = 0.0
    heard_at: float = 0.0  # when its latest message arrived here or at a peer
    trial_due: float = 0.0
    trial_turn: float = 0.0  # ms of further delay in a large fleet: its proxies probe one after another
    cold_from: float | None = None
    cold_tokens: float = 1.0
    cold_filled: float = 0.0
    cold_trust: float = 1.0  # factor on the budget, grows with quick answers
    cold_spread: float = 0.0  # 0 to 1: when, among the proxies, this one ends its ramp
    probe_pending: bool = False
    probe_due: float = 0.0

    def remembered_wait(self, now: float) -> float:
        """Return the latest wait in ms, decayed with WAIT_HALF_LIFE."""
        return float(self.wait * 0.5 ** ((now - self.wait_at) / WAIT_HALF_LIFE))

    def remembered_lag(self, now: float) -> float:
        """Return the latest time to an answer in ms, decayed with WAIT_HALF_LIFE."""
        return float(self.lag * 0.5 ** ((now - self.lag_at) / WAIT_HALF_LIFE))


@dataclass(slots=True)
class Call:
    """A call without a final answer that does not stand yet."""

    ref: int
    kind: CallClass
    settings: Settings  # in force when the call was offered; they apply until it ends
    tenant: str | None
    first_choice: int
    in_transit: bool
    number: str | None
    first_tried_at: float
    deadline: float
    hold_until: float  # from then on it is answered if no server has room
    attempts: int = 0
    current_server: Server | None = None
    not_before: float = 0.0  # end of the release wait
    may_have_run: bool = False
    errors_from: list[str] = field(default_factory=list)  # servers that answered with an error
    considered: set[str] = field(default_factory=set)  # servers drawn for it, also those without room
    tried: set[str] = field(default_factory=set)  # servers to which a set-up was sent


class Controller:
    """Decides all calls of one signalling proxy: events in, actions out, no I/O. ``seed`` is for its rng."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.tries_of: dict[str, deque[float]] = {}  # by tenant: times of its first tries
        self.cold_budget_share = 1.0  # of a cold server's budget, during an upgrade with two processes
        self._apply_settings(settings)
        self.first_tries: dict[str, float] = {}  # by number of a refused or failed call: first try
        self.peer_rates: dict[int, tuple[float, list[float]]] = {}  # by peer: time, tenants' rates
        self.inside_share: dict[str, float] = {}  # by tenant: share of its calls within its allowance
        self.tenants_due = self.gossip_due = 0.0
        self.tick_scheduled = False
        self.servers: dict[str, Server] = {}
        self.calls: dict[int, Call] = {}
        self.recent: dict[tuple[int, int], float] = {}  # by call and attempt: time sent, if unanswered
        self.assignment = TestDuty(frozenset(), frozenset())  # without a fleet: this proxy checks all servers
        self.admission: Admission | None = None
        self.retry_tokens, self.retry_tokens_expire_at = math.inf, math.inf  # no limit without a budget
        self.throughput = 0.0  # calls/s that come to stand at a warm server of size 1 through this proxy
        self.has_warm_server = True  # at the last measurement of throughput
        self.started: float | None = None
        self.actions: list[Action] = []

    def _apply_settings(self, settings: Settings) -> None:
        """Derive values from the settings; calls offered under earlier settings keep those."""
        self.settings = settings
        self.classes = {kind.name: kind for kind in settings.classes}
        self.top_worth = max((kind.worth for kind in settings.classes), default=1.0)
        shortest_aim = min((kind.aim for kind in settings.classes), default=1000.0)
        self.tolerable_wait = TOLERABLE_SHARE_OF_AIM * shortest_aim
        if settings.repeat_interval > 0:
            self.tolerable_wait = min(self.tolerable_wait, settings.repeat_interval)
        self.trial_scale = min(1.0, self.tolerable_wait / TRIAL_REFERENCE_WAIT)
        self.tick_interval = TICK * self.trial_scale  # with short aims, a slower tick leaves servers idle
        self.offered_window = OFFERED_WINDOW * math.sqrt(max(1.0, settings.proxies / SMALL_FLEET))
        self.scale = min(1.0, SMALL_FLEET / max(1, settings.proxies))  # factor on minimum allowances
        self.tries_of = {tenant.name: self.tries_of.get(tenant.name, deque()) for tenant in settings.tenants}

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event at ``now`` (ms) and return the actions to carry out, in order."""
        self.actions = []
        if self.started is None:
            self.started = now
            self.gossip_due = now + self.rng.random() * GOSSIP_INTERVAL
            self.actions.append(SetTimer(MAINTENANCE_TOKEN, MAINTENANCE_PERIOD))
            if not self.settings.lists_pushed:
                self.actions.append(FollowList())
        match event:
            case ServerList():
                self._update_servers(now, event)
            case SetUpOffered():
                self._on_set_up_offered(now, event)
            case Stands():
                self._on_stands(now, event)
            case AttemptEnded():
                self._on_attempt_ended(now, event)
            case CallerGone():
                self.calls.pop(event.ref, None)
            case ProbeEnded():
                self._on_probe_ended(now, event)
            case PeerMessage() | TestDuty() | PeerNews() | Admission() | RepeatBudget():
                self._on_fleet_event(now, event)
            case SettingsChanged(settings):
                self._apply_settings(settings)
                self.peer_rates.clear()  # they are in the order of the previous tenants
            case ColdShare(share):
                self.cold_budget_share = share
            case TimerDue(token) if token == TICK_TOKEN:
                self.tick_scheduled = False
                self._send_held_calls(now)
            case TimerDue(token) if token == MAINTENANCE_TOKEN:
                self._maintain(now)
        return self.actions

    # ---- server list ------------------------------------------------------------------------------------

    def _update_servers(self, now: float, event: ServerList) -> None:
        if event.kind is ListKind.FAILED:
            return
        listed = {entry.name for entry in event.entries}
        if event.kind is not ListKind.CHANGES:
            for name in [name for name in self.servers if name not in listed]:
                del self.servers[name]
        for entry in event.entries:
            known = self.servers.get(entry.name)
            if entry.state is ServerState.GONE:
                self.servers.pop(entry.name, None)
            elif known is None or (entry.started or 0.0) > (known.entry.started or 0.0):
                self._add_server(now, entry)
            else:
                known.entry = entry

    def _add_server(self, now: float, entry: ServerEntry) -> None:
        spread = PROBE_INTERVAL * self.offered_window / OFFERED_WINDOW
        server = Server(entry, probe_due=now + self.rng.random() * spread, wait_at=now)
        if entry.started is not None and now - entry.started < self.settings.cold_time:
            self._mark_cold(server, entry.started, now)
        self.servers[entry.name] = server

    def _mark_cold(self, server: Server, since: float, now: float) -> None:
        """Treat the server as cold; random initial tokens spread the proxies' first set-ups over time."""
        server.cold_from, server.cold_filled = since, now
        server.cold_tokens, server.cold_spread = self.rng.random(), self.rng.random()
        if self.cold_budget_share < 1.0:
            server.cold_tokens = 0.0  # the other process may have used the initial tokens

    # ---- calls ------------------------------------------------------------------------------------------

    def _on_set_up_offered(self, now: float, event: SetUpOffered) -> None:
        kind = self.classes[event.call_class]
        began = self._first_tried_at(now, event, kind)
        if began == now and event.tenant in self.tries_of:
            self.tries_of[event.tenant].append(now)
        call = self.calls[event.ref] = Call(
            ref=event.ref,
            kind=kind,
            settings=self.settings,
            tenant=event.tenant,
            first_choice=event.first_choice,
            in_transit=event.in_transit,
            number=event.number,
            first_tried_at=began,
            deadline=now + event.time_left,
            hold_until=min(now + event.time_left - ANSWER_MARGIN, began + kind.aim - self._reserve(kind)),
        )
        if self.admission is not None and self._is_shed(self.admission, call, now):
            hold_off_range = (self.admission.return_from, self.admission.return_to)
            self._answer_finally(call, now, self.rng.uniform(*hold_off_range))
        else:
            self._send_or_hold(call, now)

    def _is_shed(self, admission: Admission, call: Call, now: float) -> bool:
        """Return whether the fleet sheds the call, by its number; a late call also by its remaining worth."""
        share = dict(admission.shares).get(call.kind.name, 1.0)
        if call.in_transit or self._worth(call, now) < admission.floor:
            return not call.in_transit
        return (
            share < 1.0
            and admission_threshold.unit_hash(call.number or str(self.rng.random()), admission.turn) >= share
        )

    def _retry_tokens_left(self, now: float) -> float:
        return self.retry_tokens if now < self.retry_tokens_expire_at else 0.0

    def _reserve(self, kind: CallClass) -> float:
        return min(HOLD_RESERVE, HOLD_RESERVE_SHARE * kind.aim)

    def _first_tried_at(self, now: float, event: SetUpOffered, kind: CallClass) -> float:
        """Return when the caller first tried: a call to a number that failed recently is a redial."""
        began = self.first_tries.pop(event.number, None) if event.number is not None else None
        return now if began is None or now - began > kind.deadline else began

    def _on_stands(self, now: float, event: Stands) -> None:
        call = self.calls.pop(event.ref, None)
        if call is not None:
            self._charge_errors(now, call, event.server)
        self.recent.pop((event.ref, event.attempt), None)
        server = self.servers.get(event.server)
        if server is None:
            return
        sent = server.unanswered.pop((event.ref, event.attempt), None)
        if sent is not None:
            self._drop_overtaken(server, sent)
        server.stood.append(now)
        least = server.least_lag
        server.least_lag = event.delay if least is None else min(least, event.delay)
        server.faults -= FAULT_WEIGHT * server.faults
        server.lag, server.lag_at = event.delay, now
        quick = event.delay < SLOW_LAG
        server.cold_trust = slow_start.updated_trust(server.cold_trust, quick, 1.0 / self.scale)
        wait = max(0.0, event.delay - server.least_lag * (1.0 + NETWORK_JITTER))
        if wait < UNANSWERED_SHARE * self.tolerable_wait:
            # Own half-open probes are rare in a large fleet, so other messages from the server count too.
            answered = max(0.0, server.heard_at - server.suspect_from) * (1.0 - self.scale)
            if server.suspect and server.silent and now - server.suspect_from - answered > COLD_AFTER_SILENCE:
                # It may have restarted long before the list shows it; if it is warm, trust grows quickly.
                self._mark_cold(server, now, now)
                server.cold_tokens = max(server.cold_tokens, self.scale)
            server.suspect = server.silent = False
        server.heard_at = now
        self._update_image(now, server, None, wait)
        server.seen_wait, server.seen_at = wait, now

    def _drop_overtaken(self, server: Server, sent: float) -> None:
        """Drop set-ups sent well before one that stands: a processor serves in order, so they are lost.

        A server or network path may lose some set-ups while the rest are quick. These time-outs are no
        sign of load: they neither limit the server nor make it suspect, and the attempts are cancelled to be
        retried in time. Drawback: an attempt that was merely late is set up twice.
        """
        for ref, attempt in [key for key, at in server.unanswered.items() if at < sent - OVERTAKE_MARGIN]:
            del server.unanswered[(ref, attempt)]
            call = self.calls.get(ref)
            if call is not None and call.settings.may_cancel and call.kind.repeat is Repeat.HARMLESS:
                self.actions.append(CancelAttempt(ref, attempt))

    def _charge_errors(self, now: float, call: Call, stood_at: str) -> None:
        """Count errors against the servers that returned them, now that the call stands elsewhere.

        If they counted at once, a caller whose calls no server accepts would make all servers suspect and
        lock out all other callers. Drawback: a server that answers only with errors gets a few more calls.
        """
        for name in call.errors_from:
            server = self.servers.get(name)
            if server is not None and name != stood_at:
                server.faults += FAULT_WEIGHT * (1.0 - server.faults)
                if server.faults > FAULT_THRESHOLD:
                    self._mark_suspect(now, server)

    def _on_attempt_ended(self, now: float, event: AttemptEnded) -> None:
        self.recent.pop((event.ref, event.attempt), None)
        server = self.servers.get(event.server)
        if server is not None:
            waiting = server.unanswered.pop((event.ref, event.attempt), None) is not None
            self._update_health(now, server, event, waiting)
            if event.report is not None:
                self._apply_report(now, server, event.report)
        call = self.calls.get(event.ref)
        if call is None:
            return
        if event.settled:
            del self.calls[event.ref]
            return
        call.current_server = None
        if event.ending is Ending.ERROR:
            call.errors_from.append(event.server)
        if event.ending in (Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED, Ending.ERROR):
            call.may_have_run = True
        if event.ending in (Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED):
            call.not_before = now + call.settings.release
        below_limits = call.attempts < call.settings.max_attempts and len(call.errors_from) < MAX_ERRORS
        retry = below_limits and (call.kind.repeat is Repeat.HARMLESS or not call.may_have_run)
        retry = retry and self._retry_tokens_left(now) >= 1.0
        answer_by = call.deadline - ANSWER_MARGIN
        if not retry or max(now, call.not_before) >= answer_by:
            self._answer_finally(call, now)
        else:
            hold_limit = max(call.not_before, call.first_tried_at + call.kind.aim - self._reserve(call.kind))
            call.hold_until = min(answer_by, hold_limit)
            self._send_or_hold(call, now)

    def _update_health(self, now: float, server: Server, event: AttemptEnded, waiting: bool) -> None:
        """Update the state of the server from the result of an attempt."""
        if event.lines_full:
            server.lines_paused_until = now + LINE_PAUSE / self.scale
        elif event.ending is Ending.FULL:
            self._mark_suspect(now, server)
            self._update_image(now, server, FULL_HOLD_BACK, None)
            server.seen_wait, server.seen_at = 2.0 * self.tolerable_wait, now
        elif event.ending is Ending.UNREACHABLE:
            self._mark_suspect(now, server)
            server.silent = True
        elif event.ending is Ending.TIMED_OUT and waiting:
            self._mark_suspect(now, server)
            server.silent = True
            server.lag, server.lag_at = max(event.lag, server.remembered_lag(now)), now
            self._update_image(now, server, None, event.lag)

    def _answer_finally(self, call: Call, now: float, hold_off: float = 0.0) -> None:
        """Give the final answer of a call that is not sent again; ``hold_off`` in ms."""
        self.calls.pop(call.ref, None)
        if call.number is not None:
            self.first_tries[call.number] = call.first_tried_at
        if call.may_have_run:
            self.actions.append(Fail(call.ref))
            return
        late = now > call.first_tried_at + call.kind.aim
        self.actions.append(Refuse(call.ref, call.settings.max_hold_off if late else hold_off))

    def _worth(self, call: Call, now: float) -> float:
        """Return the expected worth of setting the call up now."""
        late = now > call.first_tried_at + call.kind.aim
        worth = call.kind.worth * (call.kind.late_share if late else 1.0)
        inside = self.inside_share.get(call.tenant or "", 1.0)
        return worth * (inside + (1.0 - inside) * self.settings.over_share_worth)

    def _send_held_calls(self, now: float) -> None:
        """Send held calls in order of worth, at most MAX_HELD_CALLS_PER_TICK of them.

        Trying thousands of held calls would take longer than their deadlines allow: the others wait for the
        next tick or are answered. No drawback: with so many held calls, no server has room anyway.
        """
        held = [call for call in self.calls.values() if call.current_server is None]
        held.sort(key=lambda c: (-self._worth(c, now), c.first_tried_at, c.ref))
        for call in held[:MAX_HELD_CALLS_PER_TICK]:
            self._send_or_hold(call, now)
        for call in held[MAX_HELD_CALLS_PER_TICK:]:
            if now >= call.hold_until:
                self._answer_finally(call, now)
            else:
                self._schedule_tick()

    def _send_or_hold(self, call: Call, now: float) -> None:
        """Send the call if a server has room; answer it once ``hold_until`` has passed."""
        if now < call.not_before:
            self._schedule_tick()
            return
        server = None if self._window_full(now) else self._choose_server(call, now)
        if server is not None:
            self._send(call, server, now)
        elif now >= call.hold_until:
            self._answer_finally(call, now)
        else:
            self._schedule_tick()

    def _schedule_tick(self) -> None:
        if not self.tick_scheduled:
            self.tick_scheduled = True
            self.actions.append(SetTimer(TICK_TOKEN, self.tick_interval))

    def _window_full(self, now: float) -> bool:
        """Return whether the unanswered set-ups at all servers together fill the window.

        Stops surges (redials after a crash, a burst) before the first reports come back: all proxies together
        have no more set-ups unanswered than the servers handle in a tolerable wait. Older ones do not count:
        they are lost, or their server is limited individually. No effect at usual rates.
        """
        while self.recent:
            if self.recent[first := next(iter(self.recent))] > now - UNANSWERED_SHARE * self.tolerable_wait:
                break
            del self.recent[first]
        minimum = len(self.servers) * self.scale / max(1e-9, 1.0 - self.scale)  # no limit in a small fleet
        size = sum(server.entry.size for server in self.servers.values())
        served = BACKLOG_SHARE * self.throughput * size * UNANSWERED_SHARE * self.tolerable_wait / 1000.0
        return len(self.recent) >= max(1.0, minimum, served)

    def _send(self, call: Call, server: Server, now: float) -> None:
        self.recent[(call.ref, call.attempts)] = now
        call.current_server = server
        server.unanswered[(call.ref, call.attempts)] = now
        call.attempts += 1
        self.retry_tokens -= call.attempts > 1
        call.tried.add(server.entry.name)
        self.actions.append(SendSetUp(call.ref, server.entry.name, self._attempt_timeout(call, server, now)))

    def _attempt_timeout(self, call: Call, server: Server, now: float) -> float:
        left = call.deadline - now
        others = sum(1 for server in self._eligible(call) if server.entry.name not in call.tried)
        if call.attempts >= call.settings.max_attempts or not others:
            return max(left, 1.0)
        aim_left = call.first_tried_at + call.kind.aim - now
        timeout = aim_left - call.settings.release - SECOND_ATTEMPT_RESERVE
        timeout = max(timeout, min(aim_left, MIN_TIMEOUT_LAGS * server.remembered_lag(now)))
        min_timeout = call.kind.aim * MIN_TIMEOUT_SHARE_OF_AIM
        if call.kind.aim - call.settings.release - SECOND_ATTEMPT_RESERVE < min_timeout:
            min_timeout = call.kind.aim  # a second attempt would be late: an early time-out wastes the first
        return max(1.0, min(left, max(timeout, min_timeout)))

    # ---- choice of server -------------------------------------------------------------------------------

    def _eligible(self, call: Call) -> list[Server]:
        servers = []
        for server in self.servers.values():
            place = server.entry.place
            if server.entry.state is not ServerState.OPEN or place == self.settings.own_place >= 0:
                continue
            if call.in_transit and place != call.first_choice:
                continue
            if call.kind.pools is None or place in call.kind.pools:
                servers.append(server)
        return servers

    def _choose_server(self, call: Call, now: float) -> Server | None:
        """Return the first choice while it has free lines, else draw by weight; skip gapped servers."""
        servers = self._eligible(call)
        untried = [server for server in servers if server.entry.name not in call.tried] or servers
        for server in self._draw(call, untried, now):
            new = server.entry.name not in call.considered and not call.attempts
            counted = new and (not call.considered or self.scale == 1.0 or self.rng.random() < self.scale)
            call.considered.add(server.entry.name)  # a redraw counts in part, else each u covers all traffic
            if counted:
                server.offered.append(now)
            if self._admits(server, call, now):
                if new and not counted:
                    server.offered.append(now)
                return server
        return None

    def _draw(self, call: Call, servers: list[Server], now: float) -> Iterable[Server]:
        rest = list(servers)
        for server in rest:
            if server.entry.place == call.first_choice and server.free_lines != 0:
                rest.remove(server)
                yield server
                break
        while rest:
            weights = [s.entry.size / (1.0 + (s.remembered_wait(now) / HALF_WEIGHT_WAIT) ** 2) for s in rest]
            server = self.rng.choices(rest, weights)[0]
            rest.remove(server)
            yield server

    def _admits(self, server: Server, call: Call, now: float) -> bool:
        """Return whether the server may get one more set-up now; consume its tokens if so."""
        if server.suspect and (server.unanswered or now < server.trial_due + server.trial_turn):
            return False
        if server.suspect and server.entry.name in self.assignment.no_trials:
            return False
        if server.suspect and self.settings.may_probe and server.heard_at < server.failed_at:
            return False  # a health check tests reachability at lower cost than a caller's set-up
        max_age = UNANSWERED_SHARE * self.tolerable_wait + min(MAX_NETWORK_LAG, server.least_lag or 0.0)
        overdue = server.unanswered and now - min(server.unanswered.values()) > max_age
        if overdue and (len(server.unanswered) > self.scale or server.remembered_lag(now) > SLOW_LAG):
            return False
        usual = self._offered_rate(now, server) * SLOW_LAG / 1000.0  # set-ups offered in one SLOW_LAG
        if len(server.unanswered) >= max(1.0 + (MAX_UNANSWERED - 1.0) * self.scale, MAX_UNANSWERED * usual):
            return False
        if now < max(server.next_send_at, server.lines_paused_until):
            return False
        cold = self._cold_tokens_left(server, now, server.entry.place == call.first_choice)
        image = server.image if server.image is not None and now < server.image.expires else None
        worth_deficit = 1.0 - self._worth(call, now) / self.top_worth
        if server.free_lines is not None and server.free_lines < 1.0 + RESERVED_LINES * worth_deficit:
            return False
        need = 1.0 + RESERVED_TOKENS * worth_deficit
        if (cold is not None and cold < 1.0) or (image is not None and image.available_tokens(now) < need):
            return False
        if cold is not None:
            server.cold_tokens -= 1.0
        if image is not None:
            image.tokens -= 1.0
        lag = server.remembered_lag(now)
        server.next_send_at = now + lag / max(1.0, usual) if lag > SLOW_LAG else 0.0
        return True

    # ---- pressure reports and gap images ----------------------------------------------------------------

    def _apply_report(self, now: float, server: Server, report: Report) -> None:
        server.heard_at = now
        self._update_free_lines(now, server, report)
        if report.hold_back is not None or report.wait is not None:
            self._update_image(now, server, report.hold_back, report.wait)

    def _update_free_lines(self, now: float, server: Server, report: Report) -> None:
        if report.free_lines is not None:
            server.free_lines = report.free_lines
            if self.scale < 1.0 and self.rng.random() * self.settings.proxies < report.free_lines:
                server.lines_paused_until = now  # ends the pause at about as many proxies as there are lines

    def _update_image(self, now: float, server: Server, hold_back: float | None, wait: float | None) -> None:
        """Refresh the server's image from a requested share, a wait (ms) or both: the higher share counts."""
        share = min(MAX_HOLD_BACK, hold_back or 0.0)  # a noisy share may exceed 1
        if wait is not None:
            if wait < UNANSWERED_SHARE * self.tolerable_wait:
                server.trial_turn = 0.0  # it answers others: no need to wait for this proxy's turn
            if wait >= server.remembered_wait(now):
                server.wait, server.wait_at = wait, now
            share = max(share, self._hold_back_for(wait))
        if self.admission is not None:  # the fleet has already held back its part before this point
            share = max(0.0, 1.0 - (1.0 - share) / self.admission.admitted)
        image = server.image if server.image is not None and now < server.image.expires else None
        if image is not None:
            ease = HOLD_BACK_DECAY if wait is not None and share == 0.0 else 1.0
            share = max(share, image.hold_back * ease * 0.5 ** ((now - image.reported) / HOLD_BACK_HALF_LIFE))
        if share < HOLD_BACK_LEVELS[0][1] / 2:
            server.image = None
            return
        rate = max(BOUND_FLOOR * self.scale, self._offered_rate(now, server) * (1.0 - share))
        if image is None:
            tokens = self.scale + (1.0 - self.scale) * (1.0 - share + self.rng.random())
            server.image = Image(share, rate, now + IMAGE_LIFETIME, now, tokens, now)
            return
        image.available_tokens(now)
        if share > image.hold_back:
            image.tokens *= ((1.0 - share) / (1.0 - image.hold_back)) ** (1.0 - self.scale)
        image.hold_back, image.rate, image.expires, image.reported = share, rate, now + IMAGE_LIFETIME, now

    def _hold_back_for(self, wait: float) -> float:
        share = 0.0
        for bound, held_back in HOLD_BACK_LEVELS:
            if wait >= bound * self.tolerable_wait:
                share = held_back
        return share

    def _offered_rate(self, now: float, server: Server) -> float:
        while server.offered and server.offered[0] <= now - self.offered_window:
            server.offered.popleft()
        span = min(self.offered_window, max(OFFERED_WINDOW, now - (self.started or 0.0)))
        return len(server.offered) * 1000.0 / span

    # ---- health -----------------------------------------------------------------------------------------

    def _mark_suspect(self, now: float, server: Server) -> None:
        """Restrict a failing or full server to half-open probes after a pause, until one is answered quickly.

        With repeats, the floor of 1 set-up/s per proxy can keep a slow server full for good; one unanswered
        set-up per proxy bounds its queue. Drawback: after one lost call a server gets little traffic briefly.
        """
        if not server.suspect:
            server.suspect, server.suspect_from = True, now
            server.trial_gap = TRIAL_GAP * self.trial_scale
            server.probe_due = server.failed_at = now
        spread = self.rng.random() * TRIAL_SPREAD * self.trial_scale
        server.trial_due = now + server.trial_gap + spread
        usual = max(TRIAL_SHARE * self.throughput * server.entry.size, 1.0 / MAX_TRIAL_TURN)  # probes/s
        server.trial_turn = spread * (1.0 / self.scale - 1.0)
        server.trial_turn += 1000.0 * self.rng.random() * (1.0 - self.scale) / usual
        server.trial_gap = min(MAX_TRIAL_GAP * self.trial_scale, server.trial_gap * 2.0)

    # ---- cold servers -----------------------------------------------------------------------------------

    def _cold_tokens_left(self, server: Server, now: float, first: bool = True) -> float | None:
        """Return a cold server's tokens, None if it is warm; ``first``: it is the call's first choice."""
        if server.cold_from is None:
            return None
        age, listed = now - server.cold_from, server.entry.started == server.cold_from
        share = slow_start.allowed_share(age, server.cold_trust, listed, self.settings)
        if slow_start.ramp_ended(age, server.cold_spread if listed else 0.0, self.settings):
            server.cold_from = None
            return None
        usual = self.throughput * server.entry.size
        if not listed or (not self.has_warm_server and self.throughput == 0.0):
            usual = max(usual, BOUND_FLOOR * self.scale)  # its capacity, or even that it is cold, is unknown
        rate, elapsed = usual * share * self.cold_budget_share, now - server.cold_filled
        server.cold_tokens = slow_start.refill(server.cold_tokens, rate, elapsed, self.settings)
        server.cold_filled = now
        return (
            server.cold_tokens
            if first or not listed
            else slow_start.fresh_tokens(server.cold_tokens, rate, self.settings)
        )

    def _take_probe_tokens(self, server: Server, now: float) -> bool:
        """Return whether a probe may be sent; on a cold server, charge its work to the budget."""
        tokens = self._cold_tokens_left(server, now)
        if allowed := tokens is None or tokens >= slow_start.PROBE_WORK:
            server.cold_tokens -= slow_start.PROBE_WORK
        return allowed

    def _measure_throughput(self, now: float) -> None:
        warm = [s for s in self.servers.values() if s.cold_from is None and s.entry.state is ServerState.OPEN]
        for server in warm:
            while server.stood and server.stood[0] <= now - THROUGHPUT_WINDOW:
                server.stood.popleft()
        self.has_warm_server = bool(warm)
        if warm and self.started is not None:
            span = max(min(THROUGHPUT_WINDOW, now - self.started), 1000.0)
            stood = slow_start.lower_estimate(sum(len(s.stood) for s in warm))
            rate = stood * 1000.0 / span / sum(s.entry.size for s in warm)
            self.throughput = max(rate, self.throughput * 0.5 ** (MAINTENANCE_PERIOD / THROUGHPUT_HALF_LIFE))

    # ---- timers -----------------------------------------------------------------------------------------

    def _maintain(self, now: float) -> None:
        self.actions.append(SetTimer(MAINTENANCE_TOKEN, MAINTENANCE_PERIOD))
        self._measure_throughput(now)
        self._expire_first_tries(now)
        if self.tries_of and now >= self.tenants_due:
            self._update_tenant_shares(now)
        if self.settings.may_tell_peers and now >= self.gossip_due:
            self._gossip(now)
        if self.settings.may_probe:
            for server in self.servers.values():
                # In a large fleet, probes of a server that answers add up; set-ups show more.
                useful = server.suspect and (self.scale == 1.0 or server.heard_at < server.failed_at)
                useful = useful or self.settings.report_by is ReportBy.PROBES
                useful = useful and server.entry.name not in self.assignment.no_tests
                useful = useful and not server.probe_pending and now >= server.probe_due
                if useful and self._take_probe_tokens(server, now):
                    server.probe_pending = True
                    self.actions.append(Probe(server.entry.name))

    # ---- tenants ----------------------------------------------------------------------------------------

    def _update_tenant_shares(self, now: float) -> None:
        """Compute the share of each tenant's traffic within its allowance, which covers all proxies together.

        Peers exchange rates, since own traffic times the number of proxies is a poor estimate; a peer that
        sent none is assumed to have the mean rate of the others. Drawback: without peers, a tenant that calls
        mostly through this proxy is taken to exceed its allowance; its calls are sent later, but still sent.
        """
        self.tenants_due = now + TENANT_INTERVAL
        own = [self._tenant_rate(times, now) for times in self.tries_of.values()]
        received = [rates for at, rates in self.peer_rates.values() if now - at <= TENANT_WINDOW]
        for index, tenant in enumerate(self.settings.tenants):
            total = own[index] + sum(rates[index] for rates in received)
            total *= self.settings.proxies / (1 + len(received))
            self.inside_share[tenant.name] = min(1.0, tenant.allowance / total) if total > 0 else 1.0

    def _tenant_rate(self, times: deque[float], now: float) -> float:
        while times and times[0] <= now - TENANT_WINDOW:
            times.popleft()
        return len(times) * 1000.0 / TENANT_WINDOW

    # ---- peers ------------------------------------------------------------------------------------------

    def _gossip(self, now: float) -> None:
        """Send own tenant rates and the latest known waits, including those from other peers, to a few peers.

        Without it, images form too late at a proxy with few answers from a server. Drawback: a wait is up to
        WAIT_MAX_AGE old; own answers replace it as they arrive, so a wrong figure lasts no longer.
        """
        self.gossip_due = now + GOSSIP_INTERVAL
        rates = (self._tenant_rate(times, now) for times in self.tries_of.values())
        known = [s for s in self.servers.values() if s.seen_at is not None and now - s.seen_at < WAIT_MAX_AGE]
        waits = ((s.entry.place, now - (s.seen_at or now), s.seen_wait) for s in known)
        body = gossip.encode(rates, waits)
        others = [peer for peer in range(self.settings.proxies) if peer != self.settings.own_slot]
        if body and others:
            receivers = self.rng.sample(others, min(GOSSIP_FANOUT, len(others)))
            self.actions.extend(TellPeer(peer, body) for peer in receivers)

    def _on_fleet_event(self, now: float, event: Event) -> None:
        match event:
            case PeerMessage():
                self._on_peer_message(now, event)
            case TestDuty():
                self.assignment = event
            case PeerNews(name, age, wait) if name in self.servers:
                self._apply_peer_wait(now, self.servers[name], now - age, wait)
            case Admission():
                self.admission = event
            case RepeatBudget(tokens, life):
                left = self._retry_tokens_left(now) if self.retry_tokens_expire_at < math.inf else 0.0
                self.retry_tokens, self.retry_tokens_expire_at = left + tokens, now + life

    def _on_peer_message(self, now: float, event: PeerMessage) -> None:
        """Apply a peer's tenant rates and server waits; ignore a message of another format."""
        read = gossip.decode(event.body, len(self.tries_of))
        if read is None or not 0 <= event.sender < self.settings.proxies:
            return
        self.peer_rates[event.sender] = (now, read[0])
        places = {server.entry.place: server for server in self.servers.values()}
        for place, age, wait in read[1]:
            server, seen = places.get(place), now - age
            if server is not None and (server.seen_at is None or seen > server.seen_at + gossip.TIME_STEP):
                self._apply_peer_wait(now, server, seen, wait)

    def _apply_peer_wait(self, now: float, server: Server, seen: float, wait: float | None) -> None:
        server.heard_at = max(server.heard_at, seen)
        if wait is not None:
            server.seen_wait, server.seen_at = wait, seen
            self._update_image(now, server, None, wait)

    def _expire_first_tries(self, now: float) -> None:
        longest = max((kind.deadline for kind in self.settings.classes), default=0.0)
        while self.first_tries:
            number = next(iter(self.first_tries))
            if now - self.first_tries[number] <= longest:
                break
            del self.first_tries[number]

    def _on_probe_ended(self, now: float, event: ProbeEnded) -> None:
        server = self.servers.get(event.server)
        if server is None:
            return
        if event.unasked:
            if event.report is not None:
                self._update_free_lines(now, server, event.report)
            return
        server.probe_pending = False
        server.probe_due = now + PROBE_INTERVAL * self.offered_window / OFFERED_WINDOW
        if event.ending is Ending.DELIVERED:
            server.heard_at = now
            if event.report is not None:
                self._apply_report(now, server, event.report)
