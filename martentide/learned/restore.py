"""Loads aged state into a new Controller and drops it as soon as new evidence contradicts it.

Restored state is a hint only: it never gives a cold server more calls than a new proxy would, and it makes no
server preferred. ``RestoredHints`` observes the events of the decision module and drops a server's restored
state at its first quick answer instead of waiting for it to age.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

from martentide.interface import AttemptEnded, Ending, Event, Stands
from martentide.learned.ageing import Aged
from martentide.learned.schema import ServerState
from martentide.rules import TRIAL_GAP, TRIAL_SPREAD, Controller, Image, Server

HINT_LIFETIME_MS = 10_000.0  # after the start, in which new evidence drops restored state
QUICK_FACTOR = 2.0  # an answer is quick within this factor of the restored round trip plus the margin
QUICK_MARGIN_MS = 50.0


@dataclass(frozen=True, slots=True)
class Restored:
    """Counts of a restore: servers restored, and servers skipped by reason."""

    servers: int
    unknown: int  # no longer in the list
    restarted: int  # restarted since the save
    redials: int
    images: int
    suspects: int
    cold: int


def restore(
    controller: Controller, aged: Aged, now: float, rng: random.Random
) -> tuple[Restored, RestoredHints]:
    """Load state into a Controller that has its server list and has made no decision yet."""
    known = unknown = restarted = images = suspects = cold = 0
    hints: dict[str, ServerState] = {}
    for saved in aged.learned.servers:
        server = controller.servers.get(saved.name)
        if server is None:
            unknown += 1
            continue
        if (server.entry.started or 0.0) != saved.started:
            restarted += 1  # another process: nothing learned about the old one applies
            continue
        _restore_server(server, saved, now, rng, controller)
        hints[saved.name] = saved
        known += 1
        images += server.image is not None
        suspects += server.suspect
        cold += server.cold_from is not None
    longest_deadline = max((call_class.deadline for call_class in controller.settings.classes), default=0.0)
    redials = {number: at for number, at in aged.learned.redials.items() if now - at <= longest_deadline}
    # Ordered by first attempt, because the decision module removes the oldest entries from the start.
    controller.first_tries.update(sorted(redials.items(), key=lambda item: item[1]))
    counts = Restored(known, unknown, restarted, len(redials), images, suspects, cold)
    return counts, RestoredHints(hints, now)


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
        # Drawn again: proxies that were restarted together must not probe together.
        server.trial_due = now + rng.random() * (server.trial_gap + TRIAL_SPREAD * controller.trial_scale)
        server.probe_due = now
    if server.cold_from is None and saved.cold_from is not None:
        age = now - saved.cold_from
        if 0 <= age < controller.settings.cold_time:
            server.cold_from, server.cold_tokens = saved.cold_from, rng.random()
            server.cold_spread = rng.random()
    if server.cold_from is not None:
        # A negative balance is kept, and the downtime adds no tokens. A positive one is not restored, because
        # calls sent after the save are missing from it. The new process starts like any other, at a random
        # point between two tokens, so that repeated restarts cause no burst.
        server.cold_tokens, server.cold_filled = server.cold_tokens + min(0.0, saved.cold_tokens), now
    if saved.image is not None:
        image = saved.image
        server.image = Image(image.hold_back, image.rate, image.expires, image.reported, 0.0, now)


class RestoredHints:
    """Restored state that no new evidence has confirmed or replaced yet."""

    def __init__(self, servers: dict[str, ServerState], now: float) -> None:
        self.servers, self.expires_at = servers, now + HINT_LIFETIME_MS
        self.dropped = 0

    @property
    def exhausted(self) -> bool:
        """Whether no restored state is left."""
        return not self.servers

    def observe_event(self, now: float, event: Event, controller: Controller) -> None:
        """Process an event after the decision module has processed it."""
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
            has_report = event.report is not None and event.ending is not Ending.NOT_SENT
            if has_report or event.ending in (Ending.FULL, Ending.TIMED_OUT):
                self.servers.pop(event.server, None)  # new evidence, which the decision module already uses

    def _drop(self, server: Server, saved: ServerState) -> None:
        """Drop the restored state that restricts calls to a server, because the server answers quickly.

        It is dropped at once, without waiting for it to age.
        """
        self.dropped += 1
        image, saved_image = server.image, saved.image
        if image is not None and saved_image is not None and image.hold_back <= saved_image.hold_back:
            server.image = None
        if server.wait == saved.wait:
            server.wait = 0.0
        server.faults = 0.0
        server.next_send_at = 0.0
