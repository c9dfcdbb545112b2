"""Figures of the site that stand-ins and simulation share: servers' lines and reports, callers' redials."""

from __future__ import annotations

import random

MAX_QUEUE_WAIT_MS = 2_500.0  # ms in a processor's line, beyond which a set-up is turned away
REFUSAL_COST = 0.2  # of a set-up, that turning one away costs
REPORT_INTERVAL_MS = 300.0  # ms between two refreshes of a server's report
UNPRESSED, WHOLLY = 100.0, 500.0  # ms of wait: none is asked to be held back up to it; and all, so much later
MAX_HOLD_BACK_SHARE = 0.95  # share to be held back at most
REDIAL_BACKOFF_MS = 950.0  # ms before the first redial, doubling; the site's range is 470 to 1,500
HOLD_OFF_COMPLIANCE = 0.7  # share of callers that keep away as long as a refusal asks


def hold_back_share(wait: float) -> float:
    """Share of new set-ups that a server asks to be held back at that wait."""
    return min(MAX_HOLD_BACK_SHARE, max(0.0, (wait - UNPRESSED) / WHOLLY))


def warm_up_share(age: float, cold_share: float, cold_time: float) -> float:
    """Of its capacity, what a server does so many ms after a cold start."""
    return min(1.0, cold_share + (1.0 - cold_share) * max(0.0, age) / cold_time)


def redial_delay(tries: int, hold_off: float, honour: float, dice: random.Random) -> float:
    """ms after which a caller dials again, having dialled so often and been told to keep away so long."""
    wait = REDIAL_BACKOFF_MS * 2.0 ** (tries - 1) * dice.uniform(0.75, 1.25)
    return max(wait, hold_off) if dice.random() < honour else wait
