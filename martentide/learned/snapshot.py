"""Reads the learned state of a Controller in slices.

Slices keep thousands of servers from blocking the event loop. The record of a server is read in one step, so
it is consistent. The record of an unchanged server is reused.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from martentide.learned.schema import (
    MAX_OFFERS,
    MAX_REDIALS,
    MAX_SERVERS,
    ImageState,
    Learned,
    ServerState,
)
from martentide.rules import Controller, Server

SERVERS_PER_SLICE = 64  # read without interruption


def take_server(server: Server) -> ServerState:
    """Return the record of one server."""
    image = server.image
    entry = server.entry
    return ServerState(
        name=entry.name,
        started=entry.started or 0.0,
        wait=server.wait,
        wait_at=server.wait_at,
        lag=server.lag,
        lag_at=server.lag_at,
        least_lag=server.least_lag,
        faults=server.faults,
        suspect=server.suspect,
        silent=server.silent,
        suspect_from=server.suspect_from,
        failed_at=server.failed_at,
        heard_at=server.heard_at,
        trial_gap=server.trial_gap,
        cold_from=server.cold_from,
        cold_tokens=server.cold_tokens if server.cold_from is not None else 0.0,
        image=None
        if image is None
        else ImageState(image.hold_back, image.rate, image.expires, image.reported),
        offered=tuple(islice(reversed(server.offered), MAX_OFFERS))[::-1],
    )


def change_key(server: Server) -> tuple[object, ...]:
    """Return a value that changes whenever the record does and is cheaper to compute than the record."""
    image = server.image
    return (
        server.entry.started,
        server.wait_at,
        server.wait,
        server.lag_at,
        server.faults,
        server.suspect,
        server.heard_at,
        server.trial_gap,
        server.cold_from,
        server.cold_tokens,
        len(server.offered),
        server.offered[-1] if server.offered else 0.0,
        None if image is None else (image.reported, image.hold_back, image.rate),
    )


class Snapshots:
    """Produces successive snapshots; ``sequence`` increases with each."""

    def __init__(self, sequence: int = 0) -> None:
        self.sequence = sequence
        self.records: dict[str, tuple[tuple[object, ...], ServerState]] = {}

    def slices(self, controller: Controller, now: float) -> Iterator[Learned | None]:
        """Yield None after each slice, then the snapshot. The caller yields to the event loop between slices.
        A server removed meanwhile is left out; one added is included in the next snapshot."""
        names = list(controller.servers)[:MAX_SERVERS]
        for start in range(0, len(names), SERVERS_PER_SLICE):
            for name in names[start : start + SERVERS_PER_SLICE]:
                server = controller.servers.get(name)
                if server is None:
                    self.records.pop(name, None)
                    continue
                cached, key = self.records.get(name), change_key(server)
                if cached is None or cached[0] != key:
                    self.records[name] = (key, take_server(server))
            yield None
        if len(self.records) > len(controller.servers):
            for name in [name for name in self.records if name not in controller.servers]:
                del self.records[name]
        skip = max(0, len(controller.first_tries) - MAX_REDIALS)
        redials = dict(islice(controller.first_tries.items(), skip, None))
        self.sequence += 1
        records = tuple(record for _, record in self.records.values())
        yield Learned(now, self.sequence, records, redials)


def take(controller: Controller, now: float, sequence: int = 1) -> Learned:
    """Take a whole snapshot at once; for few servers and at shutdown."""
    snapshots = [part for part in Snapshots(sequence - 1).slices(controller, now) if part is not None]
    return snapshots[0]
