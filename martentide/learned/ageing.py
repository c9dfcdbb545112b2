"""Ageing of saved state, field by field. Pure.

The age is the time from *saving* the state to restoring it. A weight is 0.5 ** (age / half-life), 1 at age 0.
A value whose weight is below MIN_WEIGHT is dropped.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from martentide.learned.schema import SERVER_FIELDS, ImageState, Learned, ServerState

MIN_WEIGHT = 0.02  # reached after slightly less than six half-lives
CLOCK_TOLERANCE_MS = 2_000.0  # by which the clock may have been set back before the state is refused
STALE_AFTER_MS = 300_000.0  # age at which only round trips to servers can remain; reported at the start
MIN_SUSPECT_WEIGHT = 0.25  # below this weight a server is no longer suspect


class ClockStatus(Enum):
    """The time of the save compared with the clock."""

    USUAL = "usual"
    BACK = "clock-back"  # slightly in the future: the clock was set back; treated as age 0
    FUTURE = "from-the-future"  # far in the future: not credible
    STALE = "stale"  # so old that practically nothing remains


def classify_clock(saved_at: float, now: float) -> ClockStatus:
    """Classify the time of the save against ``now``, both in Unix ms."""
    age = now - saved_at
    if age < -CLOCK_TOLERANCE_MS:
        return ClockStatus.FUTURE
    if age < 0:
        return ClockStatus.BACK
    return ClockStatus.STALE if age > STALE_AFTER_MS else ClockStatus.USUAL


def weight(age: float, field: str) -> float:
    """Return the weight of a server's field at ``age`` ms; 1 for a field without a half-life."""
    half_life = SERVER_FIELDS[field].half_life
    return 1.0 if half_life is None else float(0.5 ** (max(0.0, age) / half_life))


def least_lag(value: float | None, age: float) -> float | None:
    """Return the aged minimum round trip. It grows with age, so that the next answer replaces it, and is
    dropped below MIN_WEIGHT."""
    remaining = weight(age, "least_lag")
    return None if value is None or remaining < MIN_WEIGHT else value / remaining


def aged_image(image: ImageState | None, age: float, now: float) -> ImageState | None:
    """Return the aged gap image, None once expired. It expires by the time of its report; the share held back
    decays as in the decision module."""
    if image is None or now >= image.expires:
        return None
    remaining = weight(age, "image")
    if remaining < MIN_WEIGHT:
        return None
    # The bound rate is the offered rate times one minus the share held back, so a smaller share raises it.
    share = image.hold_back * remaining
    rate = image.rate * (1.0 - share) / max(1e-6, 1.0 - image.hold_back)
    return ImageState(share, rate, image.expires, image.reported)


def aged_server(server: ServerState, age: float, now: float) -> ServerState:
    """Return the state of one server after ``age`` ms."""
    suspect_weight = weight(age, "suspect")
    suspect = server.suspect and suspect_weight >= MIN_SUSPECT_WEIGHT
    faults = server.faults * weight(age, "faults")
    return ServerState(
        name=server.name,
        started=server.started,
        # The decision module ages waits and lags by their timestamps; a future one would make them grow.
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
    """Aged state. ``age``: ms since the save, 0 if the clock was set back."""

    clock: ClockStatus
    age: float
    learned: Learned


def age_state(learned: Learned, now: float) -> Aged:
    """Age the whole state to ``now``; state from the future is emptied."""
    status = classify_clock(learned.saved_at, now)
    age = max(0.0, now - learned.saved_at)
    if status is ClockStatus.FUTURE:
        return Aged(status, 0.0, Learned(learned.saved_at, learned.sequence))
    servers = tuple(aged_server(server, age, now) for server in learned.servers)
    redials = {number: min(at, now) for number, at in learned.redials.items()}
    return Aged(status, age, Learned(learned.saved_at, learned.sequence, servers, redials))
