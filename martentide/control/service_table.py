"""The services one control node knows: entries of its own leases, those of other nodes, and their merge.

Members of a zone may hold leases at several nodes. Within a region, nodes exchange individual members, so
that a member with leases at two nodes counts once, by its later lease. Other regions receive sums.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from martentide.control.messages import MemberState, StateEntry, entry_size

DetailKey = tuple[str, str, str]  # service, region, zone
SumKey = tuple[str, str]  # service, region


def sum_entries(service: str, region: str, entries: Iterable[StateEntry]) -> StateEntry:
    """Return one entry for a region: total members and capacity, and pressure weighted by capacity."""
    up = capacity = weighted = 0
    for entry in entries:
        up += entry.up
        capacity += entry.capacity
        weighted += entry.capacity * entry.pressure
    return StateEntry(service, region, "", up, capacity, weighted // capacity if capacity else 0)


def zone_entry(key: DetailKey, members: Iterable[MemberState]) -> StateEntry:
    """Return the entry of a zone computed from its members."""
    listed = sorted(members, key=lambda member: member.name)
    capacity = sum(member.capacity for member in listed)
    weighted = sum(member.capacity * member.pressure for member in listed)
    return StateEntry(*key, len(listed), capacity, weighted // capacity if capacity else 0, listed)


@dataclass(frozen=True, slots=True)
class SizedEntry:
    """An entry and its encoded size in bytes."""

    entry: StateEntry
    size: int


class ServiceTable:
    """Entries by service, region and zone. ``own`` is this node's name. Merged values are computed on demand
    and cached until one of their parts changes."""

    def __init__(self, own: str) -> None:
        self.own = own
        self.members: dict[
            DetailKey, dict[str, dict[str, MemberState]]
        ] = {}  # by source node, then member name
        self.sums: dict[SumKey, dict[str, StateEntry]] = {}  # by source node, from other regions
        self.zones: dict[SumKey, set[str]] = {}
        self.regions: dict[str, set[str]] = {}  # of each service
        self.zone_entries: dict[DetailKey, StateEntry] = {}
        self.sized_entries: dict[
            tuple[DetailKey, bool], SizedEntry
        ] = {}  # the flag: whether the reader is in the key's region

    # ---- changes ----------------------------------------------------------------------------------------

    def set_member(self, key: DetailKey, member: MemberState) -> None:
        """Set the member of one of this node's own leases."""
        self._source_members(key, self.own)[member.name] = member
        self._invalidate(key)

    def drop_member(self, key: DetailKey, name: str) -> None:
        """Remove the member of a lease that ended."""
        sources = self.members.get(key)
        if sources is not None and sources.get(self.own, {}).pop(name, None) is not None:
            self._prune(key, self.own)
            self._invalidate(key)

    def set_entry(self, source: str, entry: StateEntry) -> bool:
        """Replace the entry of another node; return whether the set or number of members changed."""
        if entry.zone:
            known_members = self._source_members(entry.key, source)
            names = set(known_members)
            known_members.clear()
            known_members.update({member.name: member for member in entry.members})
            members_changed = names != known_members.keys()
            self._prune(entry.key, source)
            self._invalidate(entry.key)
            return members_changed
        key = (entry.service, entry.region)
        self._invalidate(entry.key)
        previous = self.sums.get(key, {}).get(source)
        if entry.up:
            self.regions.setdefault(entry.service, set()).add(entry.region)
            self.sums.setdefault(key, {})[source] = entry
        else:
            self.sums.get(key, {}).pop(source, None)
            self._prune_region(*key)
        return entry.up != (previous.up if previous is not None else 0)

    def drop_source(self, source: str) -> list[DetailKey]:
        """Remove all entries of that node and return the keys that changed."""
        changed: list[DetailKey] = []
        for key in [key for key, sources in self.members.items() if source in sources]:
            del self.members[key][source]
            self._prune(key, source)
            self._invalidate(key)
            changed.append(key)
        for (service, region), sums in list(self.sums.items()):
            if sums.pop(source, None) is not None:
                changed.append((service, region, ""))
                self._invalidate((service, region, ""))
                self._prune_region(service, region)
        return changed

    def _invalidate(self, key: DetailKey) -> None:
        """Drop the cached values that the key is part of."""
        self.zone_entries.pop(key, None)
        region_key = (key[0], key[1], "")
        for one in ((key, True), (key, False), (region_key, True), (region_key, False)):
            self.sized_entries.pop(one, None)

    def _source_members(self, key: DetailKey, source: str) -> dict[str, MemberState]:
        service, region, zone = key
        self.zones.setdefault((service, region), set()).add(zone)
        self.regions.setdefault(service, set()).add(region)
        return self.members.setdefault(key, {}).setdefault(source, {})

    def _prune(self, key: DetailKey, source: str) -> None:
        """Remove empty tables, so that departed services and zones take no memory."""
        sources = self.members.get(key, {})
        if source in sources and not sources[source]:
            del sources[source]
        if sources:
            return
        self.members.pop(key, None)
        service, region, zone = key
        zones = self.zones.get((service, region), set())
        zones.discard(zone)
        if not zones:
            self.zones.pop((service, region), None)
            self._prune_region(service, region)

    def _prune_region(self, service: str, region: str) -> None:
        if (service, region) in self.zones or self.sums.get((service, region)):
            return
        self.sums.pop((service, region), None)
        regions = self.regions.get(service, set())
        regions.discard(region)
        if not regions:
            self.regions.pop(service, None)

    # ---- values -----------------------------------------------------------------------------------------

    def own_entry(self, key: DetailKey) -> StateEntry:
        """Return the entry sent to nodes of the same region: this node's own members of that zone."""
        return zone_entry(key, self.members.get(key, {}).get(self.own, {}).values())

    def own_sum(self, key: SumKey) -> StateEntry:
        """Return the entry sent to other regions: the sum of this node's own members."""
        zone_entries = [self.own_entry((*key, zone)) for zone in self.zones.get(key, ())]
        return sum_entries(*key, zone_entries)

    def own_keys(self) -> list[DetailKey]:
        """Return the keys for which this node holds leases."""
        return [key for key, sources in self.members.items() if self.own in sources]

    def entry(self, key: DetailKey, reader_region: str) -> SizedEntry:
        """Return the entry of the key for a reader: zones of the reader's own region, sums of other regions.
        The sum of the reader's own region covers the members whose leases are at nodes of other regions."""
        same_region = key[1] == reader_region
        cached = self.sized_entries.get((key, same_region))
        if cached is None:
            entry = self._zone_entry(key) if key[2] else self._region_entry(key, same_region)
            cached = self.sized_entries[(key, same_region)] = SizedEntry(entry, entry_size(entry))
        return cached

    def _region_entry(self, key: DetailKey, same_region: bool) -> StateEntry:
        service, region, _ = key
        parts = list(self.sums.get((service, region), {}).values())
        if not same_region:
            parts += [
                self._zone_entry((service, region, zone)) for zone in self.zones.get((service, region), ())
            ]
        return sum_entries(service, region, parts)

    def keys(self, service: str, reader_region: str) -> list[DetailKey]:
        """Return all keys of a service that a subscriber in ``reader_region`` receives."""
        found: list[DetailKey] = []
        for region in sorted(self.regions.get(service, ())):
            if region == reader_region:
                found += [(service, region, zone) for zone in sorted(self.zones.get((service, region), ()))]
            if region != reader_region or self.sums.get((service, region)):
                found.append((service, region, ""))
        return found

    def _zone_entry(self, key: DetailKey) -> StateEntry:
        entry = self.zone_entries.get(key)
        if entry is None:
            latest: dict[str, MemberState] = {}
            for source in self.members.get(key, {}).values():
                for name, member in source.items():
                    known = latest.get(name)
                    if known is None or member.epoch > known.epoch:
                        latest[name] = member
            entry = self.zone_entries[key] = zone_entry(key, latest.values())
        return entry


def digest(entries: Iterable[StateEntry]) -> int:
    """Return a checksum of the entries, independent of their order and never 0."""
    ordered = sorted(entries, key=lambda entry: entry.key)
    return zlib.crc32(repr(ordered).encode()) | 1 << 32
