"""Slow start: what a cold server may be sent by one proxy of many that share nothing.

The settings allow a cold server, from all proxies together, ``N = fall_multiple * share * C * fall_time``
set-ups of mean work in any ``fall_time``; C, the warm server's rate, is told to nobody. Each proxy goes by
what warm servers of like size take *from it*: these shares add up to what they take from all, which is at
most C, whatever the number of proxies and however uneven their traffic.

Each grant to send lasts for a while: LIFE times the fall time for calls drawn here because others had no
room, KEPT times for those that ask for this server first. Guards against proxies that each save one up while
nothing comes: two hundred that spend it in the same second are a burst that no rate bounds, and in a storm
every call turned away elsewhere comes looking; what comes by first choice is bounded by the callers. Each
proxy begins at a random place between two grants, so that they are spread from the first second on. Expected
sum and variance stand in docs/design/overload.md.
"""

from __future__ import annotations

import math

from martentide.interface import Settings

LIFE = 0.5  # of the fall time: how long a grant may wait for a call that was turned away elsewhere
KEPT = 2.0  # of the fall time: how long it may wait for one that asks for this server first
USE = 0.9  # share of what the settings allow that is granted at most: sums vary by chance
SPREAD = (
    0.5  # of the time in which it warms up: so long the proxies take to end its ramp, one after the other
)
PROBE_WORK = 0.25  # of a set-up's work that a health check is counted with
TRUST_GAIN = 1.08  # times the trust after each quick answer: a queue would show before the limit is hit
TRUST_LOSS = 0.7  # times the trust after each slow one
MOST_TRUST = 4.0  # beyond, it has no effect, and would be lost too slowly


def share(age: float, trust: float, told: bool, rules: Settings) -> float:
    """Of a warm server's usual rate, how much it may be sent ``age`` ms after its start.

    ``trust`` (1 or more) grows with quick answers. Nobody tells how a server warms up: without trust it gets
    what it can bear should it stay at its first share, with trust no more than a steady way up bears. Where
    its start was not ``told``, but supposed after a long silence, it was most likely cut off and is warm:
    trust alone says how much.
    """
    linear = rules.cold_share + (1.0 - rules.cold_share) * min(1.0, max(0.0, age) / rules.cold_time)
    steady = USE * rules.fall_multiple / (1.0 + LIFE) * linear
    if not told:
        return min(linear, USE * rules.fall_multiple * rules.cold_share) * trust
    return min(linear, steady, USE * rules.fall_multiple * rules.cold_share * trust)


def over(age: float, spread: float, rules: Settings) -> bool:
    """Whether the ramp is over for a proxy of that place (0 to 1) among all: they end it one after the other.

    Guards against a fleet that lets go in the same instant: two hundred calls that waited for room, one from
    each proxy, are a line that the server does not get rid of. Harm: it gets its usual share for a while.
    """
    return age >= rules.cold_time * (1.0 + SPREAD * spread)


def trusted(trust: float, quick: bool, stands_for: float) -> float:
    """The trust after one more answer, which stands for so many of the fleet's: the more proxies share a
    server's answers, the fewer each hears, while the server is as warm as all of them together tell."""
    return max(1.0, min(MOST_TRUST, trust * math.pow(TRUST_GAIN if quick else TRUST_LOSS, stands_for)))


def counted(stood: int) -> float:
    """Calls that stood, less their deviation: of many proxies each remembers the highest pace it has seen,
    and what is highest by chance would add up to more than the servers ever took."""
    return stood - math.sqrt(stood)


def refilled(tokens: float, rate: float, elapsed: float, rules: Settings) -> float:
    """The grants after ``elapsed`` ms at ``rate`` a second; one not used within its life is gone, whole, so
    that a proxy's place between two grants stays what it was."""
    tokens += rate * elapsed / 1000.0
    lapsed = math.floor(tokens - rate * KEPT * rules.fall_time / 1000.0)
    return tokens - max(0, lapsed)


def young(tokens: float, rate: float, rules: Settings) -> float:
    """Of the grants, those that came within LIFE: a call turned away elsewhere may use no older one."""
    lapsed = math.floor(tokens - rate * LIFE * rules.fall_time / 1000.0)
    return tokens - max(0, lapsed)
