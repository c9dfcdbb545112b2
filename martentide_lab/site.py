"""Figures of the site that stand-ins and simulation share: servers' lines and reports, callers' redials."""

from __future__ import annotations

import random

LONGEST_WAIT = 2_500.0  # ms in a processor's line, beyond which a set-up is turned away
REFUSAL_WORK = 0.2  # of a set-up, that turning one away costs
REFRESH = 300.0  # ms between two refreshes of a server's report
UNPRESSED, WHOLLY = 100.0, 500.0  # ms of wait: none is asked to be held back up to it; and all, so much later
MOST_ASKED = 0.95  # share to be held back at most
BACKOFF = 950.0  # ms before the first redial, doubling; the site's range is 470 to 1,500
HONOUR = 0.7  # share of callers that keep away as long as a refusal asks


def asked_share(wait: float) -> float:
    """Share of new set-ups that a server asks to be held back at that wait."""
    return min(MOST_ASKED, max(0.0, (wait - UNPRESSED) / WHOLLY))


def warm_share(age: float, cold_share: float, cold_time: float) -> float:
    """Of its capacity, what a server does so many ms after a cold start."""
    return min(1.0, cold_share + (1.0 - cold_share) * max(0.0, age) / cold_time)


def redial_wait(tries: int, hold_off: float, honour: float, dice: random.Random) -> float:
    """ms after which a caller dials again, having dialled so often and been told to keep away so long."""
    wait = BACKOFF * 2.0 ** (tries - 1) * dice.uniform(0.75, 1.25)
    return max(wait, hold_off) if dice.random() < honour else wait
