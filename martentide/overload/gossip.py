"""Codec of the messages between peer proxies: tenant rates, then server waits as (place, age, wait).

Unused where ``limits.peers`` forbids peer messages. Rates are in first tries per second, times in ms.
"""

from __future__ import annotations

from collections.abc import Iterable

RATE_STEP = 0.1  # first tries/s: unit of the rates in a message
MAX_RATE = 65535  # units that fit the two bytes of a rate
TIME_STEP = 10.0  # ms: unit of waits and ages in a message
WAIT_BYTES = 3  # place, age and wait of one server
MAX_BYTES = 256  # of one message
MAX_STEP = 255  # largest value of a place, an age or a wait


def encode(rates: Iterable[float], waits: Iterable[tuple[int, float, float]]) -> bytes:
    """Encode tenant rates and server waits, given as (place, age, wait); cut off at MAX_BYTES."""
    body = b"".join(min(MAX_RATE, round(rate / RATE_STEP)).to_bytes(2, "big") for rate in rates)
    for place, age, wait in waits:
        if 0 <= place <= MAX_STEP:
            body += bytes((place, int(age / TIME_STEP), min(MAX_STEP, int(wait / TIME_STEP))))
    return body[:MAX_BYTES]


def decode(body: bytes, tenants: int) -> tuple[list[float], list[tuple[int, float, float]]] | None:
    """Return the rates of ``tenants`` tenants and the (place, age, wait) of servers; None if malformed."""
    split = 2 * tenants
    if len(body) < split or (len(body) - split) % WAIT_BYTES:
        return None
    rates = [int.from_bytes(body[at : at + 2], "big") * RATE_STEP for at in range(0, split, 2)]
    waits = [
        (body[at], body[at + 1] * TIME_STEP, body[at + 2] * TIME_STEP)
        for at in range(split, len(body), WAIT_BYTES)
    ]
    return rates, waits
