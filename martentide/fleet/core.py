"""Core of one fleet member: SWIM failure detection with Lifeguard's extensions, and gossiped state entries.

Pure: events in, actions out. ``now`` is in ms of a monotonic clock with an arbitrary epoch. The host calls
``handle`` with ``Due`` at ``due`` or as soon after as it can; the member treats any lateness as a stall of
its own process. Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2017);
Demers et al., "Epidemic algorithms for replicated database maintenance" (1987).
"""

from __future__ import annotations

import random
import zlib
from collections import Counter, OrderedDict
from collections.abc import Iterator, Sequence

import msgspec

from martentide.fleet.events import (
    Action,
    Address,
    Changed,
    DatagramReceived,
    Depart,
    Displaced,
    Due,
    Event,
    Learned,
    PayloadReceived,
    Publish,
    Send,
    SendPayload,
    Stalled,
    TableFull,
)
from martentide.fleet.table import BUCKETS, KnownMember, Probe, RelayedProbe, StoredEntry, bucket_of
from martentide.fleet.terms import MAX_DATAGRAM_BYTES, Terms
from martentide.fleet.wire import (
    CHECK_BYTES,
    HEADER_BYTES,
    Datagram,
    HeldVersions,
    Kind,
    MemberRecord,
    Name,
    State,
    StateEntry,
    encoded_size,
)

SYNC_FOLLOW_UP_MS = 150.0  # delay of the next anti-entropy sync after one that found missing records
JOIN_RETRY_MS = 250.0  # between two pings to seeds while no member has been found
MAX_RELAYED_PROBES = 256  # indirect probes in flight on behalf of other members
MAX_PENDING_UPDATES = 4_096  # queued updates of each kind; anti-entropy syncs make up for those dropped
MAX_SKIPPED_ENTRIES = 16  # entries skipped per datagram for lack of tokens, to reach the short-lived ones
TABLE_FULL_INTERVAL_MS = 60_000.0  # between two ``TableFull`` actions
MAX_ECHO_DELAY_MS = 60_000  # longest time a peer may have held a stamp before it echoed it
MAX_CLOCK_DRIFT = 0.001  # relative difference allowed between the rates of two clocks
DEPARTURE_FANOUT = 12  # members notified directly of a departure
# Frame, numeric fields and list headers; no sender's record, no entries.
FIXED_BYTES = HEADER_BYTES + CHECK_BYTES + 60
GOSSIP_OVERHEAD_BYTES = FIXED_BYTES + 28 + 60  # of a gossip datagram: adds IP, UDP and sender's record


class Membership:
    """Membership table, failure detector and gossip of one process.

    ``seeds`` are addresses at which members may be found; the process's own address among them is ignored.
    ``process_id`` is a random number that identifies this process instance. Times named ``running_now`` are
    of the running clock, which doesn't advance while the process is stalled.
    """

    def __init__(
        self,
        name: Name,
        zone: str,
        address: Address,
        seeds: tuple[Address, ...],
        terms: Terms,
        seed: int,
        now: float,
        process_id: int | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.terms, self.seeds = terms, tuple(one for one in seeds if one != address)
        process_id = process_id or self.rng.getrandbits(62) + 1
        self.me = MemberRecord(name, 1, process_id, 1, State.ALIVE, zone, *address)
        self.members: dict[Name, KnownMember] = {}
        self.dead_or_left: set[Name] = set()  # subset of ``members``
        self.live_records: tuple[MemberRecord, ...] | None = ()  # cache, without ``me``; None: rebuild it
        self.name_by_address: dict[Address, Name] = {}  # member last known at the address
        self.bucket_checksums = [0] * BUCKETS
        self.names_by_bucket: list[dict[Name, None]] = [{} for _ in range(BUCKETS)]  # of ``members``
        self.table_full_reported_at = -1e18
        self.former_addresses: OrderedDict[Address, None] = OrderedDict()  # of dead members that were dropped
        self.own_entries: dict[int, StoredEntry] = {}
        self.entry_owners: dict[int, dict[Name, None]] = {}  # by kind: members that may have such an entry
        self.member_updates: OrderedDict[Name, int] = OrderedDict()  # times sent, by member to gossip about
        self.entry_updates: OrderedDict[tuple[Name, int], int] = OrderedDict()  # by owner and kind
        self.counts: Counter[str] = Counter()
        self.health_multiplier = 0
        self.joining, self.displaced, self.departing = True, False, False
        self.stalled_ms = 0.0  # total time this process was stalled
        self.now = now
        self.probe_order: list[Name] = []
        self.probe_index = 0
        self.last_probe_number = 0
        self.probe: Probe | None = None
        self.relayed_probes: OrderedDict[int, RelayedProbe] = OrderedDict()
        self.suspects: set[Name] = set()
        self.last_received_at = now  # running clock; any datagram
        self.isolated = False
        self.suppress_updates_until = 0.0  # running clock; until then others aren't reported as alive
        spread = self.rng.random()
        self.probe_due = now + spread * terms.period
        self.gossip_due: float | None = None
        self.short_lived_handled_at = -1e18  # last short-lived entry considered for sending; reserves tokens
        self.sync_due = now + spread * terms.sync_interval
        self.rejoin_due = now + spread * 50.0
        self.tokens, self.tokens_updated_at = terms.burst_bytes, now
        self.actions: list[Action] = []

    # ---- interface to the host ----------------------------------------------------------------------------

    @property
    def due(self) -> float:
        """Latest time, in ms of the host's clock, at which the host has to call ``handle`` with ``Due``."""
        earliest = min(self.probe_due, self.sync_due, self.rejoin_due)
        if self.gossip_due is not None:
            earliest = min(earliest, self.gossip_due)
        if self.probe is not None:
            earliest = min(earliest, self.probe.indirect_due or self.probe.deadline)
        return earliest + self.stalled_ms + 0.001  # so that rounding never wakes the host early

    def living(self) -> list[MemberRecord]:
        """Records of all members that are alive or suspect, starting with this member's own."""
        if self.live_records is None:
            self.live_records = tuple(one.record for one in self.members.values() if one.up)
        return [self.me, *self.live_records]

    def state_entries_of(self, kind: int, now: float) -> Iterator[tuple[MemberRecord, StateEntry, float]]:
        """Valid state entries of a kind, each with its owner's record and its age in ms."""
        owners = self.entry_owners.get(kind, {})
        for name in list(owners):
            member = self.members.get(name)
            known = None if member is None else member.entries.get(kind)
            if member is None or known is None:
                del owners[name]
            elif member.up and known.is_valid(now):
                yield member.record, known.entry, known.age(now)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and all timers that are due; return the actions for the host to carry out.

        Raises ValueError where a published entry exceeds the limits of ``Terms``. Once displaced by another
        process of the same name, the member ignores all events.
        """
        self.actions = []
        self.now = now = max(now, self.now)
        if self.displaced:
            return self.actions
        self._detect_stall(now)
        match event:
            case DatagramReceived(datagram):
                self._receive(datagram)
            case Publish():
                self._publish(event)
            case Depart():
                self._depart()
            case SendPayload(to, body):
                if not self.departing and (one := self.members.get(to)) is not None:
                    self._send_datagram(
                        one.address,
                        Kind.PAYLOAD,
                        one.record.process_id,
                        member=one,
                        with_updates=False,
                        body=body,
                    )
            case Due():
                pass
        self._run_timers()
        return self.actions

    # ---- running clock and local health -----------------------------------------------------------------

    @property
    def running_now(self) -> float:
        """Time in ms on the running clock, which excludes the time this process was stalled."""
        return self.now - self.stalled_ms

    def _detect_stall(self, now: float) -> None:
        """Stop the running clock for as long as this process was stopped or starved of CPU time.

        While stalled it received nothing; if its timeouts went on, it would take that for the failure of
        others.
        """
        lateness = now - self.due
        if lateness < self.terms.stall:
            return
        self.counts["late"] += 1
        self.stalled_ms += lateness
        self._raise_health_multiplier(1 if lateness < 1_000.0 else 2)
        self.probe = None  # its ack may still be in the socket buffer, or may have been dropped there
        self.actions.append(Stalled(lateness))
        if lateness > self.terms.min_suspicion / 2:
            # This table may list members as alive that died meanwhile: don't spread that to newcomers.
            self.suppress_updates_until = self.running_now + 2.0 * self.terms.max_suspicion
        if lateness > self.terms.dead_retention / 2:
            self._reset_table()

    def _reset_table(self) -> None:
        """Discard the table after a stall so long that other members may have dropped their dead records.

        Gossiping the old records could resurrect members that are dead. The addresses are kept, to rejoin at.
        """
        for member in self.members.values():
            self._remember_former_address(member.address)
        self.members.clear()
        self.live_records = None
        self.dead_or_left.clear()
        self.name_by_address.clear()
        self.bucket_checksums = [0] * BUCKETS
        self.names_by_bucket = [{} for _ in range(BUCKETS)]
        self.probe_order.clear()
        self.suspects.clear()
        self.member_updates.clear()
        self.entry_updates.clear()
        self.joining = True
        self.rejoin_due = self.running_now

    def _raise_health_multiplier(self, steps: int) -> None:
        self.health_multiplier = min(self.terms.max_health_multiplier, self.health_multiplier + steps)

    def _lower_health_multiplier(self) -> None:
        self.health_multiplier = max(0, self.health_multiplier - 1)

    # ---- timers -----------------------------------------------------------------------------------------

    def _run_timers(self) -> None:
        """Run everything that is due on the running clock."""
        running_now = self.running_now
        if self.departing:
            self.probe_due = self.sync_due = self.rejoin_due = running_now + 1_000.0
        if self.probe is not None:
            self._advance_probe(self.probe, running_now)
        while self.relayed_probes:
            number, relay = next(iter(self.relayed_probes.items()))
            if relay.deadline > running_now:
                break
            del self.relayed_probes[number]
            if (requester := self.members.get(relay.requester)) is not None:
                self._send_to_member(Kind.NACK, requester, probe=relay.probe_number, target=relay.target)
        if running_now >= self.probe_due:
            self.probe_due = running_now + self.terms.period * (1.0 + self.health_multiplier / 2.0)
            self._expire_suspicions(running_now)
            self._start_probe(running_now)
        if running_now >= self.rejoin_due:
            self._rejoin(running_now)
        if running_now >= self.sync_due:
            self.sync_due = running_now + self.terms.sync_interval * self.rng.uniform(0.8, 1.2)
            self._drop_expired(running_now)
            if (member := self._pick_live_member()) is not None:
                self._send_digest(member)
        self._gossip(running_now)

    def _gossip(self, running_now: float) -> None:
        """Send a round of gossip if one is due, and schedule the next."""
        if self.gossip_due is not None and running_now >= self.gossip_due:
            self.gossip_due = None
            for member in self._pick_live_members(self.terms.fanout):
                # A round with state entries only waits until there are tokens for a full datagram.
                floor = -self.terms.burst_bytes / 4 if self.member_updates else float(MAX_DATAGRAM_BYTES)
                if self.entry_updates and not self.member_updates:
                    first = self._entry_of(*next(iter(self.entry_updates)))
                    short_lived = first is not None and first.entry.max_age <= self.terms.short_lived_max_age
                    floor = -self.terms.burst_bytes / 8 if short_lived else floor
                if (self.member_updates or self.entry_updates) and self._take_tokens(
                    GOSSIP_OVERHEAD_BYTES, floor
                ):
                    self._send_to_member(Kind.GOSSIP, member, room=MAX_DATAGRAM_BYTES)
        if (self.member_updates or self.entry_updates) and self.gossip_due is None and self.members:
            self.gossip_due = running_now + self.terms.gossip_interval

    # ---- probes -----------------------------------------------------------------------------------------

    def _start_probe(self, running_now: float) -> None:
        """Probe the next member of a shuffled list, so that each live member is probed once per round."""
        for _ in range(len(self.probe_order) + 1):
            if self.probe_index >= len(self.probe_order):
                self.probe_order = [name for name, one in self.members.items() if one.up]
                self.rng.shuffle(self.probe_order)
                self.probe_index = 0
                if not self.probe_order:
                    return
            name = self.probe_order[self.probe_index]
            self.probe_index += 1
            member = self.members.get(name)
            if member is not None and member.up:
                break
        else:
            return
        self.last_probe_number += 1
        slowdown = 1.0 + self.health_multiplier / 2.0
        indirect_due = running_now + self.terms.probe_timeout * slowdown
        # The deadline is before the next probe starts, so that only one is in flight.
        self.probe = Probe(
            name,
            member.record.process_id,
            self.last_probe_number,
            indirect_due,
            running_now + self.terms.period * slowdown * 0.97,
        )
        self._send_to_member(Kind.PING, member, probe=self.last_probe_number)

    def _advance_probe(self, probe: Probe, running_now: float) -> None:
        """Request indirect probes when the direct one timed out; suspect the target at the deadline."""
        if probe.indirect_due is not None and running_now >= probe.indirect_due:
            probe.indirect_due = None
            for helper in self._pick_live_members(self.terms.indirect_probes, exclude=probe.name):
                probe.indirect_probes += 1
                self._send_to_member(Kind.PING_REQUEST, helper, probe=probe.number, target=probe.name)
        if running_now < probe.deadline:
            return
        self.probe = None
        member = self.members.get(probe.name)
        if member is None or member.record.process_id != probe.process_id or not member.up:
            return
        if probe.indirect_probes >= 2 and not probe.nacks:
            self._raise_health_multiplier(1)  # not even a nack: this member may be the unreachable one
        self._accuse(member, self.me.name, "no answer to a probe, nor to those of helpers")
        if not self.isolated and running_now - self.last_received_at >= self.terms.isolation_timeout:
            self._suspect_all(running_now)

    def _suspect_all(self, running_now: float) -> None:
        """Suspect all members at once after no datagram at all was received for ``isolation_timeout``.

        Probing them one by one would take a whole round to find the same.
        """
        self.isolated = True
        for member in list(self.members.values()):
            if member.state is State.ALIVE:
                self._accuse(member, self.me.name, "nobody is heard here")

    def _accuse(self, member: KnownMember, by: Name, evidence: str) -> None:
        """Suspect a member, or add ``by`` to the accusers of one that is suspected already."""
        if by in member.accusers and member.state is State.SUSPECT:
            return
        record = msgspec.structs.replace(member.record, state=int(State.SUSPECT), by=by)
        if member.state is State.SUSPECT:
            if len(member.accusers) < self.terms.accusers:
                member.accusers.add(by)
                member.record = record
                self.live_records = None
                self._queue_member_update(member)
            return
        member.accusers = {by}
        member.suspected_at = self.running_now
        self.suspects.add(record.name)
        self._set_record(member, record, by, evidence)

    def _expire_suspicions(self, running_now: float) -> None:
        """Mark suspects dead that haven't refuted the suspicion in time."""
        if not self.suspects:
            return
        count = len(self.living())
        for name in sorted(self.suspects):
            member = self.members.get(name)
            if member is None or member.state is not State.SUSPECT:
                self.suspects.discard(name)
                continue
            limit = self.terms.suspicion(count, len(member.accusers), self.health_multiplier)
            if running_now - member.suspected_at >= limit:
                by = ",".join(sorted(member.accusers))
                self._mark_dead(
                    member, self.me.name, f"suspect for {running_now - member.suspected_at:.0f} ms, by {by}"
                )

    def _mark_dead(self, member: KnownMember, by: Name, evidence: str) -> None:
        self.suspects.discard(member.record.name)
        member.entries.clear()
        self._set_record(
            member, msgspec.structs.replace(member.record, state=int(State.DEAD), by=by), by, evidence
        )

    # ---- rejoining members that are dead or not yet known -------------------------------------------------

    def _rejoin(self, running_now: float) -> None:
        """Ping one seed that no live member uses, one dead member, or one former address, chosen at random.

        This is how a new member finds the fleet, and how the two sides of a healed partition find each other.
        """
        alone = len(self.dead_or_left) == len(self.members)
        interval = JOIN_RETRY_MS if alone else self.terms.rejoin_interval
        self.rejoin_due = running_now + interval * self.rng.uniform(0.8, 1.2)
        seeds = [one for one in self.seeds if not self._is_in_use(one)]
        dead = [
            self.members[name] for name in sorted(self.dead_or_left) if self.members[name].state is State.DEAD
        ]
        former = [one for one in self.former_addresses if not self._is_in_use(one)]
        candidates: list[Sequence[Address | KnownMember]] = [
            group for group in (seeds, dead, former) if group
        ]
        if not candidates:
            return
        target: Address | KnownMember = self.rng.choice(self.rng.choice(candidates))
        if isinstance(target, KnownMember):
            self._send_to_member(Kind.PING, target, leading_records=[target.record])
        else:
            self._send_datagram(target, Kind.PING, 0)

    def _is_in_use(self, address: Address) -> bool:
        """Whether a live member has the address."""
        member = self.members.get(self.name_by_address.get(address, ""))
        return member is not None and member.up and member.address == address

    def _drop_expired(self, running_now: float) -> None:
        """Drop expired state entries, members dead for long, and former addresses that are in use again."""
        for member in [self.members[name] for name in self._names_with_entries() if name in self.members]:
            expired = [
                kind
                for kind, stored in member.entries.items()
                if stored.age(self.now) >= stored.entry.max_age
            ]
            for kind in expired:
                del member.entries[kind]
            if expired:
                self._update_checksum(member)
        for name in [
            name
            for name in sorted(self.dead_or_left)
            if running_now - self.members[name].since >= self.terms.dead_retention
        ]:
            self.dead_or_left.discard(name)
            member = self.members.pop(name)
            del self.names_by_bucket[bucket_of(name)][name]
            if self.name_by_address.get(member.address) == name:
                del self.name_by_address[member.address]
            if member.state is State.DEAD:
                self._remember_former_address(member.address)
        for address in [one for one in self.former_addresses if one in self.name_by_address]:
            del self.former_addresses[address]

    def _names_with_entries(self) -> set[Name]:
        """Members that may have a state entry."""
        return {name for owners in self.entry_owners.values() for name in owners}

    def _remember_former_address(self, address: Address) -> None:
        self.former_addresses[address] = None
        while len(self.former_addresses) > self.terms.max_former_addresses:
            self.former_addresses.popitem(last=False)

    # ---- choosing members -------------------------------------------------------------------------------

    def _pick_live_members(self, limit: int, exclude: Name = "") -> list[KnownMember]:
        names = self.probe_order if len(self.probe_order) > 0 else list(self.members)
        found: list[KnownMember] = []
        for _ in range(4 * limit):  # drawing with replacement avoids a scan of the table
            if not names or len(found) >= limit:
                break
            member = self.members.get(self.rng.choice(names))
            if member is not None and member.up and member not in found and member.record.name != exclude:
                found.append(member)
        return found

    def _pick_live_member(self) -> KnownMember | None:
        found = self._pick_live_members(1)
        return found[0] if found else None

    # ---- sending ----------------------------------------------------------------------------------------

    def _send_to_member(
        self,
        kind: Kind,
        member: KnownMember,
        *,
        probe: int = 0,
        target: Name = "",
        leading_records: list[MemberRecord] | None = None,
        room: int = 600,
    ) -> None:
        records = list(leading_records or ())
        if member.state is State.SUSPECT and not records:
            records.append(member.record)  # so that the suspect can refute it
        self._send_datagram(
            member.address, kind, member.record.process_id, probe, target, records, room, member
        )

    def _send_datagram(
        self,
        address: Address,
        kind: Kind,
        process_id: int,
        probe: int = 0,
        target: Name = "",
        records: list[MemberRecord] | None = None,
        room: int = 600,
        member: KnownMember | None = None,
        with_updates: bool = True,
        entries: list[StateEntry] | None = None,
        digest: list[int] | None = None,
        buckets: list[int] | None = None,
        held: list[HeldVersions] | None = None,
        body: bytes = b"",
    ) -> None:
        echo = echo_delay = -1
        if member is not None and member.stamp >= 0 and member.stamp_process_id == process_id:
            echo, echo_delay = member.stamp, int(self.now - member.stamp_received_at)
        records = records or []
        entries = entries or []
        if with_updates and (self.member_updates or self.entry_updates):
            remaining = (
                room
                - FIXED_BYTES
                - encoded_size(self.me)
                - sum(encoded_size(record) for record in records)
                - len(target)
            )
            self._add_updates(records, entries, remaining)
        datagram = Datagram(
            kind, self.me, process_id, int(self.now), echo, max(0, echo_delay), probe, target, records,
            entries, digest or [], buckets or [], held or [], body,
        )  # fmt: skip
        self.actions.append(Send(address, datagram))

    def _take_tokens(self, cost: int, floor: float = 0.0) -> bool:
        """Whether ``cost`` bytes may be sent in addition to probes, by a token bucket.

        The balance may not fall below ``floor``, which is lower (below 0) for traffic of higher priority.
        """
        filled = self.tokens + (self.now - self.tokens_updated_at) * self.terms.bytes_per_s / 1000.0
        self.tokens, self.tokens_updated_at = min(self.terms.burst_bytes, filled), self.now
        if self.tokens - cost < floor:
            return False
        self.tokens -= cost
        return True

    def _add_updates(self, records: list[MemberRecord], entries: list[StateEntry], room: int) -> None:
        """Append queued updates that fit into ``room`` bytes, least sent first, members before entries."""
        rounds = self.terms.rounds(len(self.members) + 1)
        for _ in range(len(self.member_updates)):
            name, sent_count = next(iter(self.member_updates.items()))
            record = self._record_of(name)
            suppressed = self.running_now < self.suppress_updates_until and name != self.me.name
            if record is None or sent_count >= rounds or (suppressed and record.state == State.ALIVE):
                del self.member_updates[name]
                continue
            cost = encoded_size(record)
            if cost > room or not self._take_tokens(cost, -self.terms.burst_bytes / 4):
                return
            room -= cost
            if record not in records:
                records.append(record)
            self.member_updates[name] = sent_count + 1
            self.member_updates.move_to_end(name)
            if len(records) >= len(self.member_updates):
                break
        skipped = 0
        for _ in range(len(self.entry_updates)):
            key, sent_count = next(iter(self.entry_updates.items()))
            stored = self._entry_of(*key)
            short_lived = stored is not None and stored.entry.max_age <= self.terms.short_lived_max_age
            max_sends = min(rounds, self.terms.short_lived_rounds) if short_lived else rounds
            if stored is None or sent_count >= max_sends or not stored.is_valid(self.now):
                del self.entry_updates[key]
                continue
            aged = self._with_current_age(stored)
            cost = encoded_size(aged)
            # Short-lived entries may overdraw the bucket: behind a backlog they would arrive expired.
            if short_lived:
                self.short_lived_handled_at = self.now
            reserved = self.now - self.short_lived_handled_at < self.terms.short_lived_max_age
            floor = self.terms.burst_bytes / 2 if reserved else 0.0
            if cost > room or not self._take_tokens(
                cost, -self.terms.burst_bytes / 8 if short_lived else floor
            ):
                skipped += 1
                if short_lived or not reserved or skipped > MAX_SKIPPED_ENTRIES:
                    return
                self.entry_updates.move_to_end(key)
                continue
            room -= cost
            entries.append(aged)
            self.entry_updates[key] = sent_count + 1
            self.entry_updates.move_to_end(key)
            if len(entries) >= len(self.entry_updates):
                return

    def _record_of(self, name: Name) -> MemberRecord | None:
        if name == self.me.name:
            return self.me
        member = self.members.get(name)
        return None if member is None else member.record

    def _entry_of(self, owner: Name, kind: int) -> StoredEntry | None:
        if owner == self.me.name:
            return self.own_entries.get(kind)
        member = self.members.get(owner)
        return None if member is None else member.entries.get(kind)

    def _with_current_age(self, stored: StoredEntry) -> StateEntry:
        # Rounded up: an age may be overstated, never understated.
        return msgspec.structs.replace(stored.entry, age=int(stored.age(self.now)) + 1)

    def _queue_member_update(self, member: KnownMember | None) -> None:
        """Queue the record of a member (None: of this one) at the front of the gossip queue."""
        name = self.me.name if member is None else member.record.name
        if member is not None:
            self._update_checksum(member)
        self.member_updates[name] = 0
        self.member_updates.move_to_end(name, last=False)
        while len(self.member_updates) > MAX_PENDING_UPDATES:
            self.member_updates.popitem()

    def _set_record(self, member: KnownMember, record: MemberRecord, by: Name, evidence: str) -> None:
        old = member.state
        if (
            record.generation != member.record.generation
            and self.name_by_address.get(member.address) == record.name
        ):
            del self.name_by_address[member.address]
        member.record = record
        self.live_records = None
        member.since = self.running_now
        self.name_by_address[member.address] = record.name
        (self.dead_or_left.discard if member.up else self.dead_or_left.add)(record.name)
        self._queue_member_update(member)
        if old is not member.state:
            self.actions.append(Changed(record, old, by, evidence))

    # ---- receiving --------------------------------------------------------------------------------------

    def _receive(self, datagram: Datagram) -> None:
        sender = datagram.sender
        if sender.name == self.me.name:
            if sender.process_id != self.me.process_id:
                self._resolve_name_conflict(sender)
            return
        if self.departing:
            return
        self.last_received_at, self.isolated = self.running_now, False
        unknown = sender.name not in self.members
        resurrected = self._apply_record(sender, sender.name, direct=True)
        member = self.members.get(sender.name)
        if member is None:
            return  # the table is full, or the sender reports itself as not alive
        held = member.record
        current = held.process_id == sender.process_id and held.generation == sender.generation
        if current:
            member.last_received_at = self.running_now
            member.stamp, member.stamp_received_at, member.stamp_process_id = (
                datagram.stamp,
                self.now,
                sender.process_id,
            )
        transit = self._transit_bound(datagram)
        for record in datagram.members:
            if record.name == self.me.name:
                self._apply_own_record(record)
            else:
                self._apply_record(record, sender.name, direct=False, bulk=datagram.kind == Kind.MISSING)
        if transit is not None:
            for entry in datagram.entries:
                self._apply_entry(entry, transit, datagram.kind == Kind.MISSING)
        # The sender is recorded as dead, left or another instance: send it that record, so it can refute it.
        correction = [member.record] if not current or not member.up else []
        self._reply(datagram, member, correction)
        if (unknown or resurrected) and self.members.get(sender.name) is member:
            self._send_digest(member)

    def _transit_bound(self, datagram: Datagram) -> float | None:
        """Upper bound of the datagram's transit time in ms, by this process's clock alone; None: unknown.

        It is the time since this process sent the echoed stamp, less the time the peer held it.
        """
        if (
            datagram.to != self.me.process_id
            or not 0 <= datagram.echo_delay <= MAX_ECHO_DELAY_MS
            or datagram.echo < 0
        ):
            return None
        elapsed = self.now - datagram.echo - datagram.echo_delay * (1.0 - MAX_CLOCK_DRIFT)
        return elapsed if elapsed >= 0.0 else None  # a negative time means that the echo is forged

    def _reply(self, datagram: Datagram, member: KnownMember, correction: list[MemberRecord]) -> None:
        match datagram.kind:
            case Kind.PING:
                self._send_datagram(
                    member.address if not correction else (datagram.sender.host, datagram.sender.port),
                    Kind.ACK, datagram.sender.process_id, datagram.probe, "",
                    correction or self._suspicion_of(member), member=member,
                )  # fmt: skip
                return
            case Kind.ACK:
                self._receive_ack(datagram)
            case Kind.PING_REQUEST:
                self._relay_probe(datagram, member)
            case Kind.NACK:
                if self.probe is not None and datagram.probe == self.probe.number:
                    self.probe.nacks += 1
            case Kind.DIGEST:
                self._receive_digest(datagram, member)
            case Kind.VERSIONS:
                self._receive_versions(datagram, member)
            case Kind.PAYLOAD if datagram.to == self.me.process_id and not correction:
                self.actions.append(PayloadReceived(member.record, datagram.body))
        if correction:
            address = (datagram.sender.host, datagram.sender.port)
            self._send_datagram(
                address, Kind.GOSSIP, datagram.sender.process_id, 0, "", correction, with_updates=False
            )

    @staticmethod
    def _suspicion_of(member: KnownMember) -> list[MemberRecord]:
        return [member.record] if member.state is State.SUSPECT else []

    def _receive_ack(self, datagram: Datagram) -> None:
        probe = self.probe
        name = datagram.target or datagram.sender.name
        if probe is not None and datagram.probe == probe.number and name == probe.name:
            # An ack of another process at that address doesn't show that the probed instance is alive.
            if datagram.target or datagram.sender.process_id == probe.process_id:
                self.probe = None
                self._lower_health_multiplier()
            return
        relay = self.relayed_probes.get(datagram.probe)
        if relay is not None and relay.target == datagram.sender.name and not datagram.target:
            del self.relayed_probes[datagram.probe]
            if (requester := self.members.get(relay.requester)) is not None:
                self._send_to_member(Kind.ACK, requester, probe=relay.probe_number, target=relay.target)

    def _relay_probe(self, datagram: Datagram, requester: KnownMember) -> None:
        target = self.members.get(datagram.target)
        if target is None or not target.up:
            self._send_to_member(Kind.NACK, requester, probe=datagram.probe, target=datagram.target)
            return
        self.last_probe_number += 1
        deadline = self.running_now + self.terms.probe_timeout * 0.8
        self.relayed_probes[self.last_probe_number] = RelayedProbe(
            requester.record.name, datagram.probe, datagram.target, deadline
        )
        if len(self.relayed_probes) > MAX_RELAYED_PROBES:
            self.relayed_probes.popitem(last=False)
        self._send_to_member(Kind.PING, target, probe=self.last_probe_number)

    def _apply_record(self, record: MemberRecord, by: Name, direct: bool, bulk: bool = False) -> bool:
        """Merge a record of another member into the table; return whether it resurrected a dead one.

        ``direct``: sent by that member itself; ``bulk``: by an anti-entropy sync, so not gossiped further.
        """
        known = self.members.get(record.name)
        if known is None:
            self._add_member(record, by, direct, bulk)
            return False
        if record.generation > known.record.generation:
            old = known.state
            known.accusers.clear()
            known.entries.clear()
            known.stamp = -1
            self.suspects.discard(record.name)
            state = State(record.state)
            if state is State.SUSPECT:
                record = msgspec.structs.replace(record, state=int(State.ALIVE), by="")
            self._set_record(known, record, by, f"generation {record.generation}")
            if old is State.ALIVE and known.state is State.ALIVE:
                self.actions.append(Changed(record, old, by, f"began anew, generation {record.generation}"))
            return old is State.DEAD and known.state is State.ALIVE
        if record.generation < known.record.generation or record.process_id != known.record.process_id:
            self.counts["old-word"] += not direct
            return False
        if record.rank() <= known.record.rank():
            same = record.incarnation == known.record.incarnation
            if same and record.state == State.SUSPECT and known.state is State.SUSPECT and record.by:
                self._accuse(known, record.by, "")
            return False
        return self._apply_newer_record(known, record, by, direct)

    def _apply_newer_record(self, known: KnownMember, record: MemberRecord, by: Name, direct: bool) -> bool:
        """Apply a record that outranks the known one; return whether it resurrected a dead member."""
        old = known.state
        match State(record.state):
            case State.ALIVE:
                known.accusers.clear()
                self.suspects.discard(record.name)
                self._set_record(known, record, by, "speaks itself" if direct else "refuted")
                return old is State.DEAD
            case State.SUSPECT:
                if old < State.DEAD:
                    self._accept_suspicion(known, record)
            case State.DEAD:
                # One member's verdict counts as an accusation only, so that a live member can refute it.
                if old is State.DEAD:
                    known.record = record  # died in a later incarnation, of which no record arrived here
                elif old is State.ALIVE or record.incarnation > known.record.incarnation:
                    self._accept_suspicion(known, record)
                elif old is State.SUSPECT:
                    min_duration = self.terms.min_suspicion / 2
                    if self.running_now - known.suspected_at >= min_duration:
                        self._mark_dead(known, by, f"dead by the word of {record.by or by}")
                    else:
                        self._accuse(known, record.by or by, "")
            case State.LEFT:
                self.suspects.discard(record.name)
                known.entries.clear()
                self._set_record(known, record, by, "left by its own word")
        return False

    def _accept_suspicion(self, known: KnownMember, record: MemberRecord) -> None:
        by = record.by or "?"
        known.record = msgspec.structs.replace(known.record, incarnation=record.incarnation)
        self.live_records = None
        self._accuse(known, by, f"accused by {by}")

    def _add_member(self, record: MemberRecord, by: Name, direct: bool, bulk: bool) -> None:
        """Add an unknown member if its record is ALIVE; a dead one that was dropped isn't added again."""
        if record.state != State.ALIVE:
            return  # a suspect isn't added either: if it is alive, its refutation will add it
        if len(self.members) >= self.terms.max_members:
            self.counts["no-room"] += 1
            if self.now - self.table_full_reported_at >= TABLE_FULL_INTERVAL_MS:
                self.table_full_reported_at = self.now
                self.actions.append(TableFull(self.terms.max_members))
            return
        member = self.members[record.name] = KnownMember(record, self.running_now, self.running_now)
        self.names_by_bucket[bucket_of(record.name)][record.name] = None
        self.live_records = None
        self.name_by_address[member.address] = record.name
        self.probe_order.insert(self.rng.randint(0, len(self.probe_order)), record.name)
        self._update_checksum(member)
        if not bulk:  # others have it already, or will get it by a sync of their own
            self._queue_member_update(member)
        evidence = "speaks itself" if direct else f"made known by {by}"
        self.actions.append(Changed(record, None, by, evidence))

    # ---- this member's own record -------------------------------------------------------------------------

    def _start_generation(self, generation: int) -> None:
        """Continue under a higher generation and gossip the own record and entries under it."""
        self.me = msgspec.structs.replace(self.me, generation=generation, incarnation=1)
        for kind, stored in self.own_entries.items():
            entry = msgspec.structs.replace(stored.entry, generation=generation)
            self.own_entries[kind] = StoredEntry(entry, stored.recorded_at)
            self._queue_entry_update(self.me.name, kind)
        self._queue_member_update(None)

    def _apply_own_record(self, record: MemberRecord) -> None:
        """Handle a gossiped record under this member's own name: refute it or start a new generation."""
        if record.generation < self.me.generation:
            return
        if record.process_id == self.me.process_id:
            if record.state == State.LEFT and not self.departing:
                self._start_generation(record.generation + 1)
            elif record.state != State.ALIVE and record.incarnation >= self.me.incarnation:
                self.counts["refuted"] += 1
                self._raise_health_multiplier(1)
                self.me = msgspec.structs.replace(self.me, incarnation=record.incarnation + 1)
                self._queue_member_update(None)
            return
        same_address = (record.host, record.port) == (self.me.host, self.me.port)
        if self.joining or same_address or record.state >= State.DEAD:
            self._start_generation(record.generation + 1)  # the record is of an earlier process of this name
        if not same_address and record.state < State.DEAD:
            self._send_datagram(
                (record.host, record.port), Kind.PING, 0
            )  # a reply would show that another process uses this name there

    def _resolve_name_conflict(self, record: MemberRecord) -> None:
        """Handle a datagram that another process sent under this name: the newer one keeps the name."""
        if record.state >= State.DEAD:
            return
        if self.joining:
            self._start_generation(max(self.me.generation, record.generation) + 1)
        elif (record.generation, record.process_id) > (self.me.generation, self.me.process_id):
            self.displaced = True
            self.actions.append(Displaced(record))
            return
        elif record.generation == self.me.generation:
            self._start_generation(self.me.generation + 1)
        self._send_datagram((record.host, record.port), Kind.PING, record.process_id)

    def _depart(self) -> None:
        if self.departing:
            return
        self.departing = True
        self.me = msgspec.structs.replace(self.me, state=int(State.LEFT))
        self.probe = None
        self.entry_updates.clear()
        self.member_updates.clear()
        for member in self._pick_live_members(DEPARTURE_FANOUT):
            self._send_datagram(member.address, Kind.GOSSIP, member.record.process_id, with_updates=False)

    # ---- state entries ----------------------------------------------------------------------------------

    def _publish(self, event: Publish) -> None:
        terms = self.terms
        if len(event.body) > terms.max_entry_bytes or (
            event.kind not in self.own_entries and len(self.own_entries) >= terms.max_entries
        ):
            raise ValueError(
                f"state entry {event.kind} exceeds the limits: {len(event.body)} bytes, "
                f"{len(self.own_entries)} entries"
            )
        previous = self.own_entries.get(event.kind)
        counter = 1 if previous is None else previous.entry.counter + 1
        entry = StateEntry(
            self.me.name, self.me.generation, self.me.process_id, event.kind, counter, event.schema, 0,
            event.max_age, event.body,
        )  # fmt: skip
        self.own_entries[event.kind] = StoredEntry(entry, self.now)
        self._queue_entry_update(self.me.name, event.kind)

    def _queue_entry_update(self, owner: Name, kind: int) -> None:
        self.entry_updates[(owner, kind)] = 0
        self.entry_updates.move_to_end((owner, kind), last=False)
        while len(self.entry_updates) > MAX_PENDING_UPDATES:
            self.entry_updates.popitem()

    def _apply_entry(self, entry: StateEntry, transit: float, bulk: bool) -> None:
        """Store an entry if its (generation, counter) is newer.

        Kinds that this version doesn't know are stored and gossiped as well.
        """
        member = self.members.get(entry.owner)
        if member is None or not member.up or len(entry.body) > self.terms.max_entry_bytes:
            return
        if entry.generation != member.record.generation or entry.process_id != member.record.process_id:
            return  # of an earlier instance, or of one whose record hasn't arrived yet
        known = member.entries.get(entry.kind)
        if known is None and len(member.entries) >= self.terms.max_entries:
            return
        if known is not None and known.entry.version >= entry.version:
            return
        stored = StoredEntry(msgspec.structs.replace(entry, age=int(entry.age + transit) + 1), self.now)
        if stored.age(self.now) >= entry.max_age:
            return
        member.entries[entry.kind] = stored
        self.entry_owners.setdefault(entry.kind, {})[entry.owner] = None
        self._update_checksum(member)
        if not bulk:
            self._queue_entry_update(entry.owner, entry.kind)
        self.actions.append(Learned(stored.entry))

    # ---- anti-entropy syncs -----------------------------------------------------------------------------

    def _checksum(self, record: MemberRecord, entries: dict[int, StoredEntry]) -> int:
        versions = sorted(self._counters(entries).items())
        return zlib.crc32(repr((record.name, record.generation, record.process_id, versions)).encode())

    def _counters(self, entries: dict[int, StoredEntry]) -> dict[int, int]:
        return {
            kind: one.entry.counter for kind, one in entries.items() if one.age(self.now) < one.entry.max_age
        }

    def _update_checksum(self, member: KnownMember) -> None:
        """Update the bucket's checksum for a member.

        Only live members count: each process drops the dead at its own time, and dead records are exchanged
        wherever checksums differ for another reason.
        """
        checksum = self._checksum(member.record, member.entries) if member.up else 0
        self.bucket_checksums[bucket_of(member.record.name)] ^= member.checksum ^ checksum
        member.checksum = checksum

    def _digest(self) -> list[int]:
        """Checksums of all buckets, this member included."""
        checksums = list(self.bucket_checksums)
        checksums[bucket_of(self.me.name)] ^= self._checksum(self.me, self.own_entries)
        return checksums

    def _send_digest(self, member: KnownMember) -> None:
        if self._take_tokens(200):
            self._send_datagram(
                member.address,
                Kind.DIGEST,
                member.record.process_id,
                member=member,
                with_updates=False,
                digest=self._digest(),
            )

    def _held_versions(self, name: Name) -> HeldVersions | None:
        if name == self.me.name:
            record, entries = self.me, self.own_entries
        elif (member := self.members.get(name)) is not None:
            record, entries = member.record, member.entries
        else:
            return None
        versions = self._counters(entries)
        return HeldVersions(
            record.name, record.generation, record.process_id, record.incarnation, record.state, versions
        )

    def _receive_digest(self, datagram: Datagram, member: KnownMember) -> None:
        """Reply with the versions held in the buckets whose checksums differ, as many as fit whole."""
        if len(datagram.digest) != BUCKETS:
            return
        own_digest = self._digest()
        differing = [index for index in range(BUCKETS) if own_digest[index] != datagram.digest[index]]
        if not differing:
            self.joining = False
            return
        self.rng.shuffle(differing)
        room = MAX_DATAGRAM_BYTES - FIXED_BYTES - encoded_size(self.me) - 2 * BUCKETS
        held: list[HeldVersions] = []
        buckets: list[int] = []
        for index in differing:
            entries = [
                one for name in self._names_in_bucket(index) if (one := self._held_versions(name)) is not None
            ]
            needed = sum(encoded_size(one) for one in entries)
            if needed > room and buckets:
                break
            while needed > room:  # a single bucket is too large: send a random part of it
                needed -= encoded_size(entries.pop(self.rng.randrange(len(entries))))
            room -= needed
            held += entries
            buckets.append(index)
        if self._take_tokens(MAX_DATAGRAM_BYTES - room):
            self._send_datagram(
                member.address, Kind.VERSIONS, member.record.process_id, member=member, with_updates=False,
                buckets=buckets, held=held,
            )  # fmt: skip

    def _names_in_bucket(self, index: int) -> list[Name]:
        """Names of the members in a bucket, this member's included."""
        if not 0 <= index < BUCKETS:
            return []
        me = [self.me.name] if bucket_of(self.me.name) == index else []
        return [*me, *self.names_by_bucket[index]]

    def _receive_versions(self, datagram: Datagram, member: KnownMember) -> None:
        """Send what the peer is missing; request, once, what is missing here.

        A non-empty ``target`` marks that request, so that it isn't answered by another one.
        """
        may_request = datagram.target == ""
        missing: list[HeldVersions] = []
        records: list[MemberRecord] = []
        entries: list[StateEntry] = []
        seen = set()
        for theirs in datagram.held:
            seen.add(theirs.name)
            ours = self._held_versions(theirs.name)
            if ours is None:
                if may_request and theirs.state < State.DEAD:
                    missing.append(HeldVersions(theirs.name, 0, 0, 0, 0, {}))
                continue
            if self._is_behind(theirs, ours):
                self._collect_missing(theirs, records, entries)
            if may_request and (
                self._is_behind(ours, theirs)
                or (theirs.name == self.me.name and theirs.process_id != self.me.process_id)
            ):
                missing.append(ours)
        if may_request:
            own_names = {name for index in set(datagram.buckets) for name in self._names_in_bucket(index)}
            for name in sorted(own_names - seen):
                self._collect_missing(HeldVersions(name, 0, 0, 0, 0, {}), records, entries)
        self.joining = False
        if missing:
            self.sync_due = min(self.sync_due, self.running_now + SYNC_FOLLOW_UP_MS)
            room = MAX_DATAGRAM_BYTES - FIXED_BYTES - encoded_size(self.me) - 8
            fitting: list[HeldVersions] = []
            for one in missing:
                room -= encoded_size(one)
                if room < 0:
                    break
                fitting.append(one)
            if self._take_tokens(MAX_DATAGRAM_BYTES - max(0, room)):
                self._send_datagram(
                    member.address, Kind.VERSIONS, member.record.process_id, target="?", member=member,
                    with_updates=False, held=fitting,
                )  # fmt: skip
        self._send_missing(member, records, entries)

    @staticmethod
    def _is_behind(held: HeldVersions, other: HeldVersions) -> bool:
        """Whether ``other`` is newer than ``held`` in any part."""
        if other.generation != held.generation:
            return other.generation > held.generation
        if other.process_id != held.process_id:
            return False
        if (other.incarnation, other.state) > (held.incarnation, held.state):
            return True
        return any(counter > held.counters.get(kind, 0) for kind, counter in other.counters.items())

    def _collect_missing(
        self, theirs: HeldVersions, records: list[MemberRecord], entries: list[StateEntry]
    ) -> None:
        record = self._record_of(theirs.name)
        if record is None or (theirs.generation == 0 and record.state >= State.DEAD):
            return
        if (
            record is not self.me
            and record.state < State.DEAD
            and self.running_now < self.suppress_updates_until
        ):
            return
        records.append(record)
        held = self.own_entries if theirs.name == self.me.name else self.members[theirs.name].entries
        same_instance = theirs.generation == record.generation and theirs.process_id == record.process_id
        for kind, stored in held.items():
            if stored.is_valid(self.now) and (
                not same_instance or stored.entry.counter > theirs.counters.get(kind, 0)
            ):
                entries.append(self._with_current_age(stored))

    def _send_missing(
        self, member: KnownMember, records: list[MemberRecord], entries: list[StateEntry]
    ) -> None:
        """Send records and entries in as many datagrams as tokens allow; a later sync brings the rest."""
        capacity = MAX_DATAGRAM_BYTES - FIXED_BYTES - encoded_size(self.me)
        while records or entries:
            room = capacity
            record_batch: list[MemberRecord] = []
            while records and (cost := encoded_size(records[0])) <= room:
                room -= cost
                record_batch.append(records.pop(0))
            entry_batch: list[StateEntry] = []
            while not records and entries and (cost := encoded_size(entries[0])) <= room:
                room -= cost
                entry_batch.append(entries.pop(0))
            if not self._take_tokens(MAX_DATAGRAM_BYTES - room):
                return
            self._send_datagram(
                member.address, Kind.MISSING, member.record.process_id, records=record_batch, member=member,
                with_updates=False, entries=entry_batch,
            )  # fmt: skip
