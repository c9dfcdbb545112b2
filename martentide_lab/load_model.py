"""Load model shared by the test servers and the simulation: server queues and reports, callers' redials."""

from __future__ import annotations

import random

MAX_QUEUE_WAIT_MS = 2_500.0  # longest wait in a server's queue; beyond it a set-up is refused
REFUSAL_COST = 0.2  # processing cost of a refusal, as a fraction of that of a set-up
REPORT_INTERVAL_MS = 300.0  # time between two updates of the share in a server's report
# The share to be held back is 0 up to the threshold of queue wait. It then grows linearly, by 1 per range,
# up to ``MAX_HOLD_BACK_SHARE``.
HOLD_BACK_THRESHOLD_MS, HOLD_BACK_RANGE_MS = 100.0, 500.0
MAX_HOLD_BACK_SHARE = 0.95  # largest share that a server asks to be held back
# Wait before the first redial, doubled for each further one; the range at the site is 470 to 1,500 ms.
REDIAL_BACKOFF_MS = 950.0
HOLD_OFF_COMPLIANCE = 0.7  # share of callers that respect the hold-off time of a refusal


def hold_back_share(wait: float) -> float:
    """Return the share of new set-ups that a server asks to be held back at a queue wait in ms."""
    return min(MAX_HOLD_BACK_SHARE, max(0.0, (wait - HOLD_BACK_THRESHOLD_MS) / HOLD_BACK_RANGE_MS))


def warm_up_share(age: float, cold_share: float, cold_time: float) -> float:
    """Return the share of its full capacity that a server has ``age`` ms after a cold start.

    It grows linearly from ``cold_share`` to 1 in ``cold_time`` ms.
    """
    return min(1.0, cold_share + (1.0 - cold_share) * max(0.0, age) / cold_time)


def redial_delay(dials: int, hold_off: float, compliance: float, rng: random.Random) -> float:
    """Return the wait in ms before a redial, after ``dials`` dials and a refusal with ``hold_off`` ms.

    ``compliance`` is the probability that the caller respects the hold-off.
    """
    wait = REDIAL_BACKOFF_MS * 2.0 ** (dials - 1) * rng.uniform(0.75, 1.25)
    return max(wait, hold_off) if rng.random() < compliance else wait
