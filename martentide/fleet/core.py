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
    Late,
    Learned,
    Publish,
    Send,
    TableFull,
)
from martentide.fleet.table import BUCKETS, Member, Probe, Relay, StoredEntry, bucket
from martentide.fleet.terms import DATAGRAM, Terms
from martentide.fleet.wire import (
    CHECK,
    HEAD,
    Datagram,
    Held,
    Kind,
    MemberRecord,
    Name,
    State,
    StateEntry,
    size,
)

QUICK_SYNC = 150.0  # ms to the next comparison after one that brought something
NEWCOMERS_GAP = 250.0  # ms between two tries at seeds of a member that has found nobody yet
MOST_RELAYS = 256  # probes on behalf of others that are under way
MOST_NEWS = 4_096  # pieces of news that wait to be told; older ones are made good by comparisons
MOST_PASSED = 16  # facets that one datagram passes over for want of bytes, to come to those that end soon
FULL_GAP = 60_000.0  # ms between two words of a table that is full
OLDEST_ECHO = 60_000  # ms a stamp may have been kept by the other
DRIFT = 0.001  # by which two clocks' paces may differ
FAREWELLS = 12  # members that are told of a departure at once
FRAME = HEAD + CHECK + 60  # bytes beside the sender's word and the entries: frame, figures, list heads
OVERHEAD = FRAME + 28 + 60  # of a datagram that only carries news: headers of IP and UDP, the own word


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
        self.random = random.Random(seed)
        self.terms, self.seeds = terms, tuple(one for one in seeds if one != address)
        life = life or self.random.getrandbits(62) + 1
        self.me = MemberRecord(name, 1, life, 1, State.ALIVE, zone, *address)
        self.members: dict[Name, Member] = {}
        self.gone: set[Name] = set()  # the dead and departed among them
        self.up: tuple[MemberRecord, ...] | None = ()  # the words of the others; None: to be read anew
        self.places: dict[Address, Name] = {}  # who was heard of there last
        self.sums = [0] * BUCKETS
        self.in_bucket: list[dict[Name, None]] = [{} for _ in range(BUCKETS)]  # of ``members``
        self.full_told = -1e18  # when the table's being full was last said
        self.past: OrderedDict[Address, None] = OrderedDict()  # of the dead that were forgotten
        self.facets: dict[int, StoredEntry] = {}
        self.owners: dict[int, dict[Name, None]] = {}  # who may have a facet of that kind
        self.news: OrderedDict[Name, int] = OrderedDict()  # and how often it was told
        self.facet_news: OrderedDict[tuple[Name, int], int] = OrderedDict()
        self.counts: Counter[str] = Counter()
        self.health = 0
        self.joining, self.silent, self.departing = True, False, False
        self.lost = 0.0  # ms that this process stood still
        self.now = now
        self.order: list[Name] = []
        self.turn = 0
        self.numbers = 0
        self.probe: Probe | None = None
        self.relays: OrderedDict[int, Relay] = OrderedDict()
        self.suspects: set[Name] = set()
        self.heard_own = now  # any datagram at all
        self.cut_off = False
        self.doubtful_until = 0.0
        spread = self.random.random()
        self.probe_due = now + spread * terms.period
        self.gossip_due: float | None = None
        self.brief_at = -1e18  # when a facet that ends soon was told last: bytes are kept for those
        self.sync_due = now + spread * terms.sync_gap
        self.reach_due = now + spread * 50.0
        self.tokens, self.filled = terms.burst_bytes, now
        self.actions: list[Action] = []

    # ---- what the host sees -----------------------------------------------------------------------------

    @property
    def due(self) -> float:
        """When the host has to call with Due, at the latest."""
        first = min(self.probe_due, self.sync_due, self.reach_due)
        if self.gossip_due is not None:
            first = min(first, self.gossip_due)
        if self.probe is not None:
            first = min(first, self.probe.helpers_due or self.probe.end)
        return first + self.lost + 0.001  # so that rounding never brings the host before its time

    def living(self) -> list[MemberRecord]:
        """The words of all that are not known to be dead or gone, this one's first."""
        if self.up is None:
            self.up = tuple(one.record for one in self.members.values() if one.up)
        return [self.me, *self.up]

    def state_entries_of(self, kind: int, now: float) -> Iterator[tuple[MemberRecord, StateEntry, float]]:
        """The facets of that kind that count, the owner's word, and their age."""
        owners = self.owners.get(kind, {})
        for name in list(owners):
            member = self.members.get(name)
            known = None if member is None else member.facets.get(kind)
            if member is None or known is None:
                del owners[name]
            elif member.up and known.counts(now):
                yield member.record, known.word, known.age(now)

    def handle(self, now: float, event: Event) -> list[Action]:
        self.actions = []
        self.now = now = max(now, self.now)
        if self.silent:
            return self.actions
        self._own_lateness(now)
        match event:
            case Heard(said):
                self._heard(said)
            case Publish():
                self._publish(event)
            case Depart():
                self._depart()
            case Carry(to, body):
                if not self.departing and (one := self.members.get(to)) is not None:
                    self._send_to(one.address, Kind.CARRY, one.record.life, member=one, news=False, body=body)
            case Due():
                pass
        self._run()
        return self.actions

    # ---- own clock and health ---------------------------------------------------------------------------

    @property
    def own(self) -> float:
        return self.now - self.lost

    def _own_lateness(self, now: float) -> None:
        """A process that was stopped, or kept from the processor, must not take its own deafness for others'
        silence: its waits stand still for as long as it did."""
        late = now - self.due
        if late < self.terms.stall:
            return
        self.counts["late"] += 1
        self.lost += late
        self._worse(1 if late < 1_000.0 else 2)
        self.probe = None  # whose answer may lie in the socket, or have been lost there
        self.actions.append(Late(late))
        if late > self.terms.suspicion_least / 2:
            # Whoever died meanwhile is alive in this table: newcomers must not be told so.
            self.doubtful_until = self.own + 2.0 * self.terms.suspicion_most
        if late > self.terms.kept_dead / 2:
            self._begin_anew()

    def _begin_anew(self) -> None:
        """After so long a stop what is held may be older than what others remember of the dead: none of it
        may be told again. The addresses are kept, as seeds."""
        for member in self.members.values():
            self._remember(member.address)
        self.members.clear()
        self.up = None
        self.gone.clear()
        self.places.clear()
        self.sums = [0] * BUCKETS
        self.in_bucket = [{} for _ in range(BUCKETS)]
        self.order.clear()
        self.suspects.clear()
        self.news.clear()
        self.facet_news.clear()
        self.joining = True
        self.reach_due = self.own

    def _worse(self, steps: int) -> None:
        self.health = min(self.terms.most_health, self.health + steps)

    def _better(self) -> None:
        self.health = max(0, self.health - 1)

    # ---- timers -----------------------------------------------------------------------------------------

    def _run(self) -> None:
        """All that is due by the own clock."""
        own = self.own
        if self.departing:
            self.probe_due = self.sync_due = self.reach_due = own + 1_000.0
        if self.probe is not None:
            self._follow_probe(self.probe, own)
        while self.relays:
            number, relay = next(iter(self.relays.items()))
            if relay.end > own:
                break
            del self.relays[number]
            if (asker := self.members.get(relay.asker)) is not None:
                self._send(Kind.NACK, asker, probe=relay.probe, target=relay.target)
        if own >= self.probe_due:
            self.probe_due = own + self.terms.period * (1.0 + self.health / 2.0)
            self._judge_suspects(own)
            self._next_probe(own)
        if own >= self.reach_due:
            self._reach(own)
        if own >= self.sync_due:
            self.sync_due = own + self.terms.sync_gap * self.random.uniform(0.8, 1.2)
            self._forget(own)
            if (other := self._any_living()) is not None:
                self._compare_with(other)
        self._gossip(own)

    def _gossip(self, own: float) -> None:
        """A round of news, if it is time for one, and the time of the next."""
        if self.gossip_due is not None and own >= self.gossip_due:
            self.gossip_due = None
            for member in self._some_living(self.terms.fanout):
                # A round for facets alone waits until there are bytes for what it is to carry.
                floor = -self.terms.burst_bytes / 4 if self.news else float(DATAGRAM)
                if self.facet_news and not self.news:
                    first = self._facet_of(*next(iter(self.facet_news)))
                    brief = first is not None and first.word.end <= self.terms.brief_end
                    floor = -self.terms.burst_bytes / 8 if brief else floor
                if (self.news or self.facet_news) and self._afford(OVERHEAD, floor):
                    self._send(Kind.NEWS, member, room=DATAGRAM)
        if (self.news or self.facet_news) and self.gossip_due is None and self.members:
            self.gossip_due = own + self.terms.gossip_gap

    # ---- probes -----------------------------------------------------------------------------------------

    def _next_probe(self, own: float) -> None:
        """The next in a round over all in random order: each is probed once in a round, by every member."""
        for _ in range(len(self.order) + 1):
            if self.turn >= len(self.order):
                self.order = [name for name, one in self.members.items() if one.up]
                self.random.shuffle(self.order)
                self.turn = 0
                if not self.order:
                    return
            name = self.order[self.turn]
            self.turn += 1
            member = self.members.get(name)
            if member is not None and member.up:
                break
        else:
            return
        self.numbers += 1
        slow = 1.0 + self.health / 2.0
        direct = own + self.terms.probe_timeout * slow
        # Ends before the next one begins, so that one is under way at a time.
        self.probe = Probe(
            name, member.record.life, self.numbers, direct, own + self.terms.period * slow * 0.97
        )
        self._send(Kind.PING, member, probe=self.numbers)

    def _follow_probe(self, probe: Probe, own: float) -> None:
        if probe.helpers_due is not None and own >= probe.helpers_due:
            probe.helpers_due = None
            for helper in self._some_living(self.terms.helpers, but=probe.name):
                probe.helpers += 1
                self._send(Kind.ASK_PING, helper, probe=probe.number, target=probe.name)
        if own < probe.end:
            return
        self.probe = None
        member = self.members.get(probe.name)
        if member is None or member.record.life != probe.life or not member.up:
            return
        if probe.helpers >= 2 and not probe.nacks:
            self._worse(1)  # nobody at all answers: it may well be this one that can't be heard
        self._accuse(member, self.me.name, "no answer to a probe, nor to those of helpers")
        if not self.cut_off and own - self.heard_own >= self.terms.cut_off:
            self._all_silent(own)

    def _all_silent(self, own: float) -> None:
        """Not one word from anybody: one by one, a round would take too long to say what is already clear."""
        self.cut_off = True
        for member in list(self.members.values()):
            if member.state is State.ALIVE:
                self._accuse(member, self.me.name, "nobody is heard here")

    def _accuse(self, member: Member, by: Name, evidence: str) -> None:
        if by in member.accusers and member.state is State.SUSPECT:
            return
        word = msgspec.structs.replace(member.record, state=int(State.SUSPECT), by=by)
        if member.state is State.SUSPECT:
            if len(member.accusers) < self.terms.accusers:
                member.accusers.add(by)
                member.record = word
                self.up = None
                self._tell(member)
            return
        member.accusers = {by}
        member.suspect_own = self.own
        self.suspects.add(word.name)
        self._change(member, word, by, evidence)

    def _judge_suspects(self, own: float) -> None:
        if not self.suspects:
            return
        count = len(self.living())
        for name in sorted(self.suspects):
            member = self.members.get(name)
            if member is None or member.state is not State.SUSPECT:
                self.suspects.discard(name)
                continue
            limit = self.terms.suspicion(count, len(member.accusers), self.health)
            if own - member.suspect_own >= limit:
                by = ",".join(sorted(member.accusers))
                self._bury(member, self.me.name, f"suspect for {own - member.suspect_own:.0f} ms, by {by}")

    def _bury(self, member: Member, by: Name, evidence: str) -> None:
        self.suspects.discard(member.record.name)
        member.facets.clear()
        self._change(
            member, msgspec.structs.replace(member.record, state=int(State.DEAD), by=by), by, evidence
        )

    # ---- reaching for those who are not there -------------------------------------------------------------

    def _reach(self, own: float) -> None:
        """One try at a seed that is nobody's address, at a dead member, or at the address of a past one: so
        that a newcomer finds the fleet, and the halves of one that was split each other."""
        alone = len(self.gone) == len(self.members)
        gap = NEWCOMERS_GAP if alone else self.terms.reach_gap
        self.reach_due = own + gap * self.random.uniform(0.8, 1.2)
        seeds = [one for one in self.seeds if not self._taken(one)]
        dead = [self.members[name] for name in sorted(self.gone) if self.members[name].state is State.DEAD]
        past = [one for one in self.past if not self._taken(one)]
        ways: list[Sequence[Address | Member]] = [way for way in (seeds, dead, past) if way]
        if not ways:
            return
        one: Address | Member = self.random.choice(self.random.choice(ways))
        if isinstance(one, Member):
            self._send(Kind.PING, one, first=[one.record])
        else:
            self._send_to(one, Kind.PING, 0)

    def _taken(self, address: Address) -> bool:
        """Whether a living member has the address."""
        member = self.members.get(self.places.get(address, ""))
        return member is not None and member.up and member.address == address

    def _forget(self, own: float) -> None:
        """What is past its end: facets, the dead, and addresses that are somebody's again."""
        for member in [self.members[name] for name in self._owners() if name in self.members]:
            old = [kind for kind, facet in member.facets.items() if facet.age(self.now) >= facet.word.end]
            for kind in old:
                del member.facets[kind]
            if old:
                self._recount(member)
        for name in [
            name for name in sorted(self.gone) if own - self.members[name].since >= self.terms.kept_dead
        ]:
            self.gone.discard(name)
            member = self.members.pop(name)
            del self.in_bucket[bucket(name)][name]
            if self.places.get(member.address) == name:
                del self.places[member.address]
            if member.state is State.DEAD:
                self._remember(member.address)
        for address in [one for one in self.past if one in self.places]:
            del self.past[address]

    def _owners(self) -> set[Name]:
        """Who may have a facet."""
        return {name for owners in self.owners.values() for name in owners}

    def _remember(self, address: Address) -> None:
        self.past[address] = None
        while len(self.past) > self.terms.past:
            self.past.popitem(last=False)

    # ---- choosing members -------------------------------------------------------------------------------

    def _some_living(self, most: int, but: Name = "") -> list[Member]:
        names = self.order if len(self.order) > 0 else list(self.members)
        found: list[Member] = []
        for _ in range(4 * most):  # draws with repetition: the table need not be walked
            if not names or len(found) >= most:
                break
            member = self.members.get(self.random.choice(names))
            if member is not None and member.up and member not in found and member.record.name != but:
                found.append(member)
        return found

    def _any_living(self) -> Member | None:
        found = self._some_living(1)
        return found[0] if found else None

    # ---- sending ----------------------------------------------------------------------------------------

    def _send(
        self,
        kind: Kind,
        member: Member,
        *,
        probe: int = 0,
        target: Name = "",
        first: list[MemberRecord] | None = None,
        room: int = 600,
    ) -> None:
        words = list(first or ())
        if member.state is State.SUSPECT and not words:
            words.append(member.record)  # whom it concerns most hears it first
        self._send_to(member.address, kind, member.record.life, probe, target, words, room, member)

    def _send_to(
        self,
        address: Address,
        kind: Kind,
        life: int,
        probe: int = 0,
        target: Name = "",
        words: list[MemberRecord] | None = None,
        room: int = 600,
        member: Member | None = None,
        news: bool = True,
        facets: list[StateEntry] | None = None,
        digest: list[int] | None = None,
        buckets: list[int] | None = None,
        held: list[Held] | None = None,
        body: bytes = b"",
    ) -> None:
        echo = kept = -1
        if member is not None and member.stamp >= 0 and member.stamp_life == life:
            echo, kept = member.stamp, int(self.now - member.stamp_at)
        words = words or []
        facets = facets or []
        if news and (self.news or self.facet_news):
            left = room - FRAME - size(self.me) - sum(size(word) for word in words) - len(target)
            self._fill(words, facets, left)
        datagram = Datagram(
            kind, self.me, life, int(self.now), echo, max(0, kept), probe, target, words, facets,
            digest or [], buckets or [], held or [], body,
        )  # fmt: skip
        self.actions.append(Send(address, datagram))

    def _afford(self, cost: int, floor: float = 0.0) -> bool:
        """Whether so many bytes may go beyond the probes; a token bucket, that what matters more may draw
        lower."""
        filled = self.tokens + (self.now - self.filled) * self.terms.bytes_s / 1000.0
        self.tokens, self.filled = min(self.terms.burst_bytes, filled), self.now
        if self.tokens - cost < floor:
            return False
        self.tokens -= cost
        return True

    def _fill(self, words: list[MemberRecord], facets: list[StateEntry], room: int) -> None:
        """Add news that fits whole, that told least first; members before facets."""
        rounds = self.terms.rounds(len(self.members) + 1)
        for _ in range(len(self.news)):
            name, told = next(iter(self.news.items()))
            word = self._word_of(name)
            doubtful = self.own < self.doubtful_until and name != self.me.name
            if word is None or told >= rounds or (doubtful and word.state == State.ALIVE):
                del self.news[name]
                continue
            cost = size(word)
            if cost > room or not self._afford(cost, -self.terms.burst_bytes / 4):
                return
            room -= cost
            if word not in words:
                words.append(word)
            self.news[name] = told + 1
            self.news.move_to_end(name)
            if len(words) >= len(self.news):
                break
        passed = 0
        for _ in range(len(self.facet_news)):
            key, told = next(iter(self.facet_news.items()))
            facet = self._facet_of(*key)
            brief = facet is not None and facet.word.end <= self.terms.brief_end
            most = min(rounds, self.terms.brief_rounds) if brief else rounds
            if facet is None or told >= most or not facet.counts(self.now):
                del self.facet_news[key]
                continue
            aged = self._aged(facet)
            cost = size(aged)
            # What soon counts no more draws lower: it would come too late behind a backlog of the rest.
            if brief:
                self.brief_at = self.now
            kept = self.now - self.brief_at < self.terms.brief_end
            rest = self.terms.burst_bytes / 2 if kept else 0.0
            if cost > room or not self._afford(cost, -self.terms.burst_bytes / 8 if brief else rest):
                passed += 1
                if brief or not kept or passed > MOST_PASSED:
                    return
                self.facet_news.move_to_end(key)
                continue
            room -= cost
            facets.append(aged)
            self.facet_news[key] = told + 1
            self.facet_news.move_to_end(key)
            if len(facets) >= len(self.facet_news):
                return

    def _word_of(self, name: Name) -> MemberRecord | None:
        if name == self.me.name:
            return self.me
        member = self.members.get(name)
        return None if member is None else member.record

    def _facet_of(self, owner: Name, kind: int) -> StoredEntry | None:
        if owner == self.me.name:
            return self.facets.get(kind)
        member = self.members.get(owner)
        return None if member is None else member.facets.get(kind)

    def _aged(self, facet: StoredEntry) -> StateEntry:
        # Rounded up: an age may be too high, never too low.
        return msgspec.structs.replace(facet.word, age=int(facet.age(self.now)) + 1)

    def _tell(self, member: Member | None) -> None:
        """News of a member, or of this one: told first from now on."""
        name = self.me.name if member is None else member.record.name
        if member is not None:
            self._recount(member)
        self.news[name] = 0
        self.news.move_to_end(name, last=False)
        while len(self.news) > MOST_NEWS:
            self.news.popitem()

    def _change(self, member: Member, word: MemberRecord, by: Name, evidence: str) -> None:
        old = member.state
        if word.generation != member.record.generation and self.places.get(member.address) == word.name:
            del self.places[member.address]
        member.record = word
        self.up = None
        member.since = self.own
        self.places[member.address] = word.name
        (self.gone.discard if member.up else self.gone.add)(word.name)
        self._tell(member)
        if old is not member.state:
            self.actions.append(Changed(word, old, by, evidence))

    # ---- hearing ----------------------------------------------------------------------------------------

    def _heard(self, said: Datagram) -> None:
        word = said.sender
        if word.name == self.me.name:
            if word.life != self.me.life:
                self._namesake(word)
            return
        if self.departing:
            return
        self.heard_own, self.cut_off = self.own, False
        unknown = word.name not in self.members
        raised = self._take(word, word.name, direct=True)
        member = self.members.get(word.name)
        if member is None:
            return  # no room for it, or it says itself that it is gone
        mine = member.record
        current = mine.life == word.life and mine.generation == word.generation
        if current:
            member.heard = self.own
            member.stamp, member.stamp_at, member.stamp_life = said.stamp, self.now, word.life
        transit = self._transit(said)
        for told in said.members:
            if told.name == self.me.name:
                self._about_me(told)
            else:
                self._take(told, word.name, direct=False, bulk=said.kind == Kind.LACKING)
        if transit is not None:
            for facet in said.facets:
                self._take_facet(facet, transit, said.kind == Kind.LACKING)
        # It speaks, and is held for dead, gone or another's past: it has to hear so, to refute it.
        tell_back = [member.record] if not current or not member.up else []
        self._answer(said, member, tell_back)
        if (unknown or raised) and self.members.get(word.name) is member:
            self._compare_with(member)

    def _transit(self, said: Datagram) -> float | None:
        """How long the datagram can have been on its way, at most, by this process's clock alone: from the
        sending of the stamp that it brings back, less the time the other kept that. None: not to be told."""
        if said.to != self.me.life or not 0 <= said.kept <= OLDEST_ECHO or said.echo < 0:
            return None
        passed = self.now - said.echo - said.kept * (1.0 - DRIFT)
        return passed if passed >= 0.0 else None  # below, the echo is a lie

    def _answer(self, said: Datagram, member: Member, back: list[MemberRecord]) -> None:
        match said.kind:
            case Kind.PING:
                self._send_to(
                    member.address if not back else (said.sender.host, said.sender.port),
                    Kind.ACK, said.sender.life, said.probe, "", back or self._suspicion_of(member),
                    member=member,
                )  # fmt: skip
                return
            case Kind.ACK:
                self._acked(said)
            case Kind.ASK_PING:
                self._help(said, member)
            case Kind.NACK:
                if self.probe is not None and said.probe == self.probe.number:
                    self.probe.nacks += 1
            case Kind.DIGEST:
                self._compare(said, member)
            case Kind.VERSIONS:
                self._exchange(said, member)
            case Kind.CARRY if said.to == self.me.life and not back:
                self.actions.append(Carried(member.record, said.body))
        if back:
            address = (said.sender.host, said.sender.port)
            self._send_to(address, Kind.NEWS, said.sender.life, 0, "", back, news=False)

    @staticmethod
    def _suspicion_of(member: Member) -> list[MemberRecord]:
        return [member.record] if member.state is State.SUSPECT else []

    def _acked(self, said: Datagram) -> None:
        probe = self.probe
        name = said.target or said.sender.name
        if probe is not None and said.probe == probe.number and name == probe.name:
            # An answer of another process at that address is no sign of life of the one that was meant.
            if said.target or said.sender.life == probe.life:
                self.probe = None
                self._better()
            return
        relay = self.relays.get(said.probe)
        if relay is not None and relay.target == said.sender.name and not said.target:
            del self.relays[said.probe]
            if (asker := self.members.get(relay.asker)) is not None:
                self._send(Kind.ACK, asker, probe=relay.probe, target=relay.target)

    def _help(self, said: Datagram, asker: Member) -> None:
        target = self.members.get(said.target)
        if target is None or not target.up:
            self._send(Kind.NACK, asker, probe=said.probe, target=said.target)
            return
        self.numbers += 1
        end = self.own + self.terms.probe_timeout * 0.8
        self.relays[self.numbers] = Relay(asker.record.name, said.probe, said.target, end)
        if len(self.relays) > MOST_RELAYS:
            self.relays.popitem(last=False)
        self._send(Kind.PING, target, probe=self.numbers)

    def _take(self, word: MemberRecord, by: Name, direct: bool, bulk: bool = False) -> bool:
        """Take a word on another member for what it is worth; whether it raised a dead one."""
        known = self.members.get(word.name)
        if known is None:
            self._meet(word, by, direct, bulk)
            return False
        if word.generation > known.record.generation:
            old = known.state
            known.accusers.clear()
            known.facets.clear()
            known.stamp = -1
            self.suspects.discard(word.name)
            state = State(word.state)
            if state is State.SUSPECT:
                word = msgspec.structs.replace(word, state=int(State.ALIVE), by="")
            self._change(known, word, by, f"generation {word.generation}")
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
        return self._better_word(known, word, by, direct)

    def _better_word(self, known: Member, word: MemberRecord, by: Name, direct: bool) -> bool:
        old = known.state
        match State(word.state):
            case State.ALIVE:
                known.accusers.clear()
                self.suspects.discard(word.name)
                self._change(known, word, by, "speaks itself" if direct else "refuted")
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
                    if self.own - known.suspect_own >= least:
                        self._bury(known, by, f"dead by the word of {word.by or by}")
                    else:
                        self._accuse(known, word.by or by, "")
            case State.LEFT:
                self.suspects.discard(word.name)
                known.facets.clear()
                self._change(known, word, by, "left by its own word")
        return False

    def _accept_suspicion(self, known: Member, word: MemberRecord) -> None:
        by = word.by or "?"
        known.record = msgspec.structs.replace(known.record, incarnation=word.incarnation)
        self.up = None
        self._accuse(known, by, f"accused by {by}")

    def _meet(self, word: MemberRecord, by: Name, direct: bool, bulk: bool) -> None:
        """One that is new here. Nobody is made known as dead: a forgotten one stays forgotten."""
        if word.state != State.ALIVE:
            return  # also a suspect: if it lives, its refutation makes it known
        if len(self.members) >= self.terms.most_members:
            self.counts["no-room"] += 1
            if self.now - self.full_told >= FULL_GAP:
                self.full_told = self.now
                self.actions.append(TableFull(self.terms.most_members))
            return
        member = self.members[word.name] = Member(word, self.own, self.own)
        self.in_bucket[bucket(word.name)][word.name] = None
        self.up = None
        self.places[member.address] = word.name
        self.order.insert(self.random.randint(0, len(self.order)), word.name)
        self._recount(member)
        if not bulk:  # others hold it already, or find out by comparing as this one did
            self._tell(member)
        evidence = "speaks itself" if direct else f"made known by {by}"
        self.actions.append(Changed(word, None, by, evidence))

    # ---- the own name -----------------------------------------------------------------------------------

    def _renew(self, generation: int) -> None:
        self.me = msgspec.structs.replace(self.me, generation=generation, incarnation=1)
        for kind, facet in self.facets.items():
            word = msgspec.structs.replace(facet.word, generation=generation)
            self.facets[kind] = StoredEntry(word, facet.at)
            self._tell_facet(self.me.name, kind)
        self._tell(None)

    def _about_me(self, word: MemberRecord) -> None:
        """What others say of this name."""
        if word.generation < self.me.generation:
            return
        if word.life == self.me.life:
            if word.state == State.LEFT and not self.departing:
                self._renew(word.generation + 1)
            elif word.state != State.ALIVE and word.incarnation >= self.me.incarnation:
                self.counts["refuted"] += 1
                self._worse(1)
                self.me = msgspec.structs.replace(self.me, incarnation=word.incarnation + 1)
                self._tell(None)
            return
        same_place = (word.host, word.port) == (self.me.host, self.me.port)
        if self.joining or same_place or word.state >= State.DEAD:
            self._renew(word.generation + 1)  # a former life of this name
        if not same_place and word.state < State.DEAD:
            self._send_to((word.host, word.port), Kind.PING, 0)  # is anybody there who bears it too?

    def _namesake(self, word: MemberRecord) -> None:
        """Another process speaks under this name, by its own mouth. The newer one keeps the name."""
        if word.state >= State.DEAD:
            return
        if self.joining:
            self._renew(max(self.me.generation, word.generation) + 1)
        elif (word.generation, word.life) > (self.me.generation, self.me.life):
            self.silent = True
            self.actions.append(Displaced(word))
            return
        elif word.generation == self.me.generation:
            self._renew(self.me.generation + 1)
        self._send_to((word.host, word.port), Kind.PING, word.life)

    def _depart(self) -> None:
        if self.departing:
            return
        self.departing = True
        self.me = msgspec.structs.replace(self.me, state=int(State.LEFT))
        self.probe = None
        self.facet_news.clear()
        self.news.clear()
        for member in self._some_living(FAREWELLS):
            self._send_to(member.address, Kind.NEWS, member.record.life, news=False)

    # ---- facets -----------------------------------------------------------------------------------------

    def _publish(self, event: Publish) -> None:
        terms = self.terms
        if len(event.body) > terms.most_body or (
            event.kind not in self.facets and len(self.facets) >= terms.most_facets
        ):
            raise ValueError(f"facet {event.kind}: {len(event.body)} bytes, {len(self.facets)} facets")
        known = self.facets.get(event.kind)
        counter = 1 if known is None else known.word.counter + 1
        word = StateEntry(
            self.me.name, self.me.generation, self.me.life, event.kind, counter, event.schema, 0, event.end,
            event.body,
        )  # fmt: skip
        self.facets[event.kind] = StoredEntry(word, self.now)
        self._tell_facet(self.me.name, event.kind)

    def _tell_facet(self, owner: Name, kind: int) -> None:
        self.facet_news[(owner, kind)] = 0
        self.facet_news.move_to_end((owner, kind), last=False)
        while len(self.facet_news) > MOST_NEWS:
            self.facet_news.popitem()

    def _take_facet(self, word: StateEntry, transit: float, bulk: bool) -> None:
        """Newest by (generation, counter); kinds that this version does not know are kept and told on."""
        member = self.members.get(word.owner)
        if member is None or not member.up or len(word.body) > self.terms.most_body:
            return
        if word.generation != member.record.generation or word.life != member.record.life:
            return  # of a former life, or of one that is still to be heard of
        known = member.facets.get(word.kind)
        if known is None and len(member.facets) >= self.terms.most_facets:
            return
        if known is not None and known.word.version >= word.version:
            return
        facet = StoredEntry(msgspec.structs.replace(word, age=int(word.age + transit) + 1), self.now)
        if facet.age(self.now) >= word.end:
            return
        member.facets[word.kind] = facet
        self.owners.setdefault(word.kind, {})[word.owner] = None
        self._recount(member)
        if not bulk:
            self._tell_facet(word.owner, word.kind)
        self.actions.append(Learned(facet.word))

    # ---- comparisons ------------------------------------------------------------------------------------

    def _sum(self, word: MemberRecord, facets: dict[int, StoredEntry]) -> int:
        versions = sorted(self._versions(facets).items())
        return zlib.crc32(repr((word.name, word.generation, word.life, versions)).encode())

    def _versions(self, facets: dict[int, StoredEntry]) -> dict[int, int]:
        return {kind: one.word.counter for kind, one in facets.items() if one.age(self.now) < one.word.end}

    def _recount(self, member: Member) -> None:
        """Sums are of the living: the dead are told where sums differ, and each forgets them in its time."""
        counted = self._sum(member.record, member.facets) if member.up else 0
        self.sums[bucket(member.record.name)] ^= member.counted ^ counted
        member.counted = counted

    def _sums(self) -> list[int]:
        sums = list(self.sums)
        sums[bucket(self.me.name)] ^= self._sum(self.me, self.facets)
        return sums

    def _compare_with(self, member: Member) -> None:
        if self._afford(200):
            self._send_to(
                member.address,
                Kind.DIGEST,
                member.record.life,
                member=member,
                news=False,
                digest=self._sums(),
            )

    def _hold(self, name: Name) -> Held | None:
        if name == self.me.name:
            word, facets = self.me, self.facets
        elif (member := self.members.get(name)) is not None:
            word, facets = member.record, member.facets
        else:
            return None
        versions = self._versions(facets)
        return Held(word.name, word.generation, word.life, word.incarnation, word.state, versions)

    def _compare(self, said: Datagram, member: Member) -> None:
        """Answer with what is held of the buckets that differ, as many as fit whole."""
        if len(said.digest) != BUCKETS:
            return
        mine = self._sums()
        differ = [at for at in range(BUCKETS) if mine[at] != said.digest[at]]
        if not differ:
            self.joining = False
            return
        self.random.shuffle(differ)
        room = DATAGRAM - FRAME - size(self.me) - 2 * BUCKETS
        held: list[Held] = []
        told: list[int] = []
        for at in differ:
            entries = [one for name in self._names_in(at) if (one := self._hold(name)) is not None]
            need = sum(size(one) for one in entries)
            if need > room and told:
                break
            while need > room:  # one bucket alone is too much: tell of some of it this time
                need -= size(entries.pop(self.random.randrange(len(entries))))
            room -= need
            held += entries
            told.append(at)
        if self._afford(DATAGRAM - room):
            self._send_to(
                member.address, Kind.VERSIONS, member.record.life, member=member, news=False, buckets=told,
                held=held,
            )  # fmt: skip

    def _names_in(self, at: int) -> list[Name]:
        """Who is in that bucket, this member among them."""
        if not 0 <= at < BUCKETS:
            return []
        me = [self.me.name] if bucket(self.me.name) == at else []
        return [*me, *self.in_bucket[at]]

    def _exchange(self, said: Datagram, member: Member) -> None:
        """Send what the other lacks; ask, once, for what is lacking here (``target`` marks that answer)."""
        asked = said.target == ""
        lacking: list[Held] = []
        words: list[MemberRecord] = []
        facets: list[StateEntry] = []
        seen = set()
        for theirs in said.held:
            seen.add(theirs.name)
            own = self._hold(theirs.name)
            if own is None:
                if asked and theirs.state < State.DEAD:
                    lacking.append(Held(theirs.name, 0, 0, 0, 0, {}))
                continue
            if self._lacks(theirs, own):
                self._bring(theirs, words, facets)
            if asked and (
                self._lacks(own, theirs) or (theirs.name == self.me.name and theirs.life != self.me.life)
            ):
                lacking.append(own)
        if asked:
            mine = {name for at in set(said.buckets) for name in self._names_in(at)}
            for name in sorted(mine - seen):
                self._bring(Held(name, 0, 0, 0, 0, {}), words, facets)
        self.joining = False
        if lacking:
            self.sync_due = min(self.sync_due, self.own + QUICK_SYNC)
            room = DATAGRAM - FRAME - size(self.me) - 8
            kept: list[Held] = []
            for one in lacking:
                room -= size(one)
                if room < 0:
                    break
                kept.append(one)
            if self._afford(DATAGRAM - max(0, room)):
                self._send_to(
                    member.address, Kind.VERSIONS, member.record.life, target="?", member=member, news=False,
                    held=kept,
                )  # fmt: skip
        self._send_whole(member, words, facets)

    @staticmethod
    def _lacks(here: Held, there: Held) -> bool:
        """Whether the one that holds ``here`` would learn from ``there``."""
        if there.generation != here.generation:
            return there.generation > here.generation
        if there.life != here.life:
            return False
        if (there.incarnation, there.state) > (here.incarnation, here.state):
            return True
        return any(counter > here.facets.get(kind, 0) for kind, counter in there.facets.items())

    def _bring(self, theirs: Held, words: list[MemberRecord], facets: list[StateEntry]) -> None:
        word = self._word_of(theirs.name)
        if word is None or (theirs.generation == 0 and word.state >= State.DEAD):
            return
        if word is not self.me and word.state < State.DEAD and self.own < self.doubtful_until:
            return
        words.append(word)
        held = self.facets if theirs.name == self.me.name else self.members[theirs.name].facets
        same = theirs.generation == word.generation and theirs.life == word.life
        for kind, facet in held.items():
            if facet.counts(self.now) and (not same or facet.word.counter > theirs.facets.get(kind, 0)):
                facets.append(self._aged(facet))

    def _send_whole(self, member: Member, words: list[MemberRecord], facets: list[StateEntry]) -> None:
        """In as many datagrams as the bytes allow; what is left comes with a later comparison."""
        start = DATAGRAM - FRAME - size(self.me)
        while words or facets:
            room = start
            part: list[MemberRecord] = []
            while words and (cost := size(words[0])) <= room:
                room -= cost
                part.append(words.pop(0))
            rest: list[StateEntry] = []
            while not words and facets and (cost := size(facets[0])) <= room:
                room -= cost
                rest.append(facets.pop(0))
            if not self._afford(DATAGRAM - room):
                return
            self._send_to(
                member.address, Kind.LACKING, member.record.life, words=part, member=member, news=False,
                facets=rest,
            )  # fmt: skip
