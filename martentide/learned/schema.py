"""Schema of the saved learned state. Times are Unix milliseconds, as in the decision module.

``SERVER_FIELDS`` and ``CONTROLLER_FIELDS`` list every learned field: whether it is saved, why, and its
half-life. A test fails for a field of the Controller missing here, so that each new one gets a policy.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

SCHEMA_VERSION = 1
MAX_SERVERS = 20_000
MAX_REDIALS = 5_000  # recently failed numbers
MAX_OFFERS = 256  # offer times per server: more than the window of a busy proxy holds


class ImageState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A gap image. ``reported``: time of its last report; it expires 6 s later, regardless of restarts."""

    hold_back: float
    rate: float
    expires: float
    reported: float


class ServerState(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One server, identified by name and start time; nothing is restored for a server restarted since."""

    name: str
    started: float  # 0: unknown, long ago
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
    """The whole saved state. ``redials``: time of the first attempt, by recently failed number."""

    saved_at: float
    sequence: int  # incremented with each save in this directory
    servers: tuple[ServerState, ...] = ()
    redials: dict[str, float] = {}


@dataclass(frozen=True, slots=True)
class FieldPolicy:
    """Whether a field is saved, and why. ``half_life``: ms in which it loses half its weight; None if it ages
    by its own timestamps or not at all."""

    persisted: bool
    why: str
    half_life: float | None = None


DELAY_HALF_LIFE_MS = 3_000.0  # equal to the half-life that the decision module applies to waits and lags
SERVER_FIELDS: dict[str, FieldPolicy] = {
    "entry": FieldPolicy(False, "comes from the server list; its name and start are the key"),
    "image": FieldPolicy(True, "set by a report: expires 6 s after it, regardless of restarts", 1_500.0),
    "offered": FieldPolicy(
        True, "own offered rate, from which u is computed; ages by its timestamps, over 2 s"
    ),
    "stood": FieldPolicy(False, "shows the pace of warm servers: measured again within a second"),
    "unanswered": FieldPolicy(False, "attempts of the ended process"),
    "wait": FieldPolicy(True, "latest wait, for the weights", DELAY_HALF_LIFE_MS),
    "wait_at": FieldPolicy(True, "timestamp of the wait"),
    "seen_wait": FieldPolicy(False, "sent to peers; at most 2 s old"),
    "seen_at": FieldPolicy(False, "as seen_wait"),
    "least_lag": FieldPolicy(
        True, "round trip to the server, which cannot be measured under load", 600_000.0
    ),
    "free_lines": FieldPolicy(False, "sent by the server on each new connection"),
    "lag": FieldPolicy(True, "latest response time, for timeouts and spacing", DELAY_HALF_LIFE_MS),
    "lag_at": FieldPolicy(True, "timestamp of the lag"),
    "next_send_at": FieldPolicy(False, "spacing of single set-ups: milliseconds"),
    "lines_paused_until": FieldPolicy(False, "a pause of 150 ms"),
    "suspect": FieldPolicy(
        True, "a silent or failing server gets single half-open probes, not all calls", 10_000.0
    ),
    "silent": FieldPolicy(True, "as suspect: the server may return cold"),
    "faults": FieldPolicy(True, "fault ratio", 10_000.0),
    "suspect_from": FieldPolicy(True, "start of the suspicion"),
    "trial_gap": FieldPolicy(True, "grows with each failed half-open probe", 10_000.0),
    "failed_at": FieldPolicy(True, "with heard_at: decides whether a probe is needed first"),
    "heard_at": FieldPolicy(True, "as failed_at"),
    "trial_due": FieldPolicy(False, "drawn again, so that proxies restarted together do not probe together"),
    "trial_turn": FieldPolicy(False, "as trial_due"),
    "cold_from": FieldPolicy(True, "a server judged cold without an indication from the list stays cold"),
    "cold_tokens": FieldPolicy(True, "spent budget: a restart must not spend it twice (safe failback)"),
    "cold_filled": FieldPolicy(False, "the bucket refills from the restart on, not for the downtime"),
    "cold_spread": FieldPolicy(False, "drawn again"),
    "cold_trust": FieldPolicy(
        False, "earned by quick answers; a restored proxy sends no more than a new one"
    ),
    "probe_pending": FieldPolicy(False, "a probe of the ended process"),
    "probe_due": FieldPolicy(False, "probes are due at the start"),
}
CONTROLLER_FIELDS: dict[str, FieldPolicy] = {
    "first_tries": FieldPolicy(True, "redials are recognized by number: a caller's attempts belong together"),
    "tries_of": FieldPolicy(False, "tenants' rates over 5 s"),
    "peer_rates": FieldPolicy(False, "sent by peers each second"),
    "inside_share": FieldPolicy(False, "as tries_of"),
    "cold_budget_share": FieldPolicy(False, "set during an upgrade, for its duration"),
    "assignment": FieldPolicy(False, "received from the fleet after each start"),
    "admission": FieldPolicy(False, "received from the fleet after each start"),
    "retry_tokens": FieldPolicy(
        False, "tokens of the ended process: a shared retry budget counts them as spent"
    ),
    "retry_tokens_expire_at": FieldPolicy(False, "as the tokens"),
    "has_warm_server": FieldPolicy(False, "computed four times a second"),
    "throughput": FieldPolicy(False, "would send a cold server more than a new proxy does"),
    "started": FieldPolicy(False, "start of observation by this process"),
    "calls": FieldPolicy(False, "calls of the ended process"),
    "recent": FieldPolicy(False, "attempts of the ended process"),
}
