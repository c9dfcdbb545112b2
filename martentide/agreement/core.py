"""One member's part in agreeing on versions: it acts on one while its lease holds, and, where it is a voter,
has its part in the log and, as the leader, grants leases and brings versions into force.

Pure: events in, actions out; ``now`` is ms of the own monotonic clock.

    no-contradiction   at no time do two members act on rule sets that contradict each other
    one-order          all members that act on a version have the versions before it in one order
    not-lost           a version whose proposer heard that it is in force is never undone but by a later one

Why it holds. A member acts on the books that a grant brought, until its lease ends: ``lease`` ms from when it
*asked*, by its own clock, less the drift. A leader counts each lease from when it *granted*, so longer; it
brings a contradicting version into force only when every member whose lease may still hold has said that it
acts by meet already. It grants only while ``Raft.leads``, so none is granted by an old leader once a new one
may be; and a new leader, that knows no leases, waits for the longest first. Without a lease a member acts by
safe rules, which contradict no version.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass

import msgspec

from martentide.agreement import raft
from martentide.agreement.messages import (
    MOST_WHY,
    Ask,
    Ballot,
    Blank,
    Books,
    Force,
    Grant,
    Joint,
    News,
    Proposal,
    Replace,
    Verdict,
    Version,
    Word,
    read_books,
    read_command,
    read_word,
    write,
)
from martentide.agreement.raft import Name, Raft, Role, Saved
from martentide.agreement.ruleset import RuleSet, contradictions, meet, read_rules

MOST_KEPT, MOST_KEPT_BYTES = 8, 16_000  # versions before the one in force, for those who want one back
SEPARATOR = "#"  # in the id of a voter that took another's place
MOST_MET = 64  # voters, present and past
MOST_PAST = 16  # versions of which the books tell what became
MOST_LEASES = 4_096  # members that a leader grants leases to
MOST_REQUESTS = 64  # proposals whose verdict is still owed to somebody
MOST_RULES = 32_000  # bytes of a rule set: two, and what goes with them, fit a word
PROPOSAL_LIFE = 15_000.0  # ms after which a proposer is told that nothing is known of it
SAID_AGAIN = 500.0  # ms between two times that a proposal or a question of a blank voter is said
MOST_AHEAD = 10_000  # entries by which a word of news may be ahead: one that is further is a lie
CHECK_AGAIN = 1_000.0  # ms after which a host that said nothing is asked again
PREPARE_LIMIT = 10_000.0  # ms after which a version that some live member did not prepare is dropped
HINT_GAP = 20.0  # ms after which one that was named is asked
COMPACT = 24  # entries after which the log is put into a snapshot


@dataclass(frozen=True, slots=True)
class Terms:
    """ms. ``bound``: no two act on contradicting rules for longer, whatever a stop does between a look at the
    lease and the act; the lease is part of it, so that a member that is cut off is in time."""

    bound: float = 2_000.0
    drift: float = 0.001

    @property
    def lease(self) -> float:
        return 0.6 * self.bound

    @property
    def ask(self) -> float:
        """Between two questions for a lease."""
        return 0.15 * self.bound

    def raft(self) -> raft.Terms:
        return raft.Terms(election=0.2 * self.bound, beat=0.06 * self.bound, drift=self.drift)


# ---- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Heard:
    """A word of another member, whole; one that can't be read is passed over."""

    sender: Name
    body: bytes


@dataclass(frozen=True, slots=True)
class Due:
    """``due`` has come."""


@dataclass(frozen=True, slots=True)
class Propose:
    """Somebody proposes a version here; ``base`` -1: on whatever is in force."""

    request: str
    base: int
    rules: bytes
    by: str
    why: str


@dataclass(frozen=True, slots=True)
class Checked:
    """The host's word on a version that it was asked to check: "" or a no with key, found, expected."""

    number: int
    no: str


@dataclass(frozen=True, slots=True)
class ReplaceVoter:
    """Somebody wants the member ``new`` to vote in the place of the id ``old``."""

    request: str
    old: Name
    new: Name


Event = Heard | Due | Propose | Checked | ReplaceVoter

# ---- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Tell:
    """A word for another member."""

    to: Name
    word: Word


@dataclass(frozen=True, slots=True)
class Keep:
    """Make this durable before what follows is carried out."""

    kept: Kept


@dataclass(frozen=True, slots=True)
class Check:
    """Could this process run by that version? The host says so with ``Checked``."""

    version: Version


@dataclass(frozen=True, slots=True)
class Act:
    """Act by these rules from now on, until ``until`` by the own clock; None: by safe rules. ``number`` in
    force, ``joint`` the one that is prepared beside it (0: none)."""

    rules: RuleSet | None
    number: int
    joint: int
    until: float


@dataclass(frozen=True, slots=True)
class Answered:
    """What became of a proposal that was made here."""

    request: str
    done: bool
    number: int
    text: str


@dataclass(frozen=True, slots=True)
class Noted:
    """For the log: what changed, in words."""

    what: str
    detail: str


Action = Tell | Keep | Check | Act | Answered | Noted


@dataclass(slots=True)
class Leased:
    """What a leader knows of a member's lease; ``ends`` by its own clock, drift included."""

    life: int
    ends: float
    prepared: int


@dataclass(slots=True)
class Wanted:
    """What was asked for here, until its verdict is known."""

    proposal: Proposal | Replace
    since: float
    said: float


class Kept(msgspec.Struct, array_like=True, frozen=True):
    """A voter's disk: its part in the log, and the voters it has ever heard say something of it."""

    saved: Saved
    met: tuple[Name, ...]


NO_BOOKS = Books(0, Version(0, 0, b"", "", "nothing was proposed yet"), None, ())


class Agreement:
    """``voters`` are the names in the settings; ``kept`` a voter's books from its disk, None where there are
    none (or no disk)."""

    def __init__(
        self,
        name: Name,
        life: int,
        voters: Collection[Name],
        terms: Terms,
        seed: int,
        now: float,
        kept: Kept | None = None,
    ) -> None:
        self.name, self.life, self.terms = name, life, terms
        self.random = random.Random(seed)
        self.voters = tuple(voters)
        self.now = now
        self.raft: Raft | None = None
        self.met: set[Name] = set()  # blank voters' names that this one has heard say something of the log
        self.blanks: dict[Name, bool] = {}  # answers to the question whether this one ever had books
        self.books = NO_BOOKS
        self.leases: OrderedDict[Name, Leased] = OrderedDict()
        self.joint_at = -raft.FOREVER
        self.joining: Name = ""  # who becomes a voter once another has ceased to be one
        self.deciding = 0  # index of the last entry of the own; nothing is granted until it is committed
        self.leads_since: float | None = None  # of an entry of its own term that is committed
        self.wanted: dict[str, Wanted] = {}
        self.owed: OrderedDict[str, Name] = OrderedDict()  # who waits for a verdict, as the leader knows
        # As a member:
        self.known = NO_BOOKS  # by the grants
        self.known_rules: dict[int, RuleSet] = {}
        self.until = -raft.FOREVER
        self.asked = -raft.FOREVER  # stamp of the newest question that was answered
        self.prepared = self.refused = self.checking = 0
        self.checked_at = -raft.FOREVER
        self.no = ""
        self.leader: Name = ""
        self.hinted = -raft.FOREVER  # when another named the leader
        self.turn = self.random.randrange(max(1, len(self.voters)))
        self.ask_due = now + self.random.random() * terms.ask
        self.blank_due = now
        self.acts: tuple[int, int] | None = None  # number and joint by which it acts; None: safe rules
        self.actions: list[Action] = []
        if kept is not None:
            self.met.update(kept.met)
            self._vote(kept.saved)

    # ---- what the host sees -----------------------------------------------------------------------------

    @property
    def votes(self) -> bool:
        return self.raft is not None

    @property
    def due(self) -> float:
        first = self.ask_due
        if self.raft is not None:
            first = min(first, self.raft.due)
        elif self.name in self.voters:
            first = min(first, self.blank_due)
        if self.acts is not None:
            first = min(first, self.until)
        return first

    def holds(self, now: float) -> bool:
        """Whether the lease holds: to be asked again right before acting, since a process may be stopped."""
        return now < self.until

    def rules(self) -> RuleSet | None:
        """By which this member acts; None: safe rules, or that nothing was ever agreed on."""
        if self.acts is None:
            return None
        force, joint = self.known.force, self.known.joint if self.acts[1] else None
        if joint is None:
            return self._rules(force) if force.number else None
        if not force.number:
            return self._rules(joint)  # there is nothing to meet with: who prepared it acts by it
        return meet(self._rules(force), self._rules(joint))

    def handle(self, now: float, event: Event) -> list[Action]:
        self.actions = []
        self.now = now = max(now, self.now)
        self._lapse()
        match event:
            case Heard(sender, body):
                self._heard(sender, body)
            case Propose():
                self._propose(event)
            case Checked(number, no):
                self._checked(number, no)
            case ReplaceVoter(request, old, new):
                self._want(Replace(f"{self.name}/{self.life}/{request}", old, new))
            case Due():
                pass
        self._run()
        return self.actions

    def lose_books(self, why: str) -> None:
        """What was to be kept could not be: until the next start this one only learns, for what it would say
        as a voter it might have forgotten by then."""
        self.blanks[""] = True
        if self.raft is not None:
            self.raft, self.leads_since = None, None
            self.leases.clear()
            self.actions.append(Noted("votes-no-more", why))

    # ---- time -------------------------------------------------------------------------------------------

    def _run(self) -> None:
        if self.raft is not None and self.now >= self.raft.due:
            self._raft(raft.Due())
        if self.raft is None and self.name in self.voters and self.now >= self.blank_due:
            self._ask_whether_blank()
        if self.now >= self.ask_due:
            self.ask_due = self.now + self.terms.ask * self.random.uniform(0.8, 1.2)
            self._ask()
        self._lead()
        for request, one in list(self.wanted.items()):
            if self.now - one.since >= PROPOSAL_LIFE:
                del self.wanted[request]
                text = "no word of it came back; look with `fleet versions` before proposing it again"
                self.actions.append(Answered(request, False, 0, text))
            elif self.now - one.said >= SAID_AGAIN:
                one.said = self.now
                self._to_leader(one.proposal)

    def _lapse(self) -> None:
        """The lease is over, perhaps long since: a process that was stopped finds that out first."""
        if self.acts is not None and self.now >= self.until:
            self.acts = None
            self.actions.append(Noted("lease-over", "no leader of a majority is heard: safe rules"))
            self._act()

    # ---- a member ---------------------------------------------------------------------------------------

    def _ask(self) -> None:
        self._check()
        word = Ask(self.now, self.life, self.known.index, self.prepared, self.refused, self.no)
        self._to_leader(word)

    def _to_leader(self, word: Ask | Proposal | Replace) -> None:
        """To the leader if one is known, else to one voter after the other; the own one needs no network."""
        if not self.leader or self.now - max(self.asked, self.hinted) > 1.5 * self.terms.ask:
            self.turn += 1
            self.leader = self.voters[self.turn % len(self.voters)] if self.voters else ""
        if self.leader == self.name:
            self._take(self.name, word)
        elif self.leader:
            self.actions.append(Tell(self.leader, word))

    def _granted(self, sender: Name, grant: Grant) -> None:
        if grant.lease <= 0.0:
            self._hinted(grant.leader)
            return
        books = grant.books or self.known
        if not self.asked < grant.stamp <= self.now or books.index < self.known.index:
            return  # doubled, overtaken, never asked, or of a leader that lags
        if grant.index != books.index or grant.lease > self.terms.lease:
            return  # its books did not come along: nothing to act on
        if not self._usable(books):
            return
        self.asked, self.leader = grant.stamp, sender
        if books.index != self.known.index:
            self._learn(books)
        self.until = max(self.until, grant.stamp + grant.lease * (1.0 - self.terms.drift))
        if self.now < self.until:
            self._act()

    def _hinted(self, leader: Name) -> None:
        """A voter, or the own books, name the leader."""
        if leader and leader != self.leader:
            self.leader, self.hinted = leader, self.now
            self.ask_due = min(self.ask_due, self.now + HINT_GAP)

    def _usable(self, books: Books) -> bool:
        """Whether the rule sets in it can be read here."""
        try:
            for version in (books.force, books.joint):
                if version is not None and version.number:
                    self._rules(version)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return False
        return True

    def _rules(self, version: Version) -> RuleSet:
        if version.number not in self.known_rules:
            while len(self.known_rules) >= 4:
                del self.known_rules[min(self.known_rules)]
            self.known_rules[version.number] = read_rules(version.rules)
        return self.known_rules[version.number]

    def _learn(self, books: Books) -> None:
        joint = books.joint
        if joint is None or joint.number != self.prepared:
            self.prepared = 0
        if joint is None or joint.number != self.refused:
            self.refused, self.no = 0, ""
        old = self.known.force.number
        self.known = books
        if books.force.number != old:
            self.actions.append(Noted("in-force", f"version {books.force.number} by {books.force.by}"))
        self._check()

    def _check(self) -> None:
        """Ask the host whether it could run by the joint version; again, where no word of it comes."""
        joint = self.known.joint
        if joint is None or joint.number in (self.prepared, self.refused):
            return
        if joint.number != self.checking or self.now - self.checked_at >= CHECK_AGAIN:
            self.checking, self.checked_at = joint.number, self.now
            self.actions.append(Check(joint))

    def _checked(self, number: int, no: str) -> None:
        joint = self.known.joint
        self.checking = 0 if number == self.checking else self.checking
        if joint is None or joint.number != number:
            return
        if no:
            self.refused, self.no = number, no[:MOST_WHY]
        else:
            self.prepared = number
            self._act()  # by meet from now on; only then it is told
        self.ask_due = self.now

    def _act(self) -> None:
        acts: tuple[int, int] | None = None
        if self.now < self.until:
            acts = (self.known.force.number, self.prepared)
        if acts != self.acts or acts is None:
            self.acts = acts
            self.actions.append(Act(self.rules(), *(acts or (self.known.force.number, 0)), self.until))

    # ---- what comes in ----------------------------------------------------------------------------------

    def _heard(self, sender: Name, body: bytes) -> None:
        try:
            word = read_word(body)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return
        self._take(sender, word)

    def _take(self, sender: Name, word: Word) -> None:
        match word:
            case Ballot(body):
                self._ballot(sender, body)
            case Ask():
                self._asked_for(sender, word)
            case Grant():
                self._granted(sender, word)
            case Proposal():
                self._proposed(sender, word)
            case Verdict(request, done, number, text):
                if self.wanted.pop(request, None) is not None:
                    self.actions.append(Answered(request, done, number, text))
            case Blank():
                self._blank(sender, word)
            case Replace():
                self._replace(sender, word)
            case News(index) if self.known.index < index <= self.known.index + MOST_AHEAD:
                self.ask_due = min(self.ask_due, self.now)

    def _say(self, to: Name, word: Word) -> None:
        if to == self.name:
            self._take(self.name, word)
        else:
            self.actions.append(Tell(to, word))

    # ---- a voter ----------------------------------------------------------------------------------------

    def _vote(self, saved: Saved) -> None:
        self.raft = Raft(saved, self.terms.raft(), self.random.getrandbits(32), self.now)
        if saved.snapshot.state:
            self.books = read_books(saved.snapshot.state)

    def _ask_whether_blank(self) -> None:
        """A voter without books may be new, or one whose disk was lost: that one's votes were counted
        already, and it must not vote anew. So it begins only when every other voter says it never heard of
        it."""
        self.blank_due = self.now + SAID_AGAIN
        others = [one for one in self.voters if one != self.name]
        if any(self.blanks.values()):
            return  # it had books once: it only learns, until it is made a voter under a new name
        if all(one in self.blanks for one in others):
            self._vote(raft.fresh(self.name, self.voters))
            assert self.raft is not None
            self.actions += [self._keep(), Noted("votes", "no other voter ever heard of this one")]
            return
        for one in others:
            self.actions.append(Tell(one, Blank(self.life, False, False)))

    def _blank(self, sender: Name, word: Blank) -> None:
        if not word.answer:
            self.actions.append(Tell(sender, Blank(word.life, True, sender in self.met)))
        elif word.life == self.life and self.raft is None:
            if word.met and not self.blanks.get(sender):
                self.actions.append(
                    Noted("disk-lost", f"{sender} has heard this voter before: it learns and does not vote")
                )
            self.blanks[sender] = word.met

    def _ballot(self, sender: Name, body: bytes) -> None:
        try:
            message = raft.read_message(body)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return
        if name_of(message.sender) != sender or name_of(message.to) != self.name:
            return
        if self.raft is None and not self._begin_under(message):
            return
        assert self.raft is not None
        if name_of(message.sender) not in self.met and len(self.met) < MOST_MET:
            self.met.add(sender)
            self.actions.append(
                self._keep()
            )  # before its vote counts: should it lose its disk, it votes no more
        self._raft(raft.Told(message))

    def _begin_under(self, message: raft.Message) -> bool:
        """A leader's word to a new id of this member: it votes under that one, of which nobody counted a
        vote."""
        appended = message.say in (raft.Say.APPEND, raft.Say.SNAPSHOT)
        if not appended or SEPARATOR not in message.to or "" in self.blanks:
            return False
        self._vote(raft.fresh(message.to, ()))
        self.actions += [self._keep(), Noted("votes", f"as {message.to}, in the place of another")]
        return True

    def _keep(self) -> Keep:
        assert self.raft is not None
        return Keep(Kept(self.raft.saved(), tuple(sorted(self.met))))

    def _raft(self, event: raft.Event) -> None:
        assert self.raft is not None
        for action in self.raft.handle(self.now, event):
            match action:
                case raft.Send(message):
                    self.actions.append(Tell(name_of(message.to), Ballot(raft.write_message(message))))
                case raft.Save():
                    self.actions.append(self._keep())
                case raft.Apply(index, entry):
                    self._apply(index, entry)
                case raft.Install(snapshot):
                    self.books = read_books(snapshot.state) if snapshot.state else NO_BOOKS
                case raft.Led(leads, term):
                    self.leads_since, self.deciding, self.joining = None, 0, ""
                    self.leases.clear()
                    self.actions.append(Noted("leads" if leads else "leads-no-more", f"term {term}"))
        if self.books.index - self.raft.snapshot.index >= COMPACT:
            state = write(self.books)
            index = self.books.index
            for action in self.raft.handle(self.now, raft.Compact(index, state)):
                if isinstance(action, raft.Save):
                    self.actions.append(self._keep())

    def _apply(self, index: int, entry: raft.Entry) -> None:
        """One entry of the log: the same for every voter."""
        assert self.raft is not None
        if self.raft.role is Role.LEADER and entry.term == self.raft.term and self.leads_since is None:
            self.leads_since = self.now
        books = msgspec.structs.replace(self.books, index=index)
        if entry.kind == raft.Kind.ENTRY:
            match read_command(entry.body):
                case Joint(version):
                    free = books.joint is None and version.base == books.force.number
                    if free and version.number == books.last + 1:
                        books = msgspec.structs.replace(books, joint=version, last=version.number)
                        self.joint_at = self.now
                    else:
                        text = f"version {books.force.number} is in force"
                        self._settle(version, False, f"turned down: it builds on {version.base}, {text}")
                case Force(number, dropped) if books.joint is not None and books.joint.number == number:
                    joint = books.joint
                    past = (*books.past, (number, joint.by, joint.why, dropped or "in force"))[-MOST_PAST:]
                    if dropped:
                        books = msgspec.structs.replace(books, joint=None, past=past)
                        self._settle(joint, False, dropped)
                    else:
                        books = Books(index, joint, None, past, books.last, _kept(books))
                        self._settle(joint, True, f"version {number} is in force")
                case Force():
                    pass
        changed = (books.force, books.joint) != (self.books.force, self.books.joint)
        self.books = books
        if changed and self.raft.role is Role.LEADER:
            self.ask_due = self.now
            self.actions += [Tell(name, News(index)) for name in self.leases if name != self.name]

    def _settle(self, version: Version, done: bool, text: str) -> None:
        to = self.owed.pop(version.request, None)
        if to is not None:
            self._say(to, Verdict(version.request, done, version.number if done else 0, text))

    # ---- the leader -------------------------------------------------------------------------------------

    def _leads(self) -> bool:
        """Whether what this one grants or decides is the leader's word, right now."""
        return self.raft is not None and self.leads_since is not None and self.raft.leads(self.now)

    def _asked_for(self, sender: Name, ask: Ask) -> None:
        if not self._leads():
            leader = name_of(self.raft.leader) if self.raft is not None else ""
            if sender != self.name:
                hint = leader if leader != self.name else ""
                self.actions.append(Tell(sender, Grant(ask.stamp, 0.0, 0, hint)))
            elif leader != self.name:
                self._hinted(leader)
            return
        known = self.leases.get(sender)
        if known is None and len(self.leases) >= MOST_LEASES:
            return
        ends = self.now + self.terms.lease * (1.0 + self.terms.drift)
        # Two processes of one name (an upgrade, a restart): the one that is behind counts, until its lease
        # ends.
        behind = known is not None and known.life != ask.life and self.now < known.ends
        prepared = min(ask.prepared, known.prepared) if known is not None and behind else ask.prepared
        if behind and known is not None:
            ends = max(ends, known.ends)
        self.leases[sender] = Leased(ask.life, ends, prepared)
        self.leases.move_to_end(sender)
        if self.books.index < self.deciding:
            return  # what it was granted now would be out of force as soon as that is committed
        joint = self.books.joint
        if joint is not None and ask.refused == joint.number and ask.no:
            self._log(Force(joint.number, f"turned down by {sender}: {ask.no}"))
        books = None if ask.index == self.books.index else self.books
        self._say(sender, Grant(ask.stamp, self.terms.lease, self.books.index, self.name, books))

    def _lead(self) -> None:
        """Bring the joint version into force once nobody acts on what contradicts it."""
        while self.leases:
            name, one = next(iter(self.leases.items()))
            if one.ends > self.now:
                break
            del self.leases[name]
        if self.joining and self._leads() and not self._pending():
            assert self.raft is not None
            new, self.joining = f"{self.joining}{SEPARATOR}{self.raft.last}", ""
            self._raft(raft.ChangeVoters((*self.raft.voters, new)))
        joint = self.books.joint
        if joint is None or not self._leads() or self.leads_since is None or self._pending():
            return
        if self._harmless(joint):
            self._log(Force(joint.number))
            return
        waited = self.now - self.leads_since >= self.terms.lease * (1.0 + 2.0 * self.terms.drift)
        ready = all(one.prepared == joint.number or one.ends <= self.now for one in self.leases.values())
        if waited and ready:
            self._log(Force(joint.number))
        elif self.now - max(self.joint_at, self.leads_since) >= PREPARE_LIMIT:
            late = ", ".join(name for name, one in self.leases.items() if one.prepared != joint.number)
            self._log(Force(joint.number, f"not prepared within {PREPARE_LIMIT / 1_000:g} s by {late[:150]}"))

    def _harmless(self, joint: Version) -> bool:
        """A change that contradicts nothing skips the wait; the first of all may not: who acts by no version
        acts as it pleases, and that may contradict it."""
        if not self.books.force.number:
            return False
        return not contradictions(self._rules(self.books.force), self._rules(joint))

    def _pending(self) -> bool:
        """Whether entries wait to be committed: one at a time is decided."""
        assert self.raft is not None
        return self.raft.last > self.raft.commit

    def _log(self, command: Joint | Force) -> None:
        if self._leads() and not self._pending():
            assert self.raft is not None
            self.deciding = self.raft.last + 1
            self._raft(raft.Propose(write(command)))

    # ---- proposals --------------------------------------------------------------------------------------

    def _propose(self, event: Propose) -> None:
        if len(self.wanted) >= MOST_REQUESTS or len(event.rules) > MOST_RULES:
            text = f"too many proposals, or over {MOST_RULES} bytes ({len(event.rules)})"
            self.actions.append(Answered(event.request, False, 0, text))
            return
        request = f"{self.name}/{self.life}/{event.request}"
        proposal = Proposal(request, event.base, event.rules, event.by[:64], event.why[:MOST_WHY])
        self._want(proposal)

    def _want(self, word: Proposal | Replace) -> None:
        self.wanted[word.request] = Wanted(word, self.now, self.now)
        self._to_leader(word)

    def _proposed(self, sender: Name, proposal: Proposal) -> None:
        """Said again until its verdict comes, so it is taken once by its request."""
        if not self._leads():
            return
        force, joint = self.books.force, self.books.joint
        for version in (force, joint):
            if version is not None and version.request == proposal.request:
                if version is force:
                    text = f"version {force.number} is in force"
                    self._say(sender, Verdict(proposal.request, True, force.number, text))
                else:
                    self.owed[proposal.request] = sender
                return
        no = self._turned_down(proposal)
        if no:
            self._say(sender, Verdict(proposal.request, False, 0, no))
        elif not self._pending():
            self.owed[proposal.request] = sender
            while len(self.owed) > MOST_REQUESTS:
                self.owed.popitem(last=False)
            version = Version(
                self.books.last + 1, force.number, proposal.rules, proposal.by, proposal.why, proposal.request
            )
            self._log(Joint(version))

    def _replace(self, sender: Name, word: Replace) -> None:
        """First one voter less, then one more: each a change of one, after the other is committed."""
        if not self._leads() or self._pending() or self.joining:
            return
        assert self.raft is not None
        voters = self.raft.voters
        if any(name_of(one) == word.new for one in voters if one != word.old):
            text = f"{word.new} votes already; voters: {', '.join(voters)}"
            self._say(sender, Verdict(word.request, word.old not in voters, 0, text))
        elif word.old in voters and len(voters) > 1 and word.old != self.raft.me:
            self.joining = word.new
            self._raft(raft.ChangeVoters(tuple(one for one in voters if one != word.old)))
        elif word.old in voters:
            text = f"{word.old} leads: ask again once another does"
            self._say(sender, Verdict(word.request, False, 0, text))
        else:
            self.joining = word.new

    def _turned_down(self, proposal: Proposal) -> str:
        force, joint = self.books.force, self.books.joint
        try:
            rules = read_rules(proposal.rules)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return f"it can't be read here: {error}"
        if proposal.base not in (-1, force.number):
            text = f"it builds on version {proposal.base}, version {force.number} is in force"
            if force.number:
                apart = contradictions(rules, self._rules(force))
                text += "; it differs in: " + ("; ".join(apart)[:600] or "nothing that contradicts it")
            return text
        if joint is not None:
            return f"version {joint.number} by {joint.by} is being brought into force: propose it again then"
        return ""


def _kept(books: Books) -> tuple[Version, ...]:
    """The versions to keep once the one in force is one of the past: the newest that there is room for."""
    kept = [*books.kept, books.force] if books.force.number else []
    while len(kept) > MOST_KEPT or sum(len(one.rules) for one in kept) > MOST_KEPT_BYTES:
        del kept[0]
    return tuple(kept)


def name_of(voter: Name) -> Name:
    """The member that bears the id."""
    return voter.partition(SEPARATOR)[0]
