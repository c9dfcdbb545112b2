"""The shell of agreement: words travel as the fleet's datagrams, a voter's books go to disk in a thread, and
what is agreed on reaches the decisions through the dispatcher. Part of the member's actor, which alone calls
it."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import json
from collections import OrderedDict, deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import msgspec

from martentide.agreement import core as agreement
from martentide.agreement.core import (
    SEPARATOR,
    Act,
    Action,
    Agreement,
    Answered,
    Check,
    Checked,
    Due,
    Heard,
    Keep,
    Noted,
    Propose,
    ReplaceVoter,
    Tell,
    Terms,
)
from martentide.agreement.fragments import Joiner, Splitter
from martentide.agreement.lists import STATES, Book, Record
from martentide.agreement.messages import (
    AGREED,
    FACET,
    FACET_END,
    FACET_SCHEMA,
    OWN,
    SAFE,
    TheList,
    Told,
    WantList,
    Word,
    read_told,
    read_word,
    write,
    write_told,
)
from martentide.agreement.overlay import ANSWERED, InForce, check
from martentide.agreement.ruleset import RuleError, RuleSet, plain, read_rules, rules_from, write_rules
from martentide.agreement.store import recover, write_kept
from martentide.codec.discovery import Listed, Notice
from martentide.fleet.core import Membership
from martentide.fleet.events import Publish
from martentide.interface import (
    AttemptEnded,
    Ending,
    Event,
    ProbeEnded,
    ServerEntry,
    ServerState,
    Stands,
)
from martentide.learned.files import load, save
from martentide.lifecycle.calls import VERSIONS, VOTERS
from martentide.net.close_reason import LOG, log_event
from martentide.net.dispatcher import Dispatcher, Probing
from martentide.net.learned import DiskFolder

if TYPE_CHECKING:
    from martentide.extras import AgreementPart

MOST_QUEUED = 1_024  # actions that wait for the disk; a voter whose disk hangs says nothing meanwhile
MOST_VERDICTS = 64
OPEN_LIMIT = 4.0  # s for a folder to be opened, locked and read; later the voter only learns
LOCK_TRIES, LOCK_GAP = 60, 0.05  # and s between two tries at a folder that a predecessor still holds
LIST_GAP = 500.0  # ms between two questions for another member's list
SAFE_LOOK = 0.25  # s between two looks at which servers answered, under safe rules
REFRESH = 0.7  # of ANSWERED: a server that was not heard of for so long is tested, under safe rules


class AgreementActor:
    """One member's agreement, from ``begin`` to ``end``; ``carry`` sends a part of a word to a member."""

    def __init__(
        self,
        part: AgreementPart,
        name: str,
        dispatcher: Dispatcher,
        carry: Callable[[str, bytes], None],
        known_members: Callable[[], Membership | None],
    ) -> None:
        self.part, self.name, self.dispatcher, self.carry = part, name, dispatcher, carry
        self.known_members = known_members
        self.loop = asyncio.get_running_loop()
        self.core: Agreement | None = None
        self.splitter, self.joiner = Splitter(), Joiner()
        self.folder: DiskFolder | None = None
        self.disk: ThreadPoolExecutor | None = None
        self.queued: deque[Action] = deque()
        self.writing = False
        self.timer: asyncio.TimerHandle | None = None
        self.looking: asyncio.TimerHandle | None = None
        self.acts = InForce(safe=True)
        self.last: RuleSet | None = None
        self.verdicts: OrderedDict[str, dict[str, Any]] = OrderedDict()
        self.over = False
        self.numbers = 0
        self.handling = False
        self.book, self.mine = Book(), set[str]()  # servers by name that the own board told of
        self.joining = False
        self.since = self._now()  # of what it acts by
        self.told: Told | None = None
        self.told_at = self.wanted_at = -1e9

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    # ---- life -------------------------------------------------------------------------------------------

    async def begin(self, life: int, seed: int) -> None:
        """Read the books, where there are any; until the first lease the member acts by safe rules."""
        self.dispatcher.event_observers.append(self._overhear)
        self.dispatcher.before_each_item, self.dispatcher.merge_lists = self._still, self._join
        self._join(Notice(0, False, tuple(self.dispatcher.listed.values())))
        self._enter(InForce(safe=True))
        kept, why = None, "no folder is set: what a voter knows ends with its process"
        if self.part.folder:  # also one that only learns: it may be made a voter, or have been
            self.disk = ThreadPoolExecutor(1, "agreement")
            opening = self.loop.run_in_executor(self.disk, self._open)
            done, _ = await asyncio.wait([opening], timeout=OPEN_LIMIT)
            kept, why = opening.result() if done else (None, f"{self.part.folder}: the disk hangs")
            if self.over:
                if self.folder is not None:
                    self.folder.close()
                return
        if why and self.name in self.part.voters:
            LOG.warning("agreement-without-books", detail=repr(why))
        terms = Terms(bound=self.part.bound_ms)
        self.core = Agreement(self.name, life, self.part.voters, terms, seed, self._now(), kept)
        if self.part.folder and self.folder is None:
            self.core.lose_books(why)  # what it said could not be kept
        log_event(
            "agreement-begins", voters=",".join(self.part.voters), votes=self.core.votes,
            disk=self.folder is not None, bound_ms=self.part.bound_ms,
        )  # fmt: skip
        self._arm()

    def _open(self) -> tuple[agreement.Kept | None, str]:
        """In the disk's thread."""
        import time

        for attempt in range(LOCK_TRIES):
            try:
                self.folder = DiskFolder(self.part.folder)
                return recover(load(self.folder), self.name)
            except BlockingIOError as error:
                if attempt == LOCK_TRIES - 1:
                    return None, f"{self.part.folder}: {error.strerror}"
                time.sleep(LOCK_GAP)
            except OSError as error:
                return None, f"{self.part.folder}: {error.strerror or error}"
        return None, ""

    def end(self) -> None:
        """No word any more, and the folder is let go of."""
        self.over = True
        for timer in (self.timer, self.looking):
            if timer is not None:
                timer.cancel()
        if self._overhear in self.dispatcher.event_observers:
            self.dispatcher.event_observers.remove(self._overhear)
        self.dispatcher.before_each_item = self.dispatcher.merge_lists = None
        self.core = None
        self.queued.clear()
        if self.disk is not None:
            if self.folder is not None:
                self.disk.submit(self.folder.close)
            self.disk.shutdown(wait=False)
        self._enter(InForce(safe=True, last=self.last))

    # ---- events -----------------------------------------------------------------------------------------

    def heard(self, sender: str, part: bytes) -> None:
        word = self.joiner.take(self._now(), sender, part)
        if word is None:
            return
        try:
            said = read_word(word)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return
        match said:
            case WantList():
                self._tell(sender, TheList(self.book.all()))
            case TheList(records):
                self._hear_list(records)
            case _:
                self.feed(Heard(sender, word))

    def _tell(self, to: str, word: Word) -> None:
        try:
            for one in self.splitter.split(write(word)):
                self.carry(to, one)
        except ValueError as error:
            LOG.error("agreement-too-long", detail=repr(str(error)))

    def feed(self, event: agreement.Event) -> None:
        if self.core is None:
            return
        self.handling = True
        try:
            actions = self.core.handle(self._now(), event)
        finally:
            self.handling = False
        if len(self.queued) + len(actions) > MOST_QUEUED:
            self._lose_books(f"the disk hangs: {MOST_QUEUED} actions wait for it")
        self.queued += actions
        self._drain()
        self._arm()

    def _drain(self) -> None:
        """Carry out what is queued, in its order, up to what has to be on disk first."""
        while self.queued and not self.writing:
            action = self.queued.popleft()
            if isinstance(action, Keep):
                if self.disk is None or self.folder is None:
                    continue  # without a disk: said at the start
                self.writing = True
                job = functools.partial(save, self.folder, write_kept(action.kept))
                self.loop.run_in_executor(self.disk, job).add_done_callback(self._written)
            else:
                self._act(action)

    def _written(self, done: asyncio.Future[None]) -> None:
        self.writing = False
        if done.cancelled() or self.core is None:
            return
        if (error := done.exception()) is not None:
            self._lose_books(str(error))
        self._drain()

    def _lose_books(self, why: str) -> None:
        """What waits rests on what could not be kept: none of it is said."""
        assert self.core is not None
        LOG.error("agreement-not-kept", detail=repr(why))
        self.queued = deque(one for one in self.queued if isinstance(one, (Act, Noted)))
        self.core.lose_books(why)

    def _arm(self) -> None:
        if self.core is None:
            return
        due = self.core.due / 1000.0
        if self.timer is not None:
            if self.timer.when() <= due + 0.001 and not self.timer.cancelled():
                return
            self.timer.cancel()
        self.timer = self.loop.call_at(max(due, self.loop.time() + 0.002), self._turn)

    def _turn(self) -> None:
        self.timer = None
        self.feed(Due())

    # ---- actions ----------------------------------------------------------------------------------------

    def _act(self, action: Action) -> None:
        match action:
            case Tell(to, word):
                self._tell(to, word)
            case Check(version):
                self.loop.call_soon(self.feed, Checked(version.number, self._check(version.rules)))
            case Act(rules, number, joint, until):
                safe = self._now() >= until
                self.last = rules or self.last
                self._enter(InForce(rules, safe, self.last))
                log_event("fleet-version", version=number, joint=joint, rules="safe" if safe else "agreed")
            case Answered(request, done, number, text):
                self._remember(request, {"done": done, "number": number, "text": text})
            case Noted(what, detail):
                log_event(f"fleet-{what}", detail=repr(detail))

    def _check(self, rules: bytes) -> str:
        try:
            return check(read_rules(rules), self.dispatcher.local_settings)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return f"it can't be read here: {error}"

    def _enter(self, in_force: InForce) -> None:
        if (in_force.safe, in_force.rules) != (self.acts.safe, self.acts.rules):
            self.since = self._now()
        self.acts = in_force
        self.dispatcher.apply_agreed_rules(in_force)
        if in_force.safe and self.looking is None and self.core is not None:
            self.looking = self.loop.call_later(SAFE_LOOK, self._look_safe)

    def _still(self) -> None:
        """Runs right before the decisions hear of anything: a process that was stopped may have its lease end
        behind it, with calls in its mailbox."""
        core = self.core
        if core is None or self.handling or self.acts.safe or core.holds(self._now()):
            return
        self.feed(Due())
        if not self.acts.safe:  # what follows waits for the disk; safe rules do not
            self._enter(InForce(safe=True, last=self.last))

    def _overhear(self, at: float, event: Event) -> None:
        """In the dispatcher's turn: which servers answered, for safe rules."""
        match event:
            case Stands(server=server):
                self.dispatcher.last_answer_at[server] = self.loop.time()
            case (
                ProbeEnded(server, Ending.DELIVERED)
                | AttemptEnded(server=server, ending=Ending.DELIVERED | Ending.FULL)
            ):
                self.dispatcher.last_answer_at[server] = self.loop.time()
            case _:
                return
        if len(self.dispatcher.last_answer_at) > 2 * len(self.dispatcher.servers) + 64:
            for name in [one for one in self.dispatcher.last_answer_at if one not in self.dispatcher.servers]:
                del self.dispatcher.last_answer_at[name]

    def _look_safe(self) -> None:
        """Under safe rules: test what was not heard of, and use what answered."""
        self.looking = None
        if self.core is None or not self.acts.safe:
            return
        now = self.loop.time()
        for name, actor in self.dispatcher.servers.items():
            if (now - self.dispatcher.last_answer_at.get(name, -1e9)) * 1000.0 > REFRESH * ANSWERED:
                actor.post(Probing())
        self.dispatcher.refresh_listed_states()
        self.looking = self.loop.call_later(SAFE_LOOK, self._look_safe)

    # ---- lists ------------------------------------------------------------------------------------------

    def _join(self, notice: Notice) -> Notice:
        """In the dispatcher's turn: what the own board tells, joined with what others heard. A state that
        goes back is none; a whole list takes away only what this board told of itself."""
        if self.joining:
            return notice
        records = [record_of(listed) for listed in notice.servers]
        if notice.whole:
            new = self.book.whole(records, self.mine)
        else:
            new = [one for record in records if (one := self.book.hear(record)) is not None]
        self.mine.update(record.name for record in records)
        if len(self.mine) > 2 * len(self.book.servers) + 64:
            self.mine &= set(self.book.servers)
        return Notice(notice.number, False, tuple(listed_of(one) for one in new))

    def _hear_list(self, records: list[Record]) -> None:
        new = [one for record in records if (one := self.book.hear(record)) is not None]
        if new:
            log_event("fleet-list", changes=len(new), digest=f"{self.book.digest():08x}")
            self.joining = True
            try:
                self.dispatcher.apply_list(Notice(0, False, tuple(map(self._listed, new))))
            finally:
                self.joining = False

    def _listed(self, record: Record) -> Listed:
        """Another's word on a start that is known here changes its state only: each is told its own way
        there."""
        found, known = listed_of(record), self.dispatcher.listed.get(record.name)
        if known is not None and record_of(known).start == record.start:
            return dataclasses.replace(found, host=known.host, port=known.port)
        return found

    def look(self, core: Membership) -> list[Publish]:
        """With each look of the member: what others tell of their lists, and the own word where it is new."""
        if self.core is None or core.silent:
            return []
        now, digest = self._now(), self.book.digest()
        apart = []
        for word, facet, _ in core.state_entries_of(FACET, now):
            try:
                told = read_told(facet.body)
            except (msgspec.DecodeError, msgspec.ValidationError):
                continue
            if told.digest != digest and word.name != self.name:
                self._hear_list(told.changes)
                apart.append(word.name)
        digest = self.book.digest()
        if apart and now - self.wanted_at >= LIST_GAP:
            self.wanted_at = now  # one at a time: what it lacks may be with any of them
            self._tell(self.splitter.choose(apart), WantList(digest))
        acts = SAFE if self.acts.safe else OWN if self.acts.rules is None else AGREED
        known = self.core.known
        told = Told(
            known.force.number, self.core.prepared, acts, 0, self.core.no[:80], digest, self.book.told()
        )
        if told == self.told and now - self.told_at < FACET_END / 3.0:
            return []
        self.told, self.told_at = told, now
        body = write_told(msgspec.structs.replace(told, since=int(now - self.since)))
        return [Publish(FACET, FACET_SCHEMA, FACET_END, body)]

    # ---- people -----------------------------------------------------------------------------------------

    def _remember(self, request: str, verdict: dict[str, Any]) -> None:
        self.verdicts[request.rpartition("/")[2]] = verdict
        while len(self.verdicts) > MOST_VERDICTS:
            self.verdicts.popitem(last=False)

    def ask(self, path: str, body: bytes) -> tuple[int, str]:
        """The operator's calls about versions: status and text."""
        if self.core is None:
            return 503, "not a member yet"
        if path == VERSIONS:
            return 200, self.status()
        if path == VOTERS:
            return self._replace(body)
        try:
            said = json.loads(body)
            rules = rules_from(said.get("rules"), str(said.get("file") or "rules"))
            base, by, why = int(said.get("base", -1)), str(said.get("by", "")), str(said.get("why", ""))
        except (ValueError, AttributeError, TypeError) as error:
            return 400, f"expected JSON with rules, base, by, why: {error}"
        except RuleError as error:
            return 400, str(error)
        if (no := check(rules, self.dispatcher.local_settings)) != "":
            return 400, f"{said.get('file') or 'rules'}: {no}"
        return 202, self.propose(rules, base, by, why)

    def _replace(self, body: bytes) -> tuple[int, str]:
        try:
            said = json.loads(body)
            old, new = str(said["old"]), str(said["new"])
        except (ValueError, KeyError, TypeError) as error:
            return 400, f"expected JSON with old and new: {error!r}"
        if not 1 <= len(new) <= 64 or SEPARATOR in new:
            return 400, f"new: expected a member's name, found {new!r}"
        self.numbers += 1
        self.feed(ReplaceVoter(str(self.numbers), old, new))
        return 202, str(self.numbers)

    def propose(self, rules: RuleSet, base: int, by: str, why: str) -> str:
        """The number under which ``versions`` will tell what became of it."""
        self.numbers += 1
        self.feed(Propose(str(self.numbers), base, write_rules(rules), by, why))
        return str(self.numbers)

    def propose_file(self) -> None:
        """At SIGHUP, where the extras file names one: its rules, unless they are in force already."""
        if not self.part.rules or self.core is None:
            return
        try:
            with open(self.part.rules, "rb") as file:
                rules = rules_from(json.load(file), self.part.rules)
            no = check(rules, self.dispatcher.local_settings)
        except (OSError, ValueError, RuleError) as error:
            no = str(error)
        if no:
            log_event("fleet-proposal-refused", detail=repr(no))
        elif write_rules(rules) != self.core.known.force.rules:
            self.propose(rules, self.core.known.force.number, self.name, "SIGHUP")

    @staticmethod
    def _shown(rules: bytes) -> dict[str, Any] | None:
        return plain(read_rules(rules)) if rules else None

    def members(self) -> list[dict[str, Any]]:
        """What all say of themselves, by their facets; ages in ms."""
        core, now = self.known_members(), self._now()
        heard: list[tuple[str, Told, float]] = []
        if self.told is not None:
            heard.append((self.name, self.told, now - self.since))
        for word, facet, age in core.state_entries_of(FACET, now) if core is not None else ():
            try:
                told = read_told(facet.body)
            except (msgspec.DecodeError, msgspec.ValidationError):
                continue
            heard.append((word.name, told, told.since + age))
        found = [
            {"name": name, "version": told.version, "prepared": told.joint, "refused": told.refused,
             "acts": ("safe", "own settings", "agreed")[min(2, max(0, told.acts))],
             "since_ms": round(since), "list": f"{told.digest:08x}"}
            for name, told, since in heard
        ]  # fmt: skip
        return sorted(found, key=lambda one: str(one["name"]))

    def status(self) -> str:
        """JSON: versions, the lease, and what became of proposals made here."""
        core = self.core
        assert core is not None
        books, now = core.known, self._now()
        acts = "safe" if self.acts.safe else "own settings" if self.acts.rules is None else "agreed"
        joint = books.joint
        voters = list(core.raft.voters if core.raft is not None else self.part.voters)
        return json.dumps(
            {"name": self.name, "voters": voters, "votes": core.votes, "leader": core.leader,
             "leads": core.raft is not None and core.raft.leads(now), "disk": self.folder is not None,
             "version": books.force.number, "by": books.force.by, "why": books.force.why,
             "joint": None if joint is None else joint.number, "prepared": core.prepared,
             "refused": core.no, "acts": acts, "lease_ms": max(0, round(core.until - now)),
             "list": f"{self.book.digest():08x}", "servers": len(self.book.servers),
             "past": [list(one) for one in books.past], "verdicts": self.verdicts,
             "rules": {str(one.number): self._shown(one.rules) for one in (*books.kept, books.force)},
             "members": self.members()}
        )  # fmt: skip


def record_of(listed: Listed) -> Record:
    entry = listed.entry
    rank = STATES.index(entry.state.value)
    start = int(entry.started or 0)
    return Record(entry.name, start, rank, entry.place, entry.zone, entry.size, listed.host, listed.port)


def listed_of(record: Record) -> Listed:
    state = ServerState(STATES[record.state])
    started = float(record.start) if record.start else None
    entry = ServerEntry(record.name, record.place, record.zone, state, started, record.size)
    return Listed(entry, record.host, record.port)
