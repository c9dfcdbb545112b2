"""Slow start: what a cold server may be sent by one proxy of many that share nothing.

The settings allow a cold server, from all proxies together, ``N = fall_multiple * share * C * fall_time``
set-ups of mean work in any ``fall_time``; C, the warm server's rate, is told to nobody. Each proxy goes by
what warm servers of like size take *from it*: these shares add up to what they take from all, which is at
most C, whatever the number of proxies and however uneven their traffic.

Each grant to send lasts for LIFE times the fall time. Guards against proxies that each save one up while
nothing comes: two hundred that spend it in the same second are a burst that no rate bounds. So what is sent
in a window is at most what was granted in the window and the LIFE before it, ``rate * (1 + LIFE)`` times the
fall time. Each proxy begins at a random place between two grants, so that they are spread from the first
second on. Expected sum and variance stand in docs/design/overload.md.
"""

from __future__ import annotations

import math

from martentide.interface import Settings

LIFE = 0.5  # of the fall time: how long a grant may wait for a call
USE = 0.75  # share of what the settings allow that is granted at most: sums vary by chance
PROBE_WORK = 0.25  # of a set-up's work that a health check is counted with
TRUST_GAIN = 1.08  # times the trust after each quick answer: a queue would show before the limit is hit
TRUST_LOSS = 0.7  # times the trust after each slow one


def share(age: float, trust: float, rules: Settings) -> float | None:
    """Of a warm server's usual rate, how much it may be sent ``age`` ms after its start; None when warm.

    ``trust`` (1 or more) grows with quick answers. Nobody tells how a server warms up: without trust it gets
    what it can bear should it stay at its first share, with trust no more than a steady way up bears.
    """
    if age >= rules.cold_time:
        return None
    linear = rules.cold_share + (1.0 - rules.cold_share) * max(0.0, age) / rules.cold_time
    steady = USE * rules.fall_multiple / (1.0 + LIFE) * linear
    return min(linear, steady, USE * rules.fall_multiple * rules.cold_share * trust)


def trusted(trust: float, quick: bool) -> float:
    """The trust after one more answer."""
    return max(1.0, trust * (TRUST_GAIN if quick else TRUST_LOSS))


def counted(stood: int) -> float:
    """Calls that stood, less their deviation: of many proxies each remembers the highest pace it has seen,
    and what is highest by chance would add up to more than the servers ever took."""
    return stood - math.sqrt(stood)


def refilled(tokens: float, rate: float, elapsed: float, rules: Settings) -> float:
    """The grants after ``elapsed`` ms at ``rate`` a second; one not used within its life is gone, whole, so
    that a proxy's place between two grants stays what it was."""
    tokens += rate * elapsed / 1000.0
    lapsed = math.floor(tokens - rate * LIFE * rules.fall_time / 1000.0)
    return tokens - max(0, lapsed)
