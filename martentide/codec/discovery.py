"""The list of session servers: numbered notices, as frames of the discovery service and as JSON.

frame  = length:4 number:8 kind:1 payload      length counts the bytes after it; big-endian
kind 0 = no change; 1 = the full list, 2 = changes: records of 27 bytes
record = id:4 address:4 port:2 state:1 zone:1 kind:1 cell:2 weight:4 started:8
"""

from __future__ import annotations

import ipaddress
import struct
from dataclasses import dataclass
from typing import Any

from martentide.codec import CodecError
from martentide.interface import ServerEntry, ServerState

LENGTH = struct.Struct(">I")
FRAME = struct.Struct(">QB")
RECORD = struct.Struct(">I4sHBBBHIQ")
NUMBER = struct.Struct(">Q")
MAX_FRAME_BYTES = 1024 * 1024  # of one frame: far more than the largest server list needs
NO_CHANGE, FULL_LIST, DELTA = 0, 1, 2
STATES = (ServerState.OPEN, ServerState.DRAINING, ServerState.GONE)
STATE_NAMES = {
    "SERVING": ServerState.OPEN, "DRAINING": ServerState.DRAINING, "DELETED": ServerState.GONE,
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Listed:
    """A server of the list and its address."""

    entry: ServerEntry
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Notice:
    """One numbered change of the list, or the whole list."""

    number: int
    whole: bool
    servers: tuple[Listed, ...]


def frame_length(head: bytes) -> int:
    """Return how many bytes follow the length field. Raises CodecError if out of range."""
    length: int = LENGTH.unpack(head)[0]
    if not FRAME.size <= length <= MAX_FRAME_BYTES:
        raise CodecError(f"invalid frame length: {length} bytes")
    return length


def read_frame(body: bytes, zones: tuple[str, ...]) -> Notice | None:
    """Parse a frame without its length field; return None for 'no change' and unknown kinds."""
    number, kind = FRAME.unpack_from(body)
    if kind not in (FULL_LIST, DELTA):
        return None
    records, rest = divmod(len(body) - FRAME.size, RECORD.size)
    if rest:
        raise CodecError(f"{rest} trailing bytes after {records} records")
    rows = RECORD.iter_unpack(body[FRAME.size :])
    return Notice(number, kind == FULL_LIST, tuple(_record(row, zones) for row in rows))


def _record(row: tuple[Any, ...], zones: tuple[str, ...]) -> Listed:
    name, address, port, state, zone, _, cell, weight, started = row
    if state >= len(STATES):
        raise CodecError(f"unknown server state {state}")
    entry = ServerEntry(
        name=f"s-{name:08x}",
        place=cell,
        zone=zones[zone] if zone < len(zones) else str(zone),
        state=STATES[state],
        started=float(started) if started else None,
        size=weight / 1000.0 if weight else 1.0,
    )
    return Listed(entry, str(ipaddress.IPv4Address(address)), port)


def write_number(number: int) -> bytes:
    """Encode the last known number, which the proxy sends on each connection to the discovery service."""
    return NUMBER.pack(number)


def read_known(raw: Any) -> tuple[int, list[Notice]]:
    """Return the number of the last notice and the initial notices from ``known`` in the configuration."""
    try:
        return int(raw["rev"]), [_notice(item) for item in raw["notices"]]
    except KeyError as error:
        raise CodecError(f"known: {error.args[0]} is missing or not valid") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise CodecError(f"known: {error}") from None


def _notice(raw: Any) -> Notice:
    pool = raw["pool"]
    return Notice(int(raw["rev"]), bool(pool["snapshot"]), tuple(_endpoint(e) for e in pool["endpoints"]))


def _endpoint(raw: Any) -> Listed:
    host, _, port = str(raw["address"]).rpartition(":")
    started = float(raw.get("since_ms") or 0)
    entry = ServerEntry(
        name=str(raw["name"]),
        place=int(raw["group"]),
        zone=str(raw["zone"]),
        state=STATE_NAMES[raw["status"]],
        started=started or None,
        size=float(raw.get("weight") or 1.0),
    )
    return Listed(entry, str(ipaddress.IPv4Address(host)), int(port))
