"""One member of the fleet: SWIM with Lifeguard's refinements, and the facets that travel with it.

Pure: events in, actions out. ``now`` is ms of a clock that never runs backwards and has no fixed zero; the
host calls ``handle`` with ``Due`` at ``due`` or as soon after as it can, and the member takes its being late
for its own fault. Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2017);
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
    Carried,
    Carry,
    Changed,
    Depart,
    Displaced,
    Due,
    Event,
    Heard,
    Stalled,
    Learned,
    Publish,
    Send,
    TableFull,
)
from martentide.fleet.table import BUCKETS, KnownMember, Probe, RelayedProbe, StoredEntry, bucket_of
from martentide.fleet.terms import DATAGRAM, Terms
from martentide.fleet.wire import (
    CHECK,
    HEAD,
    Datagram,
    HeldVersions,
    Kind,
    MemberRecord,
    Name,
    State,
    StateEntry,
    encoded_size,
)

SYNC_FOLLOW_UP_MS = 150.0  # ms to the next comparison after one that brought something
JOIN_RETRY_MS = 250.0  # ms between two tries at seeds of a member that has found nobody yet
MAX_RELAYED_PROBES = 256  # probes on behalf of others that are under way
MAX_PENDING_UPDATES = 4_096  # pieces of news that wait to be told; older ones are made good by comparisons
MAX_SKIPPED_ENTRIES = (
    16  # facets that one datagram passes over for want of bytes, to come to those that end soon
)
TABLE_FULL_INTERVAL_MS = 60_000.0  # ms between two words of a table that is full
MAX_ECHO_DELAY_MS = 60_000  # ms a stamp may have been kept by the other
MAX_CLOCK_DRIFT = 0.001  # by which two clocks' paces may differ
DEPARTURE_FANOUT = 12  # members that are told of a departure at once
FIXED_BYTES = HEAD + CHECK + 60  # bytes beside the sender's word and the entries: frame, figures, list heads
GOSSIP_OVERHEAD_BYTES = (
    FIXED_BYTES + 28 + 60
)  # of a datagram that only carries news: headers of IP and UDP, the own word


class Membership:
    """``seeds`` are addresses at which members may be found; the own one may stand among them."""

    def __init__(
        self,
        name: Name,
        zone: str,
        address: Address,
        seeds: tuple[Address, ...],
        terms: Terms,
        seed: int,
        now: float,
        life: int | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.terms, self.seeds = terms, tuple(one for one in seeds if one != address)
        life = life or self.rng.getrandbits(62) + 1
        self.me = MemberRecord(name, 1, life, 1, State.ALIVE, zone, *address)
        self.members: dict[Name, KnownMember] = {}
        self.dead_or_left: set[Name] = set()  # the dead and departed among them
        self.live_records: (
            tuple[MemberRecord, ...] | None
        ) = ()  # the words of the others; None: to be read anew
        self.name_by_address: dict[Address, Name] = {}  # who was heard of there last
        self.bucket_checksums = [0] * BUCKETS
        self.names_by_bucket: list[dict[Name, None]] = [{} for _ in range(BUCKETS)]  # of ``members``
        self.table_full_reported_at = -1e18  # when the table's being full was last said
        self.former_addresses: OrderedDict[Address, None] = OrderedDict()  # of the dead that were forgotten
        self.own_entries: dict[int, StoredEntry] = {}
        self.entry_owners: dict[int, dict[Name, None]] = {}  # who may have a facet of that kind
        self.member_updates: OrderedDict[Name, int] = OrderedDict()  # and how often it was told
        self.entry_updates: OrderedDict[tuple[Name, int], int] = OrderedDict()
        self.counts: Counter[str] = Counter()
        self.health_multiplier = 0
        self.joining, self.silent, self.departing = True, False, False
        self.stalled_ms = 0.0  # ms that this process stood still
        self.now = now
        self.probe_order: list[Name] = []
        self.probe_index = 0
        self.last_probe_number = 0
        self.probe: Probe | None = None
        self.relayed_probes: OrderedDict[int, RelayedProbe] = OrderedDict()
        self.suspects: set[Name] = set()
        self.last_received_at = now  # any datagram at all
        self.isolated = False
        self.suppress_updates_until = 0.0
        spread = self.rng.random()
        self.probe_due = now + spread * terms.period
        self.gossip_due: float | None = None
        self.short_lived_handled_at = (
            -1e18
        )  # when a facet that ends soon was told last: bytes are kept for those
        self.sync_due = now + spread * terms.sync_interval
        self.rejoin_due = now + spread * 50.0
        self.tokens, self.tokens_updated_at = terms.burst_bytes, now
        self.actions: list[Action] = []

    # ---- what the host sees -----------------------------------------------------------------------------

    @property
    def due(self) -> float:
        """When the host has to call with Due, at the latest."""
        first = min(self.probe_due, self.sync_due, self.rejoin_due)
        if self.gossip_due is not None:
            first = min(first, self.gossip_due)
        if self.probe is not None:
            first = min(first, self.probe.indirect_due or self.probe.deadline)
        return first + self.stalled_ms + 0.001  # so that rounding never brings the host before its time

    def living(self) -> list[MemberRecord]:
        """The words of all that are not known to be dead or gone, this one's first."""
        if self.live_records is None:
            self.live_records = tuple(one.record for one in self.members.values() if one.up)
        return [self.me, *self.live_records]

    def state_entries_of(self, kind: int, now: float) -> Iterator[tuple[MemberRecord, StateEntry, float]]:
        """The facets of that kind that count, the owner's word, and their age."""
        owners = self.entry_owners.get(kind, {})
        for name in list(owners):
            member = self.members.get(name)
            known = None if member is None else member.entries.get(kind)
            if member is None or known is None:
                del owners[name]
            elif member.up and known.is_valid(now):
                yield member.record, known.entry, known.age(now)

    def handle(self, now: float, event: Event) -> list[Action]:
        self.actions = []
        self.now = now = max(now, self.now)
        if self.silent:
            return self.actions
        self._detect_stall(now)
        match event:
            case Heard(said):
                self._receive(said)
            case Publish():
                self._publish(event)
            case Depart():
                self._depart()
            case Carry(to, body):
                if not self.departing and (one := self.members.get(to)) is not None:
                    self._send_datagram(
                        one.address, Kind.PAYLOAD, one.record.life, member=one, news=False, body=body
                    )
            case Due():
                pass
        self._run_timers()
        return self.actions

    # ---- own clock and health ---------------------------------------------------------------------------

    @property
    def running_now(self) -> float:
        return self.now - self.stalled_ms

    def _detect_stall(self, now: float) -> None:
        """A process that was stopped, or kept from the processor, must not take its own deafness for others'
        silence: its waits stand still for as long as it did."""
        late = now - self.due
        if late < self.terms.stall:
            return
        self.counts["late"] += 1
        self.stalled_ms += late
        self._raise_health_multiplier(1 if late < 1_000.0 else 2)
        self.probe = None  # whose answer may lie in the socket, or have been lost there
        self.actions.append(Stalled(late))
        if late > self.terms.suspicion_least / 2:
            # Whoever died meanwhile is alive in this table: newcomers must not be told so.
            self.suppress_updates_until = self.running_now + 2.0 * self.terms.suspicion_most
        if late > self.terms.dead_retention / 2:
            self._reset_table()

    def _reset_table(self) -> None:
        """After so long a stop what is held may be older than what others remember of the dead: none of it
        may be told again. The addresses are kept, as seeds."""
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
        """All that is due by the own clock."""
        own = self.running_now
        if self.departing:
            self.probe_due = self.sync_due = self.rejoin_due = own + 1_000.0
        if self.probe is not None:
            self._advance_probe(self.probe, own)
        while self.relayed_probes:
            number, relay = next(iter(self.relayed_probes.items()))
            if relay.deadline > own:
                break
            del self.relayed_probes[number]
            if (asker := self.members.get(relay.requester)) is not None:
                self._send_to_member(Kind.NACK, asker, probe=relay.probe_number, target=relay.target)
        if own >= self.probe_due:
            self.probe_due = own + self.terms.period * (1.0 + self.health_multiplier / 2.0)
            self._expire_suspicions(own)
            self._start_probe(own)
        if own >= self.rejoin_due:
            self._rejoin(own)
        if own >= self.sync_due:
            self.sync_due = own + self.terms.sync_interval * self.rng.uniform(0.8, 1.2)
            self._drop_expired(own)
            if (other := self._pick_live_member()) is not None:
                self._send_digest(other)
        self._gossip(own)

    def _gossip(self, own: float) -> None:
        """A round of news, if it is time for one, and the time of the next."""
        if self.gossip_due is not None and own >= self.gossip_due:
            self.gossip_due = None
            for member in self._pick_live_members(self.terms.fanout):
                # A round for facets alone waits until there are bytes for what it is to carry.
                floor = -self.terms.burst_bytes / 4 if self.member_updates else float(DATAGRAM)
                if self.entry_updates and not self.member_updates:
                    first = self._entry_of(*next(iter(self.entry_updates)))
                    brief = first is not None and first.entry.max_age <= self.terms.short_lived_max_age
                    floor = -self.terms.burst_bytes / 8 if brief else floor
                if (self.member_updates or self.entry_updates) and self._take_tokens(
                    GOSSIP_OVERHEAD_BYTES, floor
                ):
                    self._send_to_member(Kind.GOSSIP, member, room=DATAGRAM)
        if (self.member_updates or self.entry_updates) and self.gossip_due is None and self.members:
            self.gossip_due = own + self.terms.gossip_gap

    # ---- probes -----------------------------------------------------------------------------------------

    def _start_probe(self, own: float) -> None:
        """The next in a round over all in random order: each is probed once in a round, by every member."""
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
        slow = 1.0 + self.health_multiplier / 2.0
        direct = own + self.terms.probe_timeout * slow
        # Ends before the next one begins, so that one is under way at a time.
        self.probe = Probe(
            name, member.record.life, self.last_probe_number, direct, own + self.terms.period * slow * 0.97
        )
        self._send_to_member(Kind.PING, member, probe=self.last_probe_number)

    def _advance_probe(self, probe: Probe, own: float) -> None:
        if probe.indirect_due is not None and own >= probe.indirect_due:
            probe.indirect_due = None
            for helper in self._pick_live_members(self.terms.indirect_probes, but=probe.name):
                probe.indirect_probes += 1
                self._send_to_member(Kind.PING_REQUEST, helper, probe=probe.number, target=probe.name)
        if own < probe.deadline:
            return
        self.probe = None
        member = self.members.get(probe.name)
        if member is None or member.record.life != probe.life or not member.up:
            return
        if probe.indirect_probes >= 2 and not probe.nacks:
            self._raise_health_multiplier(
                1
            )  # nobody at all answers: it may well be this one that can't be heard
        self._accuse(member, self.me.name, "no answer to a probe, nor to those of helpers")
        if not self.isolated and own - self.last_received_at >= self.terms.isolation_timeout:
            self._suspect_all(own)

    def _suspect_all(self, own: float) -> None:
        """Not one word from anybody: one by one, a round would take too long to say what is already clear."""
        self.isolated = True
        for member in list(self.members.values()):
            if member.state is State.ALIVE:
                self._accuse(member, self.me.name, "nobody is heard here")

    def _accuse(self, member: KnownMember, by: Name, evidence: str) -> None:
        if by in member.accusers and member.state is State.SUSPECT:
            return
        word = msgspec.structs.replace(member.record, state=int(State.SUSPECT), by=by)
        if member.state is State.SUSPECT:
            if len(member.accusers) < self.terms.accusers:
                member.accusers.add(by)
                member.record = word
                self.live_records = None
                self._queue_member_update(member)
            return
        member.accusers = {by}
        member.suspected_at = self.running_now
        self.suspects.add(word.name)
        self._set_record(member, word, by, evidence)

    def _expire_suspicions(self, own: float) -> None:
        if not self.suspects:
            return
        count = len(self.living())
        for name in sorted(self.suspects):
            member = self.members.get(name)
            if member is None or member.state is not State.SUSPECT:
                self.suspects.discard(name)
                continue
            limit = self.terms.suspicion(count, len(member.accusers), self.health_multiplier)
            if own - member.suspected_at >= limit:
                by = ",".join(sorted(member.accusers))
                self._mark_dead(
                    member, self.me.name, f"suspect for {own - member.suspected_at:.0f} ms, by {by}"
                )

    def _mark_dead(self, member: KnownMember, by: Name, evidence: str) -> None:
        self.suspects.discard(member.record.name)
        member.entries.clear()
        self._set_record(
            member, msgspec.structs.replace(member.record, state=int(State.DEAD), by=by), by, evidence
        )

    # ---- reaching for those who are not there -------------------------------------------------------------

    def _rejoin(self, own: float) -> None:
        """One try at a seed that is nobody's address, at a dead member, or at the address of a past one: so
        that a newcomer finds the fleet, and the halves of one that was split each other."""
        alone = len(self.dead_or_left) == len(self.members)
        gap = JOIN_RETRY_MS if alone else self.terms.rejoin_interval
        self.rejoin_due = own + gap * self.rng.uniform(0.8, 1.2)
        seeds = [one for one in self.seeds if not self._is_in_use(one)]
        dead = [
            self.members[name] for name in sorted(self.dead_or_left) if self.members[name].state is State.DEAD
        ]
        past = [one for one in self.former_addresses if not self._is_in_use(one)]
        ways: list[Sequence[Address | KnownMember]] = [way for way in (seeds, dead, past) if way]
        if not ways:
            return
        one: Address | KnownMember = self.rng.choice(self.rng.choice(ways))
        if isinstance(one, KnownMember):
            self._send_to_member(Kind.PING, one, first=[one.record])
        else:
            self._send_datagram(one, Kind.PING, 0)

    def _is_in_use(self, address: Address) -> bool:
        """Whether a living member has the address."""
        member = self.members.get(self.name_by_address.get(address, ""))
        return member is not None and member.up and member.address == address

    def _drop_expired(self, own: float) -> None:
        """What is past its end: facets, the dead, and addresses that are somebody's again."""
        for member in [self.members[name] for name in self._names_with_entries() if name in self.members]:
            old = [
                kind for kind, facet in member.entries.items() if facet.age(self.now) >= facet.entry.max_age
            ]
            for kind in old:
                del member.entries[kind]
            if old:
                self._update_checksum(member)
        for name in [
            name
            for name in sorted(self.dead_or_left)
            if own - self.members[name].since >= self.terms.dead_retention
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
        """Who may have a facet."""
        return {name for owners in self.entry_owners.values() for name in owners}

    def _remember_former_address(self, address: Address) -> None:
        self.former_addresses[address] = None
        while len(self.former_addresses) > self.terms.max_former_addresses:
            self.former_addresses.popitem(last=False)

    # ---- choosing members -------------------------------------------------------------------------------

    def _pick_live_members(self, most: int, but: Name = "") -> list[KnownMember]:
        names = self.probe_order if len(self.probe_order) > 0 else list(self.members)
        found: list[KnownMember] = []
        for _ in range(4 * most):  # draws with repetition: the table need not be walked
            if not names or len(found) >= most:
                break
            member = self.members.get(self.rng.choice(names))
            if member is not None and member.up and member not in found and member.record.name != but:
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
        first: list[MemberRecord] | None = None,
        room: int = 600,
    ) -> None:
        words = list(first or ())
        if member.state is State.SUSPECT and not words:
            words.append(member.record)  # whom it concerns most hears it first
        self._send_datagram(member.address, kind, member.record.life, probe, target, words, room, member)

    def _send_datagram(
        self,
        address: Address,
        kind: Kind,
        life: int,
        probe: int = 0,
        target: Name = "",
        words: list[MemberRecord] | None = None,
        room: int = 600,
        member: KnownMember | None = None,
        news: bool = True,
        facets: list[StateEntry] | None = None,
        digest: list[int] | None = None,
        buckets: list[int] | None = None,
        held: list[HeldVersions] | None = None,
        body: bytes = b"",
    ) -> None:
        echo = kept = -1
        if member is not None and member.stamp >= 0 and member.stamp_life == life:
            echo, kept = member.stamp, int(self.now - member.stamp_received_at)
        words = words or []
        facets = facets or []
        if news and (self.member_updates or self.entry_updates):
            left = (
                room
                - FIXED_BYTES
                - encoded_size(self.me)
                - sum(encoded_size(word) for word in words)
                - len(target)
            )
            self._add_updates(words, facets, left)
        datagram = Datagram(
            kind, self.me, life, int(self.now), echo, max(0, kept), probe, target, words, facets,
            digest or [], buckets or [], held or [], body,
        )  # fmt: skip
        self.actions.append(Send(address, datagram))

    def _take_tokens(self, cost: int, floor: float = 0.0) -> bool:
        """Whether so many bytes may go beyond the probes; a token bucket, that what matters more may draw
        lower."""
        filled = self.tokens + (self.now - self.tokens_updated_at) * self.terms.bytes_s / 1000.0
        self.tokens, self.tokens_updated_at = min(self.terms.burst_bytes, filled), self.now
        if self.tokens - cost < floor:
            return False
        self.tokens -= cost
        return True

    def _add_updates(self, words: list[MemberRecord], facets: list[StateEntry], room: int) -> None:
        """Add news that fits whole, that told least first; members before facets."""
        rounds = self.terms.rounds(len(self.members) + 1)
        for _ in range(len(self.member_updates)):
            name, told = next(iter(self.member_updates.items()))
            word = self._record_of(name)
            doubtful = self.running_now < self.suppress_updates_until and name != self.me.name
            if word is None or told >= rounds or (doubtful and word.state == State.ALIVE):
                del self.member_updates[name]
                continue
            cost = encoded_size(word)
            if cost > room or not self._take_tokens(cost, -self.terms.burst_bytes / 4):
                return
            room -= cost
            if word not in words:
                words.append(word)
            self.member_updates[name] = told + 1
            self.member_updates.move_to_end(name)
            if len(words) >= len(self.member_updates):
                break
        passed = 0
        for _ in range(len(self.entry_updates)):
            key, told = next(iter(self.entry_updates.items()))
            facet = self._entry_of(*key)
            brief = facet is not None and facet.entry.max_age <= self.terms.short_lived_max_age
            most = min(rounds, self.terms.short_lived_rounds) if brief else rounds
            if facet is None or told >= most or not facet.is_valid(self.now):
                del self.entry_updates[key]
                continue
            aged = self._with_current_age(facet)
            cost = encoded_size(aged)
            # What soon counts no more draws lower: it would come too late behind a backlog of the rest.
            if brief:
                self.short_lived_handled_at = self.now
            kept = self.now - self.short_lived_handled_at < self.terms.short_lived_max_age
            rest = self.terms.burst_bytes / 2 if kept else 0.0
            if cost > room or not self._take_tokens(cost, -self.terms.burst_bytes / 8 if brief else rest):
                passed += 1
                if brief or not kept or passed > MAX_SKIPPED_ENTRIES:
                    return
                self.entry_updates.move_to_end(key)
                continue
            room -= cost
            facets.append(aged)
            self.entry_updates[key] = told + 1
            self.entry_updates.move_to_end(key)
            if len(facets) >= len(self.entry_updates):
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

    def _with_current_age(self, facet: StoredEntry) -> StateEntry:
        # Rounded up: an age may be too high, never too low.
        return msgspec.structs.replace(facet.entry, age=int(facet.age(self.now)) + 1)

    def _queue_member_update(self, member: KnownMember | None) -> None:
        """News of a member, or of this one: told first from now on."""
        name = self.me.name if member is None else member.record.name
        if member is not None:
            self._update_checksum(member)
        self.member_updates[name] = 0
        self.member_updates.move_to_end(name, last=False)
        while len(self.member_updates) > MAX_PENDING_UPDATES:
            self.member_updates.popitem()

    def _set_record(self, member: KnownMember, word: MemberRecord, by: Name, evidence: str) -> None:
        old = member.state
        if (
            word.generation != member.record.generation
            and self.name_by_address.get(member.address) == word.name
        ):
            del self.name_by_address[member.address]
        member.record = word
        self.live_records = None
        member.since = self.running_now
        self.name_by_address[member.address] = word.name
        (self.dead_or_left.discard if member.up else self.dead_or_left.add)(word.name)
        self._queue_member_update(member)
        if old is not member.state:
            self.actions.append(Changed(word, old, by, evidence))

    # ---- hearing ----------------------------------------------------------------------------------------

    def _receive(self, said: Datagram) -> None:
        word = said.sender
        if word.name == self.me.name:
            if word.life != self.me.life:
                self._resolve_name_conflict(word)
            return
        if self.departing:
            return
        self.last_received_at, self.isolated = self.running_now, False
        unknown = word.name not in self.members
        raised = self._apply_record(word, word.name, direct=True)
        member = self.members.get(word.name)
        if member is None:
            return  # no room for it, or it says itself that it is gone
        mine = member.record
        current = mine.life == word.life and mine.generation == word.generation
        if current:
            member.last_received_at = self.running_now
            member.stamp, member.stamp_received_at, member.stamp_life = said.stamp, self.now, word.life
        transit = self._transit_bound(said)
        for told in said.members:
            if told.name == self.me.name:
                self._apply_own_record(told)
            else:
                self._apply_record(told, word.name, direct=False, bulk=said.kind == Kind.MISSING)
        if transit is not None:
            for facet in said.entries:
                self._apply_entry(facet, transit, said.kind == Kind.MISSING)
        # It speaks, and is held for dead, gone or another's past: it has to hear so, to refute it.
        tell_back = [member.record] if not current or not member.up else []
        self._reply(said, member, tell_back)
        if (unknown or raised) and self.members.get(word.name) is member:
            self._send_digest(member)

    def _transit_bound(self, said: Datagram) -> float | None:
        """How long the datagram can have been on its way, at most, by this process's clock alone: from the
        sending of the stamp that it brings back, less the time the other kept that. None: not to be told."""
        if said.to != self.me.life or not 0 <= said.echo_delay <= MAX_ECHO_DELAY_MS or said.echo < 0:
            return None
        passed = self.now - said.echo - said.echo_delay * (1.0 - MAX_CLOCK_DRIFT)
        return passed if passed >= 0.0 else None  # below, the echo is a lie

    def _reply(self, said: Datagram, member: KnownMember, back: list[MemberRecord]) -> None:
        match said.kind:
            case Kind.PING:
                self._send_datagram(
                    member.address if not back else (said.sender.host, said.sender.port),
                    Kind.ACK, said.sender.life, said.probe, "", back or self._suspicion_of(member),
                    member=member,
                )  # fmt: skip
                return
            case Kind.ACK:
                self._receive_ack(said)
            case Kind.PING_REQUEST:
                self._relay_probe(said, member)
            case Kind.NACK:
                if self.probe is not None and said.probe == self.probe.number:
                    self.probe.nacks += 1
            case Kind.DIGEST:
                self._receive_digest(said, member)
            case Kind.VERSIONS:
                self._receive_versions(said, member)
            case Kind.PAYLOAD if said.to == self.me.life and not back:
                self.actions.append(Carried(member.record, said.body))
        if back:
            address = (said.sender.host, said.sender.port)
            self._send_datagram(address, Kind.GOSSIP, said.sender.life, 0, "", back, news=False)

    @staticmethod
    def _suspicion_of(member: KnownMember) -> list[MemberRecord]:
        return [member.record] if member.state is State.SUSPECT else []

    def _receive_ack(self, said: Datagram) -> None:
        probe = self.probe
        name = said.target or said.sender.name
        if probe is not None and said.probe == probe.number and name == probe.name:
            # An answer of another process at that address is no sign of life of the one that was meant.
            if said.target or said.sender.life == probe.life:
                self.probe = None
                self._lower_health_multiplier()
            return
        relay = self.relayed_probes.get(said.probe)
        if relay is not None and relay.target == said.sender.name and not said.target:
            del self.relayed_probes[said.probe]
            if (asker := self.members.get(relay.requester)) is not None:
                self._send_to_member(Kind.ACK, asker, probe=relay.probe_number, target=relay.target)

    def _relay_probe(self, said: Datagram, asker: KnownMember) -> None:
        target = self.members.get(said.target)
        if target is None or not target.up:
            self._send_to_member(Kind.NACK, asker, probe=said.probe, target=said.target)
            return
        self.last_probe_number += 1
        end = self.running_now + self.terms.probe_timeout * 0.8
        self.relayed_probes[self.last_probe_number] = RelayedProbe(
            asker.record.name, said.probe, said.target, end
        )
        if len(self.relayed_probes) > MAX_RELAYED_PROBES:
            self.relayed_probes.popitem(last=False)
        self._send_to_member(Kind.PING, target, probe=self.last_probe_number)

    def _apply_record(self, word: MemberRecord, by: Name, direct: bool, bulk: bool = False) -> bool:
        """Take a word on another member for what it is worth; whether it raised a dead one."""
        known = self.members.get(word.name)
        if known is None:
            self._add_member(word, by, direct, bulk)
            return False
        if word.generation > known.record.generation:
            old = known.state
            known.accusers.clear()
            known.entries.clear()
            known.stamp = -1
            self.suspects.discard(word.name)
            state = State(word.state)
            if state is State.SUSPECT:
                word = msgspec.structs.replace(word, state=int(State.ALIVE), by="")
            self._set_record(known, word, by, f"generation {word.generation}")
            if old is State.ALIVE and known.state is State.ALIVE:
                self.actions.append(Changed(word, old, by, f"began anew, generation {word.generation}"))
            return old is State.DEAD and known.state is State.ALIVE
        if word.generation < known.record.generation or word.life != known.record.life:
            self.counts["old-word"] += not direct
            return False
        if word.rank() <= known.record.rank():
            same = word.incarnation == known.record.incarnation
            if same and word.state == State.SUSPECT and known.state is State.SUSPECT and word.by:
                self._accuse(known, word.by, "")
            return False
        return self._apply_newer_record(known, word, by, direct)

    def _apply_newer_record(self, known: KnownMember, word: MemberRecord, by: Name, direct: bool) -> bool:
        old = known.state
        match State(word.state):
            case State.ALIVE:
                known.accusers.clear()
                self.suspects.discard(word.name)
                self._set_record(known, word, by, "speaks itself" if direct else "refuted")
                return old is State.DEAD
            case State.SUSPECT:
                if old < State.DEAD:
                    self._accept_suspicion(known, word)
            case State.DEAD:
                # One member's verdict is an accusation here: whoever is wronged has time to refute it.
                if old is State.DEAD:
                    known.record = word  # of a later incarnation, which was never heard of here
                elif old is State.ALIVE or word.incarnation > known.record.incarnation:
                    self._accept_suspicion(known, word)
                elif old is State.SUSPECT:
                    least = self.terms.suspicion_least / 2
                    if self.running_now - known.suspected_at >= least:
                        self._mark_dead(known, by, f"dead by the word of {word.by or by}")
                    else:
                        self._accuse(known, word.by or by, "")
            case State.LEFT:
                self.suspects.discard(word.name)
                known.entries.clear()
                self._set_record(known, word, by, "left by its own word")
        return False

    def _accept_suspicion(self, known: KnownMember, word: MemberRecord) -> None:
        by = word.by or "?"
        known.record = msgspec.structs.replace(known.record, incarnation=word.incarnation)
        self.live_records = None
        self._accuse(known, by, f"accused by {by}")

    def _add_member(self, word: MemberRecord, by: Name, direct: bool, bulk: bool) -> None:
        """One that is new here. Nobody is made known as dead: a forgotten one stays forgotten."""
        if word.state != State.ALIVE:
            return  # also a suspect: if it lives, its refutation makes it known
        if len(self.members) >= self.terms.most_members:
            self.counts["no-room"] += 1
            if self.now - self.table_full_reported_at >= TABLE_FULL_INTERVAL_MS:
                self.table_full_reported_at = self.now
                self.actions.append(TableFull(self.terms.most_members))
            return
        member = self.members[word.name] = KnownMember(word, self.running_now, self.running_now)
        self.names_by_bucket[bucket_of(word.name)][word.name] = None
        self.live_records = None
        self.name_by_address[member.address] = word.name
        self.probe_order.insert(self.rng.randint(0, len(self.probe_order)), word.name)
        self._update_checksum(member)
        if not bulk:  # others hold it already, or find out by comparing as this one did
            self._queue_member_update(member)
        evidence = "speaks itself" if direct else f"made known by {by}"
        self.actions.append(Changed(word, None, by, evidence))

    # ---- the own name -----------------------------------------------------------------------------------

    def _start_generation(self, generation: int) -> None:
        self.me = msgspec.structs.replace(self.me, generation=generation, incarnation=1)
        for kind, facet in self.own_entries.items():
            word = msgspec.structs.replace(facet.entry, generation=generation)
            self.own_entries[kind] = StoredEntry(word, facet.recorded_at)
            self._queue_entry_update(self.me.name, kind)
        self._queue_member_update(None)

    def _apply_own_record(self, word: MemberRecord) -> None:
        """What others say of this name."""
        if word.generation < self.me.generation:
            return
        if word.life == self.me.life:
            if word.state == State.LEFT and not self.departing:
                self._start_generation(word.generation + 1)
            elif word.state != State.ALIVE and word.incarnation >= self.me.incarnation:
                self.counts["refuted"] += 1
                self._raise_health_multiplier(1)
                self.me = msgspec.structs.replace(self.me, incarnation=word.incarnation + 1)
                self._queue_member_update(None)
            return
        same_place = (word.host, word.port) == (self.me.host, self.me.port)
        if self.joining or same_place or word.state >= State.DEAD:
            self._start_generation(word.generation + 1)  # a former life of this name
        if not same_place and word.state < State.DEAD:
            self._send_datagram((word.host, word.port), Kind.PING, 0)  # is anybody there who bears it too?

    def _resolve_name_conflict(self, word: MemberRecord) -> None:
        """Another process speaks under this name, by its own mouth. The newer one keeps the name."""
        if word.state >= State.DEAD:
            return
        if self.joining:
            self._start_generation(max(self.me.generation, word.generation) + 1)
        elif (word.generation, word.life) > (self.me.generation, self.me.life):
            self.silent = True
            self.actions.append(Displaced(word))
            return
        elif word.generation == self.me.generation:
            self._start_generation(self.me.generation + 1)
        self._send_datagram((word.host, word.port), Kind.PING, word.life)

    def _depart(self) -> None:
        if self.departing:
            return
        self.departing = True
        self.me = msgspec.structs.replace(self.me, state=int(State.LEFT))
        self.probe = None
        self.entry_updates.clear()
        self.member_updates.clear()
        for member in self._pick_live_members(DEPARTURE_FANOUT):
            self._send_datagram(member.address, Kind.GOSSIP, member.record.life, news=False)

    # ---- facets -----------------------------------------------------------------------------------------

    def _publish(self, event: Publish) -> None:
        terms = self.terms
        if len(event.body) > terms.max_entry_bytes or (
            event.kind not in self.own_entries and len(self.own_entries) >= terms.max_entries
        ):
            raise ValueError(f"facet {event.kind}: {len(event.body)} bytes, {len(self.own_entries)} facets")
        known = self.own_entries.get(event.kind)
        counter = 1 if known is None else known.entry.counter + 1
        word = StateEntry(
            self.me.name, self.me.generation, self.me.life, event.kind, counter, event.schema, 0, event.max_age,
            event.body,
        )  # fmt: skip
        self.own_entries[event.kind] = StoredEntry(word, self.now)
        self._queue_entry_update(self.me.name, event.kind)

    def _queue_entry_update(self, owner: Name, kind: int) -> None:
        self.entry_updates[(owner, kind)] = 0
        self.entry_updates.move_to_end((owner, kind), last=False)
        while len(self.entry_updates) > MAX_PENDING_UPDATES:
            self.entry_updates.popitem()

    def _apply_entry(self, word: StateEntry, transit: float, bulk: bool) -> None:
        """Newest by (generation, counter); kinds that this version does not know are kept and told on."""
        member = self.members.get(word.owner)
        if member is None or not member.up or len(word.body) > self.terms.max_entry_bytes:
            return
        if word.generation != member.record.generation or word.life != member.record.life:
            return  # of a former life, or of one that is still to be heard of
        known = member.entries.get(word.kind)
        if known is None and len(member.entries) >= self.terms.max_entries:
            return
        if known is not None and known.entry.version >= word.version:
            return
        facet = StoredEntry(msgspec.structs.replace(word, age=int(word.age + transit) + 1), self.now)
        if facet.age(self.now) >= word.max_age:
            return
        member.entries[word.kind] = facet
        self.entry_owners.setdefault(word.kind, {})[word.owner] = None
        self._update_checksum(member)
        if not bulk:
            self._queue_entry_update(word.owner, word.kind)
        self.actions.append(Learned(facet.entry))

    # ---- comparisons ------------------------------------------------------------------------------------

    def _checksum(self, word: MemberRecord, facets: dict[int, StoredEntry]) -> int:
        versions = sorted(self._counters(facets).items())
        return zlib.crc32(repr((word.name, word.generation, word.life, versions)).encode())

    def _counters(self, facets: dict[int, StoredEntry]) -> dict[int, int]:
        return {
            kind: one.entry.counter for kind, one in facets.items() if one.age(self.now) < one.entry.max_age
        }

    def _update_checksum(self, member: KnownMember) -> None:
        """Sums are of the living: the dead are told where sums differ, and each forgets them in its time."""
        counted = self._checksum(member.record, member.entries) if member.up else 0
        self.bucket_checksums[bucket_of(member.record.name)] ^= member.checksum ^ counted
        member.checksum = counted

    def _digest(self) -> list[int]:
        sums = list(self.bucket_checksums)
        sums[bucket_of(self.me.name)] ^= self._checksum(self.me, self.own_entries)
        return sums

    def _send_digest(self, member: KnownMember) -> None:
        if self._take_tokens(200):
            self._send_datagram(
                member.address,
                Kind.DIGEST,
                member.record.life,
                member=member,
                news=False,
                digest=self._digest(),
            )

    def _held_versions(self, name: Name) -> HeldVersions | None:
        if name == self.me.name:
            word, facets = self.me, self.own_entries
        elif (member := self.members.get(name)) is not None:
            word, facets = member.record, member.entries
        else:
            return None
        versions = self._counters(facets)
        return HeldVersions(word.name, word.generation, word.life, word.incarnation, word.state, versions)

    def _receive_digest(self, said: Datagram, member: KnownMember) -> None:
        """Answer with what is held of the buckets that differ, as many as fit whole."""
        if len(said.digest) != BUCKETS:
            return
        mine = self._digest()
        differ = [at for at in range(BUCKETS) if mine[at] != said.digest[at]]
        if not differ:
            self.joining = False
            return
        self.rng.shuffle(differ)
        room = DATAGRAM - FIXED_BYTES - encoded_size(self.me) - 2 * BUCKETS
        held: list[HeldVersions] = []
        told: list[int] = []
        for at in differ:
            entries = [
                one for name in self._names_in_bucket(at) if (one := self._held_versions(name)) is not None
            ]
            need = sum(encoded_size(one) for one in entries)
            if need > room and told:
                break
            while need > room:  # one bucket alone is too much: tell of some of it this time
                need -= encoded_size(entries.pop(self.rng.randrange(len(entries))))
            room -= need
            held += entries
            told.append(at)
        if self._take_tokens(DATAGRAM - room):
            self._send_datagram(
                member.address, Kind.VERSIONS, member.record.life, member=member, news=False, buckets=told,
                held=held,
            )  # fmt: skip

    def _names_in_bucket(self, at: int) -> list[Name]:
        """Who is in that bucket, this member among them."""
        if not 0 <= at < BUCKETS:
            return []
        me = [self.me.name] if bucket_of(self.me.name) == at else []
        return [*me, *self.names_by_bucket[at]]

    def _receive_versions(self, said: Datagram, member: KnownMember) -> None:
        """Send what the other lacks; ask, once, for what is lacking here (``target`` marks that answer)."""
        asked = said.target == ""
        lacking: list[HeldVersions] = []
        words: list[MemberRecord] = []
        facets: list[StateEntry] = []
        seen = set()
        for theirs in said.held:
            seen.add(theirs.name)
            own = self._held_versions(theirs.name)
            if own is None:
                if asked and theirs.state < State.DEAD:
                    lacking.append(HeldVersions(theirs.name, 0, 0, 0, 0, {}))
                continue
            if self._is_behind(theirs, own):
                self._collect_missing(theirs, words, facets)
            if asked and (
                self._is_behind(own, theirs) or (theirs.name == self.me.name and theirs.life != self.me.life)
            ):
                lacking.append(own)
        if asked:
            mine = {name for at in set(said.buckets) for name in self._names_in_bucket(at)}
            for name in sorted(mine - seen):
                self._collect_missing(HeldVersions(name, 0, 0, 0, 0, {}), words, facets)
        self.joining = False
        if lacking:
            self.sync_due = min(self.sync_due, self.running_now + SYNC_FOLLOW_UP_MS)
            room = DATAGRAM - FIXED_BYTES - encoded_size(self.me) - 8
            kept: list[HeldVersions] = []
            for one in lacking:
                room -= encoded_size(one)
                if room < 0:
                    break
                kept.append(one)
            if self._take_tokens(DATAGRAM - max(0, room)):
                self._send_datagram(
                    member.address, Kind.VERSIONS, member.record.life, target="?", member=member, news=False,
                    held=kept,
                )  # fmt: skip
        self._send_missing(member, words, facets)

    @staticmethod
    def _is_behind(here: HeldVersions, there: HeldVersions) -> bool:
        """Whether the one that holds ``here`` would learn from ``there``."""
        if there.generation != here.generation:
            return there.generation > here.generation
        if there.life != here.life:
            return False
        if (there.incarnation, there.state) > (here.incarnation, here.state):
            return True
        return any(counter > here.counters.get(kind, 0) for kind, counter in there.counters.items())

    def _collect_missing(
        self, theirs: HeldVersions, words: list[MemberRecord], facets: list[StateEntry]
    ) -> None:
        word = self._record_of(theirs.name)
        if word is None or (theirs.generation == 0 and word.state >= State.DEAD):
            return
        if word is not self.me and word.state < State.DEAD and self.running_now < self.suppress_updates_until:
            return
        words.append(word)
        held = self.own_entries if theirs.name == self.me.name else self.members[theirs.name].entries
        same = theirs.generation == word.generation and theirs.life == word.life
        for kind, facet in held.items():
            if facet.is_valid(self.now) and (not same or facet.entry.counter > theirs.counters.get(kind, 0)):
                facets.append(self._with_current_age(facet))

    def _send_missing(self, member: KnownMember, words: list[MemberRecord], facets: list[StateEntry]) -> None:
        """In as many datagrams as the bytes allow; what is left comes with a later comparison."""
        start = DATAGRAM - FIXED_BYTES - encoded_size(self.me)
        while words or facets:
            room = start
            part: list[MemberRecord] = []
            while words and (cost := encoded_size(words[0])) <= room:
                room -= cost
                part.append(words.pop(0))
            rest: list[StateEntry] = []
            while not words and facets and (cost := encoded_size(facets[0])) <= room:
                room -= cost
                rest.append(facets.pop(0))
            if not self._take_tokens(DATAGRAM - room):
                return
            self._send_datagram(
                member.address, Kind.MISSING, member.record.life, words=part, member=member, news=False,
                facets=rest,
            )  # fmt: skip
