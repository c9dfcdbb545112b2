"""How much of what is offered first is let in, by the pressure that all hear of: one member's copy.

A share of what is offered, not a rate: it needs no count of what the fleet is offered or can do, so that
neither redials nor a wrong guess at the fleet's size raise it. It has a part that follows the pressure at
once, and a slow one for what lasts (proportional and integral, on a logarithmic scale: a matter of ratios).
Every member keeps a copy of the slow part and draws it towards those it hears of; no one leads.
Phases: normal (all is let in), shedding, recovering (the ramp of the slow part).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

PRESSED = 0.12  # share asked to be held back, below which nothing is shed at once
SWIFT, SWIFT_MOST = 1.0, 4.0  # in the exponent, for pressure beyond it; the latter in large fleets
SMALL, LARGE = (
    12.0,
    200.0,
)  # members up to which, and from which: word gets older in between, and lines grow on
LASTING = 0.5  # share asked to be held back beyond which the slow part falls, and below which it rises
SLOW = 0.5  # in the exponent, a second
RAMP = 0.25  # of everything, a second, at which the slow part rises at most
STORM = 0.8  # in the exponent, a second, on top where a storm feeds itself
LEAST = 0.05  # admitted at least: some calls must go to bring word
REFRAIN = 4_000.0  # ms after the last pressure in which late redials stay out
SMOOTH = 250.0  # ms over which pressure is smoothed: single reports are noisy
PULL = 0.3  # of the way to what another member says, at once
MOST_PULL = 0.05  # in one word: bounds what a liar does
STORM_REDIALS = 0.5  # redials to first tries from which
STORM_STOOD = 0.6  # ... and share of set-ups that stand below which the storm is held to feed itself
LESS_PRESSED = 0.7  # of the servers: calls are redrawn among them, so those less pressed decide


class Phase(IntEnum):
    NORMAL = 0
    SHEDDING = 1
    RECOVERING = 2


@dataclass
class Level:
    lasting: float = 1.0
    pressure: float = 0.0
    looked: float | None = None
    storms: int = 0
    pressed_at: float = -1e9
    swift: float = SWIFT

    def refrains(self, now: float) -> bool:
        """Whether redials that are late by now stay out: what waits outside after a surge comes in at once
        else, and makes the next one."""
        return now - self.pressed_at < REFRAIN

    @property
    def admitted(self) -> float:
        """The share let in, LEAST to 1."""
        over = max(0.0, self.pressure - PRESSED)
        return max(LEAST, self.lasting * math.exp(-self.swift * over))

    @property
    def phase(self) -> Phase:
        if self.pressure > PRESSED:
            return Phase.SHEDDING
        return Phase.RECOVERING if self.lasting < 1.0 else Phase.NORMAL

    def look(self, now: float, pressure: float, storm: bool) -> None:
        """``pressure``: 0 to 1, from ``pressure_of``; ``storm``: redials add up while fewer stand."""
        span = 0.0 if self.looked is None else min(500.0, now - self.looked)  # a stop is no time to recover
        self.looked = now
        self.pressure += (pressure - self.pressure) * (1.0 - math.exp(-span / SMOOTH))
        if self.pressure > PRESSED:
            self.pressed_at = now
        seconds = span / 1_000.0
        off = SLOW * (LASTING - self.pressure)
        if storm:
            self.storms += 1
            off -= STORM
        risen = min(self.lasting * math.exp(off * seconds), self.lasting + RAMP * seconds)
        self.lasting = max(LEAST, min(1.0, risen))

    def hear(self, lasting: float) -> None:
        """Another member's slow part, from fresh word."""
        step = max(-MOST_PULL, min(MOST_PULL, PULL * (lasting - self.lasting)))
        self.lasting = max(LEAST, min(1.0, self.lasting + step))


def largeness(members: int) -> float:
    """0 for a small fleet to 1 for a large one, by its logarithm, as the time that word takes goes."""
    return min(1.0, max(0.0, math.log(max(1, members) / SMALL) / math.log(LARGE / SMALL)))


def pressure_of(holds: Iterable[float]) -> float:
    """The pressure on the fleet, from the shares that its servers ask to be held back: the mean of those less
    pressed, since a call turned away at one is redrawn among the others."""
    ordered = sorted(holds)
    count = math.ceil(LESS_PRESSED * len(ordered))
    return sum(ordered[:count]) / count if count else 0.0
