"""Every admission decision of a border proxy. The types it speaks are in ``martentide/interface.py``.

The ordinary path, from "The IN SCP's overload protection mechanism": per core server a gap image (bound rate
u, expiry), made or refreshed by each pressure report. First set-ups above u are refused before sending, a
call gapped at one server is redrawn among the others; a server that has not reported is never held back.
Around it stand the guards that the five rules and failing servers need. Times are milliseconds.
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
FEW = 12.0  # proxies that may each have every least allowance in full; more share what these would have

# ---- gap image ------------------------------------------------------------------------------------------
IMAGE_LIFE = 6000.0  # ms an image outlives its last report (the design's figure)
OFFERED_WINDOW = 2000.0  # ms over which offered first set-ups are counted (the design's figure)
BOUND_FLOOR = 1.0  # set-ups/s an image never goes below (the design's figure)
BUCKET_DEPTH = 2.0  # set-ups: a strict spacing at a few a second would refuse more than u asks
BUCKET_SPAN = 100.0  # ms of u that the bucket holds where that is more: chance alone makes such bursts
LINK_NOISE = 0.3  # share of the shortest lag seen by which a link's own delay varies: no wait
LINK_LAG = 50.0  # ms of the shortest lag seen that are taken for the link, not for the server
RESERVED = 0.8  # set-ups of the bucket kept for the worthiest class, falling with worth (trunk reservation)
# Level table: wait as a share of the tolerable wait -> share of new set-ups held back.
LEVELS = ((0.12, 0.1), (0.25, 0.25), (0.5, 0.5), (0.8, 0.7), (1.2, 0.9))
TOLERABLE_OF_AIM = 0.6  # share of the shortest aim (or one repeat interval, if shorter) a wait may take
FULL_HOLD_BACK = 0.7  # share held back after a refusal by a full processor
MOST_HELD_BACK = 0.98  # share: a report may ask for more, but some calls must go to bring the next report
QUICK_EASE = 0.9  # times an earlier asked share with each answer that came without a wait: pauses end at once
HOLD_BACK_FADE = 1500.0  # ms in which an earlier, higher asked share halves once reports ask less

# ---- lines ----------------------------------------------------------------------------------------------
LINE_PAUSE = 150.0  # ms without a new set-up after "no free line": lines come free all the time
RESERVED_LINES = 3  # shown free lines that are kept for the worthiest class (trunk reservation)

# ---- choice of server -----------------------------------------------------------------------------------
DELAY_FADE = 3000.0  # ms in which a server's remembered wait halves: weights return slowly
WEIGHT_WAIT = 150.0  # ms of wait that halve a server's weight

# ---- health ---------------------------------------------------------------------------------------------
UNANSWERED = 0.6  # share of the tolerable wait: while a set-up is unanswered for so long, none is added
OVERTAKEN = 60.0  # ms: a set-up sent so much before one that stands is lost; links vary by less
MOST_OUT = 2  # unanswered set-ups at a server, or so many times what it is offered in one SLOW_LAG
OUT_OF_PACE = 0.8  # of what stood lately in that time, unanswered in a proxy of a large fleet
SLOW_LAG = 150.0  # ms: a server whose last set-up took longer gets in such a lag what it gets in SLOW_LAG
TRIAL_GAP = 300.0  # ms before the first single trial call to a suspect server; doubles with each that fails
LONG_SILENCE = 6000.0  # ms without a connection after which a server that answers again is taken for cold
LONGEST_TRIAL_GAP = 2000.0  # ms between two trial calls at most
FAULT_MEMORY = 0.3  # weight of one outcome in a server's share of faults
MOST_ERRORS = 2  # answers with an error after which the call itself is taken to be at fault
FAULTY = 0.4  # share of faults above which a server is suspect: two in a row, not a stray one
TRIALS_FOR = 600.0  # ms of tolerable wait that the trials' times are for: shorter where it is less
TRIAL_SHARE = 0.3  # of what a server usually takes from this proxy, that trials in a large fleet may come to
LONGEST_TURN = 30.0  # s that a proxy's turn for such a trial takes at most
TRIAL_SPREAD = 600.0  # ms, at random on top, so that the proxies' trials do not fall together

# ---- cold servers ---------------------------------------------------------------------------------------
PACE_WINDOW = 8000.0  # ms over which the pace of warm servers, for their size, is observed
PACE_FADE = 20000.0  # ms in which a pace once seen halves: servers in trouble do not tell what one can do

# ---- holding, time-outs, refusals -----------------------------------------------------------------------
HOLD_LEAVES = 600.0  # ms of the aim that holding a call leaves for its set-up: a pressed server's usual lag
HOLD_LEAVES_OF_AIM = 0.6  # share of the aim that it leaves where that is less
SPARE_FOR_SECOND = 250.0  # ms kept of the aim for a second attempt after the release
PATIENCE_LAGS = 3.0  # times a server's last lag an attempt is given at least, within the aim
LEAST_PATIENCE_OF_AIM = 0.5  # share of the aim that an attempt is given at least, if a second fits in
MOST_TRIED = 400  # held calls that one look tries to send
ANSWER_MARGIN = 60.0  # ms before the caller's time is up at which a held call is answered
# ---- tenants --------------------------------------------------------------------------------------------
TENANT_WINDOW = 5000.0  # ms over which a tenant's first tries are counted, and a peer's word is believed
TENANT_GAP = 1000.0  # ms between two looks at the tenants' rates

# ---- peers ----------------------------------------------------------------------------------------------
PEER_GAP = 1000.0  # ms between two rounds of messages
PEERS_TOLD = 6  # peers, drawn at random, that a round goes to: a proxy's cost does not grow with the fleet
OLD_NEWS = 2000.0  # ms after which a wait is told and believed no more

# ---- the clock ------------------------------------------------------------------------------------------
TICK = 50.0  # ms between two looks at held calls, while there are any; less where aims are short
CARE_GAP = 250.0  # ms between two looks at pace, tenants and probes
PROBE_GAP = 1000.0  # ms between two probes of a server in a small fleet
TICK_TOKEN = 1
CARE_TOKEN = 2


@dataclass(slots=True)
class Image:
    """A gap image: bound rate, expiry and the leaky bucket that enforces the rate."""

    hold_back: float
    rate: float
    expires: float
    reported: float
    tokens: float
    filled: float

    def room(self, now: float) -> float:
        """Set-ups the bucket has room for."""
        depth = max(BUCKET_DEPTH, self.rate * BUCKET_SPAN / 1000.0)
        self.tokens = min(depth, self.tokens + self.rate * (now - self.filled) / 1000.0)
        self.filled = now
        return self.tokens


@dataclass(slots=True)
class Server:
    """What this proxy knows of one core server."""

    entry: ServerEntry
    image: Image | None = None
    offered: deque[float] = field(default_factory=deque)
    stood: deque[float] = field(default_factory=deque)
    out: dict[tuple[int, int], float] = field(default_factory=dict)
    wait: float = 0.0
    wait_at: float = 0.0
    news: float = 0.0
    news_at: float | None = None
    least_lag: float | None = None
    free_lines: float | None = None
    lag: float = 0.0
    lag_at: float = 0.0
    due: float = 0.0
    lines_due: float = 0.0
    suspect: bool = False
    silent: bool = False  # no answer or no connection since it is suspect
    faults: float = 0.0
    suspect_from: float = 0.0
    trial_gap: float = 0.0
    failed_at: float = 0.0
    heard_at: float = 0.0
    trial_due: float = 0.0
    trial_turn: float = 0.0
    cold_from: float | None = None
    cold_tokens: float = 1.0
    cold_filled: float = 0.0
    cold_trust: float = 1.0
    cold_spread: float = 0.0  # 0 to 1: when among the proxies this one takes it for warm
    probe_out: bool = False
    probe_due: float = 0.0

    def remembered_wait(self, now: float) -> float:
        """Latest wait, halving with every DELAY_FADE."""
        return float(self.wait * 0.5 ** ((now - self.wait_at) / DELAY_FADE))

    def remembered_lag(self, now: float) -> float:
        """Latest time to an answer, halving with every DELAY_FADE."""
        return float(self.lag * 0.5 ** ((now - self.lag_at) / DELAY_FADE))


@dataclass(slots=True)
class Call:
    """A call that has no final answer and does not stand yet."""

    ref: int
    kind: CallClass
    rules: Settings  # those it was offered under: they hold to its end
    tenant: str | None
    first_choice: int
    in_transit: bool
    number: str | None
    began: float
    deadline: float
    hold_until: float
    attempts: int = 0
    out: Server | None = None
    not_before: float = 0.0
    may_have_run: bool = False
    erred: list[str] = field(default_factory=list)  # servers that answered it with an error
    asked: set[str] = field(default_factory=set)
    tried: set[str] = field(default_factory=set)


class Controller:
    """The decisions of one border proxy."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = random.Random(seed)
        self.taken: dict[str, deque[float]] = {}
        self.own_share = 1.0  # of a cold server's budget, beside another process of this proxy
        self._settle(settings)
        self.first_tries: dict[str, float] = {}
        self.peer_rates: dict[int, tuple[float, list[float]]] = {}
        self.inside_share: dict[str, float] = {}
        self.tenants_due = self.peers_due = 0.0
        self.ticking = False
        self.servers: dict[str, Server] = {}
        self.calls: dict[int, Call] = {}
        self.fresh: dict[tuple[int, int], float] = {}
        self.duty = TestDuty(frozenset(), frozenset())  # none but the own one, without a fleet
        self.admission: Admission | None = None
        self.repeats, self.repeats_until = math.inf, math.inf  # further attempts that may be made
        self.pace = 0.0
        self.warm = True  # whether there is a warm server to go by
        self.started: float | None = None
        self.actions: list[Action] = []

    def _settle(self, settings: Settings) -> None:
        """What follows from the settings; calls that were offered under others keep theirs."""
        self.settings = settings
        self.classes = {kind.name: kind for kind in settings.classes}
        self.top_worth = max((kind.worth for kind in settings.classes), default=1.0)
        shortest_aim = min((kind.aim for kind in settings.classes), default=1000.0)
        self.tolerable = TOLERABLE_OF_AIM * shortest_aim
        if settings.repeat_interval > 0:
            self.tolerable = min(self.tolerable, settings.repeat_interval)
        self.trial_scale = min(1.0, self.tolerable / TRIALS_FOR)
        self.tick = TICK * self.trial_scale  # where aims are short, a slower look leaves servers idle
        self.window = OFFERED_WINDOW * math.sqrt(max(1.0, settings.proxies / FEW))
        self.part = min(1.0, FEW / max(1, settings.proxies))  # of a least allowance: all parts come to FEW
        self.taken = {tenant.name: self.taken.get(tenant.name, deque()) for tenant in settings.tenants}

    def handle(self, now: float, event: Event) -> list[Action]:
        """What to do about one event."""
        self.actions = []
        if self.started is None:
            self.started = now
            self.peers_due = now + self.random.random() * PEER_GAP
            self.actions.append(SetTimer(CARE_TOKEN, CARE_GAP))
            if not self.settings.lists_pushed:
                self.actions.append(FollowList())
        match event:
            case ServerList():
                self._follow_list(now, event)
            case SetUpOffered():
                self._take(now, event)
            case Stands():
                self._stands(now, event)
            case AttemptEnded():
                self._ended(now, event)
            case CallerGone():
                self.calls.pop(event.ref, None)
            case ProbeEnded():
                self._probed(now, event)
            case PeerMessage() | TestDuty() | PeerNews() | Admission() | RepeatBudget():
                self._hear_fleet(now, event)
            case SettingsChanged(settings):
                self._settle(settings)
                self.peer_rates.clear()  # their order is that of the tenants told of before
            case ColdShare(share):
                self.own_share = share
            case TimerDue(token) if token == TICK_TOKEN:
                self.ticking = False
                self._serve(now)
            case TimerDue(token) if token == CARE_TOKEN:
                self._care(now)
        return self.actions

    # ---- the list ---------------------------------------------------------------------------------------

    def _follow_list(self, now: float, event: ServerList) -> None:
        if event.kind is ListKind.FAILED:
            return
        told = {entry.name for entry in event.entries}
        if event.kind is not ListKind.CHANGES:
            for name in [name for name in self.servers if name not in told]:
                del self.servers[name]
        for entry in event.entries:
            known = self.servers.get(entry.name)
            if entry.state is ServerState.GONE:
                self.servers.pop(entry.name, None)
            elif known is None or (entry.started or 0.0) > (known.entry.started or 0.0):
                self._add(now, entry)
            else:
                known.entry = entry

    def _add(self, now: float, entry: ServerEntry) -> None:
        spread = PROBE_GAP * self.window / OFFERED_WINDOW
        server = Server(entry, probe_due=now + self.random.random() * spread, wait_at=now)
        if entry.started is not None and now - entry.started < self.settings.cold_time:
            self._cool(server, entry.started, now)
        self.servers[entry.name] = server

    def _cool(self, server: Server, since: float, now: float) -> None:
        """Take the server for cold: of many proxies some may send at once, the rest in turn."""
        server.cold_from, server.cold_filled = since, now
        server.cold_tokens, server.cold_spread = self.random.random(), self.random.random()
        if self.own_share < 1.0:
            server.cold_tokens = 0.0  # the other process may have spent the first burst

    # ---- calls ------------------------------------------------------------------------------------------

    def _take(self, now: float, event: SetUpOffered) -> None:
        kind = self.classes[event.call_class]
        began = self._first_try(now, event, kind)
        if began == now and event.tenant in self.taken:
            self.taken[event.tenant].append(now)
        call = self.calls[event.ref] = Call(
            ref=event.ref,
            kind=kind,
            rules=self.settings,
            tenant=event.tenant,
            first_choice=event.first_choice,
            in_transit=event.in_transit,
            number=event.number,
            began=began,
            deadline=now + event.time_left,
            hold_until=min(now + event.time_left - ANSWER_MARGIN, began + kind.aim - self._hold_leaves(kind)),
        )
        if self.admission is not None and self._sheds(self.admission, call, now):
            back = (self.admission.return_from, self.admission.return_to)
            self._answer(call, now, self.random.uniform(*back))
        else:
            self._try(call, now)

    def _sheds(self, admission: Admission, call: Call, now: float) -> bool:
        """Whether the fleet sheds the call, at the cut by its number; a late one goes by what it is worth."""
        share = dict(admission.shares).get(call.kind.name, 1.0)
        if call.in_transit or self._value(call, now) < admission.floor:
            return not call.in_transit
        return (
            share < 1.0
            and admission_threshold.draw(call.number or str(self.random.random()), admission.turn) >= share
        )

    def _repeats_left(self, now: float) -> float:
        return self.repeats if now < self.repeats_until else 0.0  # without a budget: as many as wanted

    def _hold_leaves(self, kind: CallClass) -> float:
        return min(HOLD_LEAVES, HOLD_LEAVES_OF_AIM * kind.aim)

    def _first_try(self, now: float, event: SetUpOffered, kind: CallClass) -> float:
        """When the caller first tried: a number that failed here lately and is dialled again is a redial."""
        began = self.first_tries.pop(event.number, None) if event.number is not None else None
        return now if began is None or now - began > kind.deadline else began

    def _stands(self, now: float, event: Stands) -> None:
        call = self.calls.pop(event.ref, None)
        if call is not None:
            self._blame(now, call, event.server)
        self.fresh.pop((event.ref, event.attempt), None)
        server = self.servers.get(event.server)
        if server is None:
            return
        sent = server.out.pop((event.ref, event.attempt), None)
        if sent is not None:
            self._write_off(server, sent)
        server.stood.append(now)
        least = server.least_lag
        server.least_lag = event.delay if least is None else min(least, event.delay)
        server.faults -= FAULT_MEMORY * server.faults
        server.lag, server.lag_at = event.delay, now
        quick = event.delay < SLOW_LAG
        server.cold_trust = slow_start.trusted(server.cold_trust, quick, 1.0 / self.part)
        wait = max(0.0, event.delay - server.least_lag * (1.0 + LINK_NOISE))
        if wait < UNANSWERED * self.tolerable:
            # Own trials are rare in a large fleet: there, what else is heard from the server counts as well.
            heard = max(0.0, server.heard_at - server.suspect_from) * (1.0 - self.part)
            if server.suspect and server.silent and now - server.suspect_from - heard > LONG_SILENCE:
                # It may have restarted, cold, long before the list tells; if not, trust in it grows fast.
                self._cool(server, now, now)
                server.cold_tokens = max(server.cold_tokens, self.part)
            server.suspect = server.silent = False
        server.heard_at = now
        self._pressure(now, server, None, wait)
        server.news, server.news_at = wait, now

    def _write_off(self, server: Server, sent: float) -> None:
        """Set-ups sent well before one that stands are lost, not waiting: a processor serves in order.

        Guards against a server (or a link) that loses part of the set-ups while the rest is quick: time-outs
        there say nothing of the load, so the lost ones neither hold the server back nor make it suspect, and
        their calls are called off to try again in time. Harm: one that was only late is set up twice.
        """
        for ref, attempt in [key for key, at in server.out.items() if at < sent - OVERTAKEN]:
            del server.out[(ref, attempt)]
            call = self.calls.get(ref)
            if call is not None and call.rules.may_cancel and call.kind.repeat is Repeat.HARMLESS:
                self.actions.append(CancelAttempt(ref, attempt))

    def _blame(self, now: float, call: Call, stood_at: str) -> None:
        """The call stands, so the servers that answered it with an error before are at fault, not the call.

        Guards against callers that offer what no server can use: their errors came at once, made all servers
        suspect and shut everyone else out. Harm: a server that answers all with errors gets a few more calls.
        """
        for name in call.erred:
            server = self.servers.get(name)
            if server is not None and name != stood_at:
                server.faults += FAULT_MEMORY * (1.0 - server.faults)
                if server.faults > FAULTY:
                    self._suspect(now, server)

    def _ended(self, now: float, event: AttemptEnded) -> None:
        self.fresh.pop((event.ref, event.attempt), None)
        server = self.servers.get(event.server)
        if server is not None:
            waiting = server.out.pop((event.ref, event.attempt), None) is not None
            self._judge(now, server, event, waiting)
            if event.report is not None:
                self._report(now, server, event.report)
        call = self.calls.get(event.ref)
        if call is None:
            return
        if event.settled:
            del self.calls[event.ref]
            return
        call.out = None
        if event.ending is Ending.ERROR:
            call.erred.append(event.server)
        if event.ending in (Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED, Ending.ERROR):
            call.may_have_run = True
        if event.ending in (Ending.TIMED_OUT, Ending.CUT, Ending.CANCELLED):
            call.not_before = now + call.rules.release
        room = call.attempts < call.rules.max_attempts and len(call.erred) < MOST_ERRORS
        again = room and (call.kind.repeat is Repeat.HARMLESS or not call.may_have_run)
        again = again and self._repeats_left(now) >= 1.0
        last = call.deadline - ANSWER_MARGIN
        if not again or max(now, call.not_before) >= last:
            self._answer(call, now)
        else:
            limit = max(call.not_before, call.began + call.kind.aim - self._hold_leaves(call.kind))
            call.hold_until = min(last, limit)
            self._try(call, now)

    def _judge(self, now: float, server: Server, event: AttemptEnded, waiting: bool) -> None:
        """What the end of an attempt says about the server."""
        if event.lines_full:
            server.lines_due = now + LINE_PAUSE / self.part
        elif event.ending is Ending.FULL:
            self._suspect(now, server)
            self._pressure(now, server, FULL_HOLD_BACK, None)
            server.news, server.news_at = 2.0 * self.tolerable, now
        elif event.ending is Ending.UNREACHABLE:
            self._suspect(now, server)
            server.silent = True
        elif event.ending is Ending.TIMED_OUT and waiting:
            self._suspect(now, server)
            server.silent = True
            server.lag, server.lag_at = max(event.lag, server.remembered_lag(now)), now
            self._pressure(now, server, None, event.lag)

    def _answer(self, call: Call, now: float, hold_off: float = 0.0) -> None:
        """The final answer of a call that is not sent again."""
        self.calls.pop(call.ref, None)
        if call.number is not None:
            self.first_tries[call.number] = call.began
        if call.may_have_run:
            self.actions.append(Fail(call.ref))
            return
        late = now > call.began + call.kind.aim
        self.actions.append(Refuse(call.ref, call.rules.max_hold_off if late else hold_off))

    def _value(self, call: Call, now: float) -> float:
        """Expected worth of setting the call up now."""
        late = now > call.began + call.kind.aim
        worth = call.kind.worth * (call.kind.late_share if late else 1.0)
        inside = self.inside_share.get(call.tenant or "", 1.0)
        return worth * (inside + (1.0 - inside) * self.settings.over_share_worth)

    def _serve(self, now: float) -> None:
        """Send held calls that may go now, the worthiest first.

        Guards against a look at thousands of held calls that takes longer than they have: beyond MOST_TRIED
        the others wait for the next look, or are answered. Harm: none below; above, nothing has room anyway.
        """
        held = [call for call in self.calls.values() if call.out is None]
        held.sort(key=lambda c: (-self._value(c, now), c.began, c.ref))
        for call in held[:MOST_TRIED]:
            self._try(call, now)
        for call in held[MOST_TRIED:]:
            if now >= call.hold_until:
                self._answer(call, now)
            else:
                self._look_again()

    def _try(self, call: Call, now: float) -> None:
        """Send the call if a server has room; refuse it once it has waited long enough."""
        if now < call.not_before:
            self._look_again()
            return
        server = None if self._window_full(now) else self._route(call, now)
        if server is not None:
            self._send(call, server, now)
        elif now >= call.hold_until:
            self._answer(call, now)
        else:
            self._look_again()

    def _look_again(self) -> None:
        if not self.ticking:
            self.ticking = True
            self.actions.append(SetTimer(TICK_TOKEN, self.tick))

    def _window_full(self, now: float) -> bool:
        """Whether so much is unanswered, at all servers together, that one more has to wait.

        Guards against surges (redials after a crash, a burst) that images stop only once reports come back:
        what all proxies have out is what the servers do in a tolerable wait. Set-ups out for longer count no
        more, as lost or at a server held back by itself. Harm: none at the usual rates.
        """
        while self.fresh:
            if self.fresh[first := next(iter(self.fresh))] > now - UNANSWERED * self.tolerable:
                break
            del self.fresh[first]
        most = len(self.servers) * self.part / max(1e-9, 1.0 - self.part)  # none for up to FEW
        size = sum(server.entry.size for server in self.servers.values())
        own = OUT_OF_PACE * self.pace * size * UNANSWERED * self.tolerable / 1000.0  # by what it serves
        return len(self.fresh) >= max(1.0, most, own)

    def _send(self, call: Call, server: Server, now: float) -> None:
        self.fresh[(call.ref, call.attempts)] = now
        call.out = server
        server.out[(call.ref, call.attempts)] = now
        call.attempts += 1
        self.repeats -= call.attempts > 1
        call.tried.add(server.entry.name)
        self.actions.append(SendSetUp(call.ref, server.entry.name, self._patience(call, server, now)))

    def _patience(self, call: Call, server: Server, now: float) -> float:
        left = call.deadline - now
        others = sum(1 for server in self._open_to(call) if server.entry.name not in call.tried)
        if call.attempts >= call.rules.max_attempts or not others:
            return max(left, 1.0)
        aim_left = call.began + call.kind.aim - now
        wish = aim_left - call.rules.release - SPARE_FOR_SECOND
        wish = max(wish, min(aim_left, PATIENCE_LAGS * server.remembered_lag(now)))
        least = call.kind.aim * LEAST_PATIENCE_OF_AIM
        if call.kind.aim - call.rules.release - SPARE_FOR_SECOND < least:
            least = call.kind.aim  # no second attempt can be in time: an early time-out only wastes the first
        return max(1.0, min(left, max(wish, least)))

    # ---- choice of server -------------------------------------------------------------------------------

    def _open_to(self, call: Call) -> list[Server]:
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

    def _route(self, call: Call, now: float) -> Server | None:
        """First choice while it shows free agents, else the weighted draw, each unless it is gapped."""
        servers = self._open_to(call)
        fresh = [server for server in servers if server.entry.name not in call.tried] or servers
        for server in self._draw(call, fresh, now):
            new = server.entry.name not in call.asked and not call.attempts
            counted = new and (not call.asked or self.part == 1.0 or self.random.random() < self.part)
            call.asked.add(server.entry.name)  # redraws count by part: else each u is the whole traffic
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
            weights = [s.entry.size / (1.0 + (s.remembered_wait(now) / WEIGHT_WAIT) ** 2) for s in rest]
            server = self.random.choices(rest, weights)[0]
            rest.remove(server)
            yield server

    def _admits(self, server: Server, call: Call, now: float) -> bool:
        """Whether one more set-up may go to the server now; takes its tokens if so."""
        if server.suspect and (server.out or now < server.trial_due + server.trial_turn):
            return False
        if server.suspect and server.entry.name in self.duty.no_trials:
            return False
        if server.suspect and self.settings.may_probe and server.heard_at < server.failed_at:
            return False  # a probe finds out at less cost than a caller whether anything comes back
        unanswered = UNANSWERED * self.tolerable + min(LINK_LAG, server.least_lag or 0.0)
        late = server.out and now - min(server.out.values()) > unanswered
        if late and (len(server.out) > self.part or server.remembered_lag(now) > SLOW_LAG):
            return False
        usual = self._offered_rate(now, server) * SLOW_LAG / 1000.0  # set-ups offered in one slow lag
        if len(server.out) >= max(1.0 + (MOST_OUT - 1.0) * self.part, MOST_OUT * usual):
            return False
        if now < max(server.due, server.lines_due):
            return False
        cold = self._cold_room(server, now, server.entry.place == call.first_choice)
        image = server.image if server.image is not None and now < server.image.expires else None
        lesser = 1.0 - self._value(call, now) / self.top_worth
        if server.free_lines is not None and server.free_lines < 1.0 + RESERVED_LINES * lesser:
            return False
        need = 1.0 + RESERVED * lesser
        if (cold is not None and cold < 1.0) or (image is not None and image.room(now) < need):
            return False
        if cold is not None:
            server.cold_tokens -= 1.0
        if image is not None:
            image.tokens -= 1.0
        lag = server.remembered_lag(now)
        server.due = now + lag / max(1.0, usual) if lag > SLOW_LAG else 0.0
        return True

    # ---- pressure and images ----------------------------------------------------------------------------

    def _report(self, now: float, server: Server, report: Report) -> None:
        server.heard_at = now
        self._lines(now, server, report)
        if report.hold_back is not None or report.wait is not None:
            self._pressure(now, server, report.hold_back, report.wait)

    def _lines(self, now: float, server: Server, report: Report) -> None:
        if report.free_lines is not None:
            server.free_lines = report.free_lines
            if self.part < 1.0 and self.random.random() * self.settings.proxies < report.free_lines:
                server.lines_due = now  # the pause ends for about as many proxies as lines are free

    def _pressure(self, now: float, server: Server, hold_back: float | None, wait: float | None) -> None:
        """Refresh the server's image from an asked share, a wait, or both (the higher share counts)."""
        share = min(MOST_HELD_BACK, hold_back or 0.0)  # a noisy share may pass 1
        if wait is not None:
            if wait < UNANSWERED * self.tolerable:
                server.trial_turn = 0.0  # others are answered there: the own trial need not wait its turn
            if wait >= server.remembered_wait(now):
                server.wait, server.wait_at = wait, now
            share = max(share, self._level(wait))
        if self.admission is not None:  # the fleet holds back so much before it comes here
            share = max(0.0, 1.0 - (1.0 - share) / self.admission.admitted)
        image = server.image if server.image is not None and now < server.image.expires else None
        if image is not None:
            ease = QUICK_EASE if wait is not None and share == 0.0 else 1.0
            share = max(share, image.hold_back * ease * 0.5 ** ((now - image.reported) / HOLD_BACK_FADE))
        if share < LEVELS[0][1] / 2:
            server.image = None
            return
        rate = max(BOUND_FLOOR * self.part, self._offered_rate(now, server) * (1.0 - share))
        if image is None:
            tokens = self.part + (1.0 - self.part) * (1.0 - share + self.random.random())
            server.image = Image(share, rate, now + IMAGE_LIFE, now, tokens, now)
            return
        image.room(now)
        if share > image.hold_back:
            image.tokens *= ((1.0 - share) / (1.0 - image.hold_back)) ** (1.0 - self.part)
        image.hold_back, image.rate, image.expires, image.reported = share, rate, now + IMAGE_LIFE, now

    def _level(self, wait: float) -> float:
        share = 0.0
        for bound, held_back in LEVELS:
            if wait >= bound * self.tolerable:
                share = held_back
        return share

    def _offered_rate(self, now: float, server: Server) -> float:
        while server.offered and server.offered[0] <= now - self.window:
            server.offered.popleft()
        seen = min(self.window, max(OFFERED_WINDOW, now - (self.started or 0.0)))
        return len(server.offered) * 1000.0 / seen

    # ---- health -----------------------------------------------------------------------------------------

    def _suspect(self, now: float, server: Server) -> None:
        """No answer, no connection, faults, a full processor: single trials after a pause, till one is quick.

        Guards against jams that tip: the floor of 1/s from every proxy, each set-up repeated while it waits,
        can keep a slow server full for good; one set-up out at a time per proxy bounds its queue. Should
        catch any server that stops answering. Harm: a server that loses one call is used little for a moment.
        """
        if not server.suspect:
            server.suspect, server.suspect_from = True, now
            server.trial_gap = TRIAL_GAP * self.trial_scale
            server.probe_due = server.failed_at = now
        spread = self.random.random() * TRIAL_SPREAD * self.trial_scale
        server.trial_due = now + server.trial_gap + spread
        usual = max(TRIAL_SHARE * self.pace * server.entry.size, 1.0 / LONGEST_TURN)  # trials/s
        server.trial_turn = spread * (1.0 / self.part - 1.0)
        server.trial_turn += 1000.0 * self.random.random() * (1.0 - self.part) / usual
        server.trial_gap = min(LONGEST_TRIAL_GAP * self.trial_scale, server.trial_gap * 2.0)

    # ---- cold servers -----------------------------------------------------------------------------------

    def _cold_room(self, server: Server, now: float, first: bool = True) -> float | None:
        """Set-ups a cold server has room for, of calls that ask for it first or not; None when it is warm."""
        if server.cold_from is None:
            return None
        age, told = now - server.cold_from, server.entry.started == server.cold_from
        share = slow_start.share(age, server.cold_trust, told, self.settings)
        if slow_start.over(age, server.cold_spread if told else 0.0, self.settings):
            server.cold_from = None
            return None
        usual = self.pace * server.entry.size
        if not told or (not self.warm and self.pace == 0.0):
            usual = max(usual, BOUND_FLOOR * self.part)  # nothing tells what one can do, nor that it is cold
        rate, elapsed = usual * share * self.own_share, now - server.cold_filled
        server.cold_tokens = slow_start.refilled(server.cold_tokens, rate, elapsed, self.settings)
        server.cold_filled = now
        return (
            server.cold_tokens
            if first or not told
            else slow_start.young(server.cold_tokens, rate, self.settings)
        )

    def _bears_probe(self, server: Server, now: float) -> bool:
        """Whether a probe may go there; a cold server's is work that its budget counts."""
        room = self._cold_room(server, now)
        if borne := room is None or room >= slow_start.PROBE_WORK:
            server.cold_tokens -= slow_start.PROBE_WORK
        return borne

    def _observe_pace(self, now: float) -> None:
        warm = [s for s in self.servers.values() if s.cold_from is None and s.entry.state is ServerState.OPEN]
        for server in warm:
            while server.stood and server.stood[0] <= now - PACE_WINDOW:
                server.stood.popleft()
        self.warm = bool(warm)
        if warm and self.started is not None:
            span = max(min(PACE_WINDOW, now - self.started), 1000.0)
            stood = slow_start.counted(sum(len(s.stood) for s in warm))
            seen = stood * 1000.0 / span / sum(s.entry.size for s in warm)
            self.pace = max(seen, self.pace * 0.5 ** (CARE_GAP / PACE_FADE))

    # ---- the clock --------------------------------------------------------------------------------------

    def _care(self, now: float) -> None:
        self.actions.append(SetTimer(CARE_TOKEN, CARE_GAP))
        self._observe_pace(now)
        self._forget(now)
        if self.taken and now >= self.tenants_due:
            self._weigh_tenants(now)
        if self.settings.may_tell_peers and now >= self.peers_due:
            self._tell_peers(now)
        if self.settings.may_probe:
            for server in self.servers.values():
                # Of many proxies' tests, those of a server that answered would add up: trials tell more.
                useful = server.suspect and (self.part == 1.0 or server.heard_at < server.failed_at)
                useful = useful or self.settings.report_by is ReportBy.PROBES
                useful = useful and server.entry.name not in self.duty.no_tests
                useful = useful and not server.probe_out and now >= server.probe_due
                if useful and self._bears_probe(server, now):
                    server.probe_out = True
                    self.actions.append(Probe(server.entry.name))

    # ---- tenants ----------------------------------------------------------------------------------------

    def _weigh_tenants(self, now: float) -> None:
        """The share of each tenant's traffic that is inside its allowance, which all proxies use up together.

        Acts where tenants are told of. Peers tell each other their rates, since own traffic times their
        number is a poor guess; where none is heard it stands in. Harm: with peers silent, one that calls
        mostly through this proxy is taken for one over its share; its calls then only go later, not never.
        """
        self.tenants_due = now + TENANT_GAP
        own = [self._tenant_rate(times, now) for times in self.taken.values()]
        heard = [rates for at, rates in self.peer_rates.values() if now - at <= TENANT_WINDOW]
        for place, tenant in enumerate(self.settings.tenants):
            total = own[place] + sum(rates[place] for rates in heard)
            total *= self.settings.proxies / (1 + len(heard))
            self.inside_share[tenant.name] = min(1.0, tenant.allowance / total) if total > 0 else 1.0

    def _tenant_rate(self, times: deque[float], now: float) -> float:
        while times and times[0] <= now - TENANT_WINDOW:
            times.popleft()
        return len(times) * 1000.0 / TENANT_WINDOW

    # ---- peers ------------------------------------------------------------------------------------------

    def _tell_peers(self, now: float) -> None:
        """Tell a few peers the own tenants' rates and the latest waits known, also second-hand.

        Guards against images that come too late where a proxy has few answers of its own from a server. Harm:
        news is up to OLD_NEWS old; own answers are taken as they come, so a wrong figure lasts no longer.
        """
        self.peers_due = now + PEER_GAP
        rates = (self._tenant_rate(times, now) for times in self.taken.values())
        known = [s for s in self.servers.values() if s.news_at is not None and now - s.news_at < OLD_NEWS]
        news = ((s.entry.place, now - (s.news_at or now), s.news) for s in known)
        body = gossip.write(rates, news)
        others = [peer for peer in range(self.settings.proxies) if peer != self.settings.own_slot]
        if body and others:
            told = self.random.sample(others, min(PEERS_TOLD, len(others)))
            self.actions.extend(TellPeer(peer, body) for peer in told)

    def _hear_fleet(self, now: float, event: Event) -> None:
        match event:
            case PeerMessage():
                self._hear_peer(now, event)
            case TestDuty():
                self.duty = event
            case PeerNews(name, age, wait) if name in self.servers:
                self._news(now, self.servers[name], now - age, wait)
            case Admission():
                self.admission = event
            case RepeatBudget(tokens, life):
                left = self._repeats_left(now) if self.repeats_until < math.inf else 0.0
                self.repeats, self.repeats_until = left + tokens, now + life

    def _hear_peer(self, now: float, event: PeerMessage) -> None:
        """A peer's rates and news; a message of another form is passed over."""
        read = gossip.read(event.body, len(self.taken))
        if read is None or not 0 <= event.sender < self.settings.proxies:
            return
        self.peer_rates[event.sender] = (now, read[0])
        places = {server.entry.place: server for server in self.servers.values()}
        for place, age, wait in read[1]:
            server, seen = places.get(place), now - age
            if server is not None and (server.news_at is None or seen > server.news_at + gossip.NEWS_STEP):
                self._news(now, server, seen, wait)

    def _news(self, now: float, server: Server, seen: float, wait: float | None) -> None:
        server.heard_at = max(server.heard_at, seen)
        if wait is not None:
            server.news, server.news_at = wait, seen
            self._pressure(now, server, None, wait)

    def _forget(self, now: float) -> None:
        longest = max((kind.deadline for kind in self.settings.classes), default=0.0)
        while self.first_tries:
            number = next(iter(self.first_tries))
            if now - self.first_tries[number] <= longest:
                break
            del self.first_tries[number]

    def _probed(self, now: float, event: ProbeEnded) -> None:
        server = self.servers.get(event.server)
        if server is None:
            return
        if event.unasked:
            if event.report is not None:
                self._lines(now, server, event.report)
            return
        server.probe_out = False
        server.probe_due = now + PROBE_GAP * self.window / OFFERED_WINDOW
        if event.ending is Ending.DELIVERED:
            server.heard_at = now
            if event.report is not None:
                self._report(now, server, event.report)
