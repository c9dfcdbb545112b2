"""Gives aged state to a fresh Controller, and lets go of it as soon as fresh evidence says otherwise.

Restored beliefs are hints. A cold server never gets more by them than from a fresh proxy, and none is
preferred for them. ``Hints`` follows what the decisions hear and drops a server's restored beliefs at its
first quick answer, without waiting for them to fade.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

from martentide.interface import AttemptEnded, Ending, Event, Stands
from martentide.learned.ageing import Aged
from martentide.learned.schema import ServerState
from martentide.rules import TRIAL_GAP, TRIAL_SPREAD, Controller, Image, Server

HINT_LIFETIME_MS = 10_000.0  # ms after the start in which restored beliefs are dropped by fresh evidence
QUICK_FACTOR = 2.0  # times the restored way to a server, and QUICK_LAG ms, within which an answer is quick
QUICK_MARGIN_MS = 50.0


@dataclass(frozen=True, slots=True)
class Restored:
    """What came of it: servers whose beliefs were taken up, and those left out by reason."""

    servers: int
    unknown: int  # not in the list any more
    restarted: int  # started anew since
    redials: int
    images: int
    suspects: int
    cold: int


def restore(controller: Controller, aged: Aged, now: float, rng: random.Random) -> tuple[Restored, Hints]:
    """Fill a Controller that has its list and has decided nothing yet."""
    known = unknown = restarted = images = suspects = cold = 0
    hints: dict[str, ServerState] = {}
    for saved in aged.learned.servers:
        server = controller.servers.get(saved.name)
        if server is None:
            unknown += 1
            continue
        if (server.entry.started or 0.0) != saved.started:
            restarted += 1  # another process: nothing that was learned of the old one holds
            continue
        _restore_server(server, saved, now, rng, controller)
        hints[saved.name] = saved
        known += 1
        images += server.image is not None
        suspects += server.suspect
        cold += server.cold_from is not None
    longest = max((kind.deadline for kind in controller.settings.classes), default=0.0)
    redials = {number: at for number, at in aged.learned.redials.items() if now - at <= longest}
    # In the order of their first tries: the decisions forget from the front.
    controller.first_tries.update(sorted(redials.items(), key=lambda item: item[1]))
    counts = Restored(known, unknown, restarted, len(redials), images, suspects, cold)
    return counts, Hints(hints, now)


def _restore_server(
    server: Server, saved: ServerState, now: float, rng: random.Random, controller: Controller
) -> None:
    server.wait, server.wait_at = saved.wait, saved.wait_at
    server.lag, server.lag_at = saved.lag, saved.lag_at
    server.least_lag = saved.least_lag
    server.faults = saved.faults
    server.heard_at, server.failed_at = saved.heard_at, saved.failed_at
    server.offered = deque(saved.offered)
    if saved.suspect:
        server.suspect, server.silent = True, saved.silent
        server.suspect_from = saved.suspect_from
        server.trial_gap = max(saved.trial_gap, TRIAL_GAP * controller.trial_scale)
        # Drawn anew: proxies that were restarted together must not try together.
        server.trial_due = now + rng.random() * (server.trial_gap + TRIAL_SPREAD * controller.trial_scale)
        server.probe_due = now
    if server.cold_from is None and saved.cold_from is not None:
        age = now - saved.cold_from
        if 0 <= age < controller.settings.cold_time:
            server.cold_from, server.cold_tokens = saved.cold_from, rng.random()
            server.cold_spread = rng.random()
    if server.cold_from is not None:
        # A debt stays, and the time between brings nothing back. What was unspent is not known: what was sent
        # since the save is not in it. So the new process begins where any does, at a random place between two
        # grants, which brings no first burst however often it is restarted.
        server.cold_tokens, server.cold_filled = server.cold_tokens + min(0.0, saved.cold_tokens), now
    if saved.image is not None:
        image = saved.image
        server.image = Image(image.hold_back, image.rate, image.expires, image.reported, 0.0, now)


class Hints:
    """Restored beliefs that no fresh evidence has confirmed or ended yet."""

    def __init__(self, servers: dict[str, ServerState], now: float) -> None:
        self.servers, self.expires_at = servers, now + HINT_LIFETIME_MS
        self.dropped = 0

    @property
    def over(self) -> bool:
        return not self.servers

    def heard(self, now: float, event: Event, controller: Controller) -> None:
        """Told of each event after the decisions have taken it."""
        if now >= self.expires_at:
            self.servers.clear()
            return
        if isinstance(event, Stands):
            saved = self.servers.pop(event.server, None)
            server = controller.servers.get(event.server)
            if saved is None or server is None:
                return
            if event.delay <= QUICK_FACTOR * (saved.least_lag or 0.0) + QUICK_MARGIN_MS:
                self._drop(server, saved)
        elif isinstance(event, AttemptEnded):
            told = event.report is not None and event.ending is not Ending.NOT_SENT
            if told or event.ending in (Ending.FULL, Ending.TIMED_OUT):
                self.servers.pop(event.server, None)  # fresh word, which the decisions have taken in

    def _drop(self, server: Server, saved: ServerState) -> None:
        """The server answers quickly: what was restored against it ends at once, not by and by."""
        self.dropped += 1
        image, old = server.image, saved.image
        if image is not None and old is not None and image.hold_back <= old.hold_back:
            server.image = None
        if server.wait == saved.wait:
            server.wait = 0.0
        server.faults = 0.0
        server.due = 0.0
