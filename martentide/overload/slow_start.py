"""Slow start: how many set-ups one proxy may send to a cold server, without coordination among the proxies.

The settings allow a cold server, from all proxies together, ``N = fall_multiple * share * C * fall_time``
set-ups of mean work in any ``fall_time``; C, the warm server's rate, is unknown. Each proxy uses the rate
that warm servers of similar size take *from it*: summed over the proxies, this is at most C, whatever the
number of proxies and however uneven their traffic.

A grant (a token) to send one set-up expires: after REDRAW_GRANT_LIFETIME times the fall time for calls
redrawn from other servers, after GRANT_LIFETIME times for calls whose first choice is this server. Otherwise
each idle proxy would save a grant: two hundred spent in the same second are a burst that no rate limits.
Redrawn calls get the shorter time: in a storm every call refused elsewhere is redrawn here, while
first-choice traffic is limited by the callers. Each proxy starts at a random phase between two grants, so
that they are spread from the first second on. The expected sum and its variance are in
docs/design/overload.md.
"""

from __future__ import annotations

import math

from martentide.interface import Settings

REDRAW_GRANT_LIFETIME = 0.5  # of the fall time, for calls redrawn from other servers
GRANT_LIFETIME = 2.0  # of the fall time, for calls whose first choice is this server
MAX_UTILISATION = 0.9  # share of the allowed load that is granted: the sum over proxies varies randomly
RAMP_END_SPREAD = 0.5  # of the warm-up time, over which the proxies end the ramp one after another
PROBE_WORK = 0.25  # work of a health check, in set-ups
TRUST_GAIN = 1.08  # factor per quick answer: small, so that a queue shows before the limit is reached
TRUST_LOSS = 0.7  # factor per slow answer
MAX_TRUST = 4.0  # more would have no effect and would take too long to lose


def allowed_share(age: float, trust: float, start_known: bool, settings: Settings) -> float:
    """Return the allowed share of a warm server's usual rate, ``age`` ms after the start.

    ``trust`` (1 or more) grows with quick answers. How a server warms up is unknown: without trust it gets
    what it can handle if it stays at its initial share; with trust, at most what a linear warm-up handles.
    If the start is not known (``start_known``) but assumed after a long silence, the server was most likely
    unreachable and is warm: trust alone sets the share.
    """
    linear = settings.cold_share + (1.0 - settings.cold_share) * min(1.0, max(0.0, age) / settings.cold_time)
    steady = MAX_UTILISATION * settings.fall_multiple / (1.0 + REDRAW_GRANT_LIFETIME) * linear
    if not start_known:
        return min(linear, MAX_UTILISATION * settings.fall_multiple * settings.cold_share) * trust
    return min(linear, steady, MAX_UTILISATION * settings.fall_multiple * settings.cold_share * trust)


def ramp_ended(age: float, spread: float, settings: Settings) -> bool:
    """Return whether the ramp has ended for a proxy at position ``spread`` (0 to 1) among all proxies.

    If all proxies ended it at once, one held call from each of two hundred would form a queue that the server
    cannot clear. Drawback: the later proxies send it at most its usual share for a while longer.
    """
    return age >= settings.cold_time * (1.0 + RAMP_END_SPREAD * spread)


def updated_trust(trust: float, quick: bool, answers: float) -> float:
    """Return the trust after one more answer, which represents ``answers`` answers to the whole fleet.

    The more proxies share a server's answers, the fewer each gets, while the server warms up by all of them.
    """
    return max(1.0, min(MAX_TRUST, trust * math.pow(TRUST_GAIN if quick else TRUST_LOSS, answers)))


def lower_estimate(stood: int) -> float:
    """Return the number of standing calls less its standard deviation.

    Each proxy remembers its highest rate; without the deduction, random maxima would add up to more than the
    servers ever handled.
    """
    return stood - math.sqrt(stood)


def refill(tokens: float, rate: float, elapsed: float, settings: Settings) -> float:
    """Return the grants after ``elapsed`` ms at ``rate`` per second, without those unused in GRANT_LIFETIME.

    Only whole grants expire, so that a proxy keeps its phase between two grants.
    """
    tokens += rate * elapsed / 1000.0
    expired = math.floor(tokens - rate * GRANT_LIFETIME * settings.fall_time / 1000.0)
    return tokens - max(0, expired)


def fresh_tokens(tokens: float, rate: float, settings: Settings) -> float:
    """Return the grants younger than REDRAW_GRANT_LIFETIME: a redrawn call may use no older one."""
    expired = math.floor(tokens - rate * REDRAW_GRANT_LIFETIME * settings.fall_time / 1000.0)
    return tokens - max(0, expired)
