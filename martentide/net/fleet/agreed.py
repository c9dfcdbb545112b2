"""The shell of agreement: words travel as the fleet's datagrams, a voter's books go to disk in a thread, and
what is agreed on reaches the decisions through the decider. Part of the member's actor, which alone calls
it."""

from __future__ import annotations

import asyncio
import functools
import json
from collections import OrderedDict, deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import msgspec

from martentide.agreement import core as agreement
from martentide.agreement.core import (
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
    Tell,
    Terms,
)
from martentide.agreement.overlay import ANSWERED, InForce, check
from martentide.agreement.parts import Joiner, Splitter
from martentide.agreement.ruleset import RuleError, RuleSet, read_rules, rules_from, write_rules
from martentide.agreement.store import recover, write_kept
from martentide.agreement.words import write
from martentide.interface import AttemptEnded, Ending, Event, ProbeEnded, Stands
from martentide.learned.files import load, save
from martentide.lifecycle.calls import VERSIONS
from martentide.net.decider import Decider, Probing
from martentide.net.endings import LOG, log_event
from martentide.net.learned import DiskFolder

if TYPE_CHECKING:
    from martentide.extras import AgreementPart

MOST_QUEUED = 1_024  # actions that wait for the disk; a voter whose disk hangs says nothing meanwhile
MOST_VERDICTS = 64
LOCK_TRIES, LOCK_GAP = 60, 0.05  # and s between two tries at a folder that a predecessor still holds
SAFE_LOOK = 0.25  # s between two looks at which servers answered, under safe rules
REFRESH = 0.7  # of ANSWERED: a server that was not heard of for so long is tested, under safe rules


class Agreed:
    """One member's agreement, from ``begin`` to ``end``; ``carry`` sends a part of a word to a member."""

    def __init__(
        self, part: AgreementPart, name: str, decider: Decider, carry: Callable[[str, bytes], None]
    ) -> None:
        self.part, self.name, self.decider, self.carry = part, name, decider, carry
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
        self.numbers = 0
        self.handling = False

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    # ---- life -------------------------------------------------------------------------------------------

    async def begin(self, life: int, seed: int) -> None:
        """Read the books, where there are any; until the first lease the member acts by safe rules."""
        self.decider.heard.append(self._overhear)
        self.decider.before = self._still
        self._enter(InForce(safe=True))
        kept, why = None, "no folder is set: what a voter knows ends with its process"
        if self.part.folder and self.name in self.part.voters:
            self.disk = ThreadPoolExecutor(1, "agreement")
            kept, why = await self.loop.run_in_executor(self.disk, self._open)
        if why and self.name in self.part.voters:
            LOG.warning("agreement-without-books", detail=repr(why))
        terms = Terms(bound=self.part.bound_ms)
        self.core = Agreement(self.name, life, self.part.voters, terms, seed, self._now(), kept)
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
        for timer in (self.timer, self.looking):
            if timer is not None:
                timer.cancel()
        if self._overhear in self.decider.heard:
            self.decider.heard.remove(self._overhear)
        self.decider.before = None
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
        if word is not None:
            self.feed(Heard(sender, word))

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
                try:
                    for part in self.splitter.split(write(word)):
                        self.carry(to, part)
                except ValueError as error:
                    LOG.error("agreement-too-long", detail=repr(str(error)))
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
            return check(read_rules(rules), self.decider.own_settings)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return f"it can't be read here: {error}"

    def _enter(self, in_force: InForce) -> None:
        self.acts = in_force
        self.decider.act_by(in_force)
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
        """In the decider's turn: which servers answered, for safe rules."""
        match event:
            case Stands(server=server):
                self.decider.answered_by[server] = self.loop.time()
            case (
                ProbeEnded(server, Ending.DELIVERED)
                | AttemptEnded(server=server, ending=Ending.DELIVERED | Ending.FULL)
            ):
                self.decider.answered_by[server] = self.loop.time()
            case _:
                return
        if len(self.decider.answered_by) > 2 * len(self.decider.servers) + 64:
            for name in [one for one in self.decider.answered_by if one not in self.decider.servers]:
                del self.decider.answered_by[name]

    def _look_safe(self) -> None:
        """Under safe rules: test what was not heard of, and use what answered."""
        self.looking = None
        if self.core is None or not self.acts.safe:
            return
        now = self.loop.time()
        for name, actor in self.decider.servers.items():
            if (now - self.decider.answered_by.get(name, -1e9)) * 1000.0 > REFRESH * ANSWERED:
                actor.post(Probing())
        self.decider.list_again()
        self.looking = self.loop.call_later(SAFE_LOOK, self._look_safe)

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
        try:
            said = json.loads(body)
            rules = rules_from(said.get("rules"), str(said.get("file") or "rules"))
            base, by, why = int(said.get("base", -1)), str(said.get("by", "")), str(said.get("why", ""))
        except (ValueError, AttributeError, TypeError) as error:
            return 400, f"expected JSON with rules, base, by, why: {error}"
        except RuleError as error:
            return 400, str(error)
        if (no := check(rules, self.decider.own_settings)) != "":
            return 400, f"{said.get('file') or 'rules'}: {no}"
        return 202, self.propose(rules, base, by, why)

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
            no = check(rules, self.decider.own_settings)
        except (OSError, ValueError, RuleError) as error:
            no = str(error)
        if no:
            log_event("fleet-proposal-refused", detail=repr(no))
        elif write_rules(rules) != self.core.known.force.rules:
            self.propose(rules, self.core.known.force.number, self.name, "SIGHUP")

    def status(self) -> str:
        """JSON: versions, the lease, and what became of proposals made here."""
        core = self.core
        assert core is not None
        books, now = core.known, self._now()
        acts = "safe" if self.acts.safe else "own settings" if self.acts.rules is None else "agreed"
        joint = books.joint
        return json.dumps(
            {"name": self.name, "voters": list(self.part.voters), "votes": core.votes, "leader": core.leader,
             "leads": core.raft is not None and core.raft.leads(now), "disk": self.folder is not None,
             "version": books.force.number, "by": books.force.by, "why": books.force.why,
             "joint": None if joint is None else joint.number, "prepared": core.prepared,
             "refused": core.no, "acts": acts, "lease_ms": max(0, round(core.until - now)),
             "past": [list(one) for one in books.past], "verdicts": self.verdicts}
        )  # fmt: skip
