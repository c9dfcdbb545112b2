"""What proxies that may talk tell each other: rates of tenants, then servers' waits (place, age, wait).

Where ``limits.peers`` forbids it, nothing here is used. Rates are first tries a second, times ms.
"""

from __future__ import annotations

from collections.abc import Iterable

RATE_STEP = 0.1  # first tries/s: unit of the rates in a message
MOST_RATE = 65535  # units that fit the two bytes of a rate
NEWS_STEP = 10.0  # ms: unit of waits and ages in a message
NEWS_BYTES = 3  # place, age and wait of one server
MOST_BYTES = 256  # of one message
MOST_STEP = 255  # of a place, an age or a wait


def write(rates: Iterable[float], news: Iterable[tuple[int, float, float]]) -> bytes:
    """A message of the tenants' rates and of what is known of servers, as (place, age, wait)."""
    body = b"".join(min(MOST_RATE, round(rate / RATE_STEP)).to_bytes(2, "big") for rate in rates)
    for place, age, wait in news:
        if 0 <= place <= MOST_STEP:
            body += bytes((place, int(age / NEWS_STEP), min(MOST_STEP, int(wait / NEWS_STEP))))
    return body[:MOST_BYTES]


def read(body: bytes, tenants: int) -> tuple[list[float], list[tuple[int, float, float]]] | None:
    """The rates of so many tenants and the (place, age, wait) of servers; None for another form."""
    split = 2 * tenants
    if len(body) < split or (len(body) - split) % NEWS_BYTES:
        return None
    rates = [int.from_bytes(body[at : at + 2], "big") * RATE_STEP for at in range(0, split, 2)]
    news = [
        (body[at], body[at + 1] * NEWS_STEP, body[at + 2] * NEWS_STEP)
        for at in range(split, len(body), NEWS_BYTES)
    ]
    return rates, news
