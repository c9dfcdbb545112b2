"""What is kept of what was learned. Times are Unix milliseconds, as the decisions count them in service.

``SERVER_FIELDS`` and ``CONTROLLER_FIELDS`` list every learned field: kept or not, why, and how fast it loses
weight. A field of the Controller that is missing there fails a test, so that a new one is decided on.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

SCHEMA_VERSION = 1
MAX_SERVERS = 20_000
MAX_REDIALS = 5_000  # numbers that failed lately
MAX_OFFERS = 256  # times of offers to one server: more than the window of a busy proxy holds


class ImageState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A gap image. ``reported``: when its last report came; it lapses 6 s after that, restart or not."""

    hold_back: float
    rate: float
    expires: float
    reported: float


class ServerState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One server, known by its name and its start: one that started anew since brings nothing over."""

    name: str
    started: float  # 0: long ago
    wait: float = 0.0
    wait_at: float = 0.0
    lag: float = 0.0
    lag_at: float = 0.0
    least_lag: float | None = None
    faults: float = 0.0
    suspect: bool = False
    silent: bool = False
    suspect_from: float = 0.0
    failed_at: float = 0.0
    heard_at: float = 0.0
    trial_gap: float = 0.0
    cold_from: float | None = None
    cold_tokens: float = 0.0
    image: ImageState | None = None
    offered: tuple[float, ...] = ()


class Learned(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that is kept. ``redials``: when a number that failed lately was first tried."""

    saved_at: float
    sequence: int  # grows with each save of this folder
    servers: tuple[ServerState, ...] = ()
    redials: dict[str, float] = {}


@dataclass(frozen=True, slots=True)
class FieldPolicy:
    """``half_life`` ms in which the field loses half its weight; None: by times of its own, or not at all."""

    persisted: bool
    why: str
    half_life: float | None = None


DELAY_HALF_LIFE_MS = 3_000.0  # the decisions' own half-life of waits and lags
SERVER_FIELDS: dict[str, FieldPolicy] = {
    "entry": FieldPolicy(False, "told by the list; its name and start are the key"),
    "image": FieldPolicy(True, "made by a report: lapses 6 s after it, whatever happened between", 1_500.0),
    "offered": FieldPolicy(True, "own offered rate, from which u is counted; counts by its times, over 2 s"),
    "stood": FieldPolicy(False, "shows the pace of warm servers: seen anew within a second"),
    "out": FieldPolicy(False, "attempts of a process that is no more"),
    "wait": FieldPolicy(True, "the latest wait, for the weights", DELAY_HALF_LIFE_MS),
    "wait_at": FieldPolicy(True, "the wait's own time"),
    "news": FieldPolicy(False, "what peers are told; 2 s old at most"),
    "news_at": FieldPolicy(False, "as news"),
    "least_lag": FieldPolicy(True, "the way to the server, which a pressed one never shows", 600_000.0),
    "free_lines": FieldPolicy(False, "told by the server on each new connection"),
    "lag": FieldPolicy(True, "the latest time to an answer, for patience and spacing", DELAY_HALF_LIFE_MS),
    "lag_at": FieldPolicy(True, "the lag's own time"),
    "due": FieldPolicy(False, "spacing of single set-ups: milliseconds"),
    "lines_due": FieldPolicy(False, "a pause of 150 ms"),
    "suspect": FieldPolicy(True, "a silent or failing server is tried by single calls, not by all", 10_000.0),
    "silent": FieldPolicy(True, "with suspect: it may come back cold"),
    "faults": FieldPolicy(True, "share of faults", 10_000.0),
    "suspect_from": FieldPolicy(True, "since when it is suspect"),
    "trial_gap": FieldPolicy(True, "grows with each trial that failed", 10_000.0),
    "failed_at": FieldPolicy(True, "with heard_at: whether a probe must find out first"),
    "heard_at": FieldPolicy(True, "as failed_at"),
    "trial_due": FieldPolicy(False, "drawn anew, so that proxies restarted together do not try together"),
    "trial_turn": FieldPolicy(False, "as trial_due"),
    "cold_from": FieldPolicy(True, "a server taken for cold without a word of the list stays cold"),
    "cold_tokens": FieldPolicy(True, "spent budget: a restart must not spend it twice (fail back safely)"),
    "cold_filled": FieldPolicy(False, "the bucket fills from the restart on, not for the time between"),
    "cold_spread": FieldPolicy(False, "drawn anew"),
    "cold_trust": FieldPolicy(False, "earned by quick answers; no more is sent than by a fresh proxy"),
    "probe_out": FieldPolicy(False, "a probe of a process that is no more"),
    "probe_due": FieldPolicy(False, "probes are due at the start"),
}
CONTROLLER_FIELDS: dict[str, FieldPolicy] = {
    "first_tries": FieldPolicy(True, "redials known by number: a caller's tries are one story"),
    "taken": FieldPolicy(False, "tenants' rates over 5 s"),
    "peer_rates": FieldPolicy(False, "peers tell them each second"),
    "inside_share": FieldPolicy(False, "as taken"),
    "own_share": FieldPolicy(False, "told in an upgrade, for as long as it lasts"),
    "duty": FieldPolicy(False, "told by the fleet, anew after each start"),
    "admission": FieldPolicy(False, "told by the fleet, anew after each start"),
    "repeats": FieldPolicy(
        False, "tokens of a process that is no more: a budget in common counts them as spent"
    ),
    "repeats_until": FieldPolicy(False, "as the tokens"),
    "warm": FieldPolicy(False, "looked at four times a second"),
    "pace": FieldPolicy(False, "would let a cold server have more than a fresh proxy gives it"),
    "started": FieldPolicy(False, "when this process began to look"),
    "calls": FieldPolicy(False, "calls of a process that is no more"),
    "fresh": FieldPolicy(False, "attempts of a process that is no more"),
}
