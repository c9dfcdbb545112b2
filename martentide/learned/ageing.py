"""How old state counts for less, field by field. Pure.

Age counts from when the state was *saved* to when it is taken up. A weight is 0.5 ** (age / half-life):
smooth, 1 for what was saved now. A belief whose weight has fallen under FORGOTTEN is left out altogether.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from martentide.learned.schema import SERVER_FIELDS, ImageState, Learned, ServerState

MIN_WEIGHT = 0.02  # of the weight: six half-lives and a little
CLOCK_TOLERANCE_MS = 2_000.0  # ms by which a clock may have been set back without the state being refused
STALE_AFTER_MS = 300_000.0  # ms after which nothing but ways to servers can be left, and the start says so
MIN_SUSPECT_WEIGHT = 0.25  # of the weight: below, a server is no longer suspect


class ClockStatus(Enum):
    """What the time of the save says."""

    USUAL = "usual"
    BACK = "clock-back"  # saved a little in the future: the clock was set back; counts as saved now
    FUTURE = "from-the-future"  # saved far in the future: not to be believed
    STALE = "stale"  # so old that practically nothing is left


def classify_clock(saved_at: float, now: float) -> ClockStatus:
    age = now - saved_at
    if age < -CLOCK_TOLERANCE_MS:
        return ClockStatus.FUTURE
    if age < 0:
        return ClockStatus.BACK
    return ClockStatus.STALE if age > STALE_AFTER_MS else ClockStatus.USUAL


def weight(age: float, field: str) -> float:
    """Of a server's field, by its half-life; 1 where it has none."""
    half_life = SERVER_FIELDS[field].half_life
    return 1.0 if half_life is None else float(0.5 ** (max(0.0, age) / half_life))


def least_lag(value: float | None, age: float) -> float | None:
    """Grows as it loses weight, so that the next answer takes its place; beyond belief it is left out."""
    part = weight(age, "least_lag")
    return None if value is None or part < MIN_WEIGHT else value / part


def aged_image(image: ImageState | None, age: float, now: float) -> ImageState | None:
    """An image lapses by its report's own time. What it holds back fades as the decisions let it fade."""
    if image is None or now >= image.expires:
        return None
    part = weight(age, "image")
    if part < MIN_WEIGHT:
        return None
    # u was the offered rate times one minus the share: with less held back it is more by that much.
    share = image.hold_back * part
    rate = image.rate * (1.0 - share) / max(1e-6, 1.0 - image.hold_back)
    return ImageState(share, rate, image.expires, image.reported)


def aged_server(server: ServerState, age: float, now: float) -> ServerState:
    """What is left of the beliefs on one server after ``age`` ms."""
    trusted = weight(age, "suspect")
    suspect = server.suspect and trusted >= MIN_SUSPECT_WEIGHT
    faults = server.faults * weight(age, "faults")
    return ServerState(
        name=server.name,
        started=server.started,
        # Waits and lags fade by their own times in the decisions; a time to come would make them grow.
        wait=server.wait,
        wait_at=min(server.wait_at, now),
        lag=server.lag,
        lag_at=min(server.lag_at, now),
        least_lag=least_lag(server.least_lag, age),
        faults=faults if faults >= MIN_WEIGHT else 0.0,
        suspect=suspect,
        silent=server.silent and suspect,
        suspect_from=min(server.suspect_from, now) if suspect else 0.0,
        failed_at=min(server.failed_at, now),
        heard_at=min(server.heard_at, now),
        trial_gap=server.trial_gap * weight(age, "trial_gap") if suspect else 0.0,
        cold_from=server.cold_from,
        cold_tokens=min(0.0, server.cold_tokens),
        image=aged_image(server.image, age, now),
        offered=tuple(at for at in server.offered if at <= now),
    )


@dataclass(frozen=True, slots=True)
class Aged:
    """State as it counts now. ``age`` ms since the save, 0 where the clock went back."""

    clock: ClockStatus
    age: float
    learned: Learned


def age_state(learned: Learned, now: float) -> Aged:
    """Whole state aged to ``now``; from the future nothing is left."""
    verdict = classify_clock(learned.saved_at, now)
    age = max(0.0, now - learned.saved_at)
    if verdict is ClockStatus.FUTURE:
        return Aged(verdict, 0.0, Learned(learned.saved_at, learned.sequence))
    servers = tuple(aged_server(server, age, now) for server in learned.servers)
    redials = {number: min(at, now) for number, at in learned.redials.items()}
    return Aged(verdict, age, Learned(learned.saved_at, learned.sequence, servers, redials))
