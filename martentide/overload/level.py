"""The admitted share of first tries, controlled by the fleet's pressure: one member's copy.

It is a share of the offered calls, not a rate: it needs no estimate of load or capacity, so neither redials
nor a wrong estimate of the fleet size raise it. A proportional part follows the pressure at once; a slow
integral part, the baseline, handles lasting pressure. Both act on a logarithmic scale, since load is a matter
of ratios. Each member keeps its own baseline and moves it towards those received; there is no leader.
Phases: normal (everything is admitted), shedding, recovering (the baseline rises again).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

PRESSURE_THRESHOLD = 0.12  # requested share below which the proportional part sheds nothing
# Exponent per unit of pressure above the threshold, in small and in large fleets.
PROPORTIONAL_GAIN, PROPORTIONAL_GAIN_LARGE = 1.0, 4.0
# Members: between these sizes the gain rises, since messages arrive later and queues grow meanwhile.
SMALL_FLEET, LARGE_FLEET = 12.0, 200.0
PRESSURE_SETPOINT = 0.5  # requested share above which the baseline falls and below which it rises
INTEGRAL_GAIN = 0.5  # exponent per second
MAX_RECOVERY_RATE = 0.25  # of the whole load per second: upper limit on the rise of the baseline
STORM_GAIN = 0.8  # exponent per second, additionally in a self-sustaining storm
MIN_ADMITTED = 0.05  # share; some calls must be sent, since their answers carry reports
LATE_REDIAL_HOLD = 4_000.0  # ms after the last pressure in which late redials are refused
SMOOTHING_TIME = 250.0  # ms over which pressure is smoothed, because single reports are noisy
MERGE_WEIGHT = 0.3  # of the distance to a received baseline
MAX_MERGE_STEP = 0.05  # per message: limits the effect of a faulty member
# An overload sustains itself (a storm) if both limits are crossed.
STORM_REDIAL_RATIO = 0.5  # redials per first try: a storm has more
STORM_STANDING_SHARE = 0.6  # share of set-ups that stand: a storm has less
COUNTED_SERVER_SHARE = 0.7  # of the servers: only the least loaded count, since calls are redrawn to them


class Phase(IntEnum):
    """Phase of overload control; the number is sent to other members."""

    NORMAL = 0
    SHEDDING = 1
    RECOVERING = 2


@dataclass
class Level:
    """Controller of the admitted share; times in ms."""

    baseline: float = 1.0
    pressure: float = 0.0
    updated_at: float | None = None
    storms: int = 0
    last_pressure_at: float = -1e9
    gain: float = PROPORTIONAL_GAIN

    def refuses_late_redials(self, now: float) -> bool:
        """Return whether late redials are refused.

        Callers that wait after a surge would otherwise return all at once and cause the next one.
        """
        return now - self.last_pressure_at < LATE_REDIAL_HOLD

    @property
    def admitted(self) -> float:
        """The admitted share, MIN_ADMITTED to 1."""
        over = max(0.0, self.pressure - PRESSURE_THRESHOLD)
        return max(MIN_ADMITTED, self.baseline * math.exp(-self.gain * over))

    @property
    def phase(self) -> Phase:
        """The current phase."""
        if self.pressure > PRESSURE_THRESHOLD:
            return Phase.SHEDDING
        return Phase.RECOVERING if self.baseline < 1.0 else Phase.NORMAL

    def update(self, now: float, pressure: float, storm: bool) -> None:
        """Update the share from ``pressure`` (0 to 1, by ``fleet_pressure``) and the presence of a storm."""
        # Limited, so that the time for which the process was suspended does not count as recovery time.
        span = 0.0 if self.updated_at is None else min(500.0, now - self.updated_at)
        self.updated_at = now
        self.pressure += (pressure - self.pressure) * (1.0 - math.exp(-span / SMOOTHING_TIME))
        if self.pressure > PRESSURE_THRESHOLD:
            self.last_pressure_at = now
        seconds = span / 1_000.0
        drift = INTEGRAL_GAIN * (PRESSURE_SETPOINT - self.pressure)
        if storm:
            self.storms += 1
            drift -= STORM_GAIN
        updated = min(self.baseline * math.exp(drift * seconds), self.baseline + MAX_RECOVERY_RATE * seconds)
        self.baseline = max(MIN_ADMITTED, min(1.0, updated))

    def merge(self, baseline: float) -> None:
        """Move the baseline towards another member's, taken from a recent message."""
        step = max(-MAX_MERGE_STEP, min(MAX_MERGE_STEP, MERGE_WEIGHT * (baseline - self.baseline)))
        self.baseline = max(MIN_ADMITTED, min(1.0, self.baseline + step))


def size_factor(members: int) -> float:
    """Return 0 for a small fleet to 1 for a large one; logarithmic, as is the time that messages take."""
    return min(1.0, max(0.0, math.log(max(1, members) / SMALL_FLEET) / math.log(LARGE_FLEET / SMALL_FLEET)))


def fleet_pressure(hold_backs: Iterable[float]) -> float:
    """Return the fleet's pressure, 0 to 1, from the shares that its servers request to be held back.

    It is the mean over the least loaded servers, since a call refused at one is redrawn among the others.
    """
    ordered = sorted(hold_backs)
    count = math.ceil(COUNTED_SERVER_SHARE * len(ordered))
    return sum(ordered[:count]) / count if count else 0.0
