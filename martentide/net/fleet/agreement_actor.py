"""I/O around the agreement core: messages travel in the fleet's datagrams, a voter's state is written to disk
in a thread, and agreed rules are applied through the dispatcher. Part of the member's actor, its only
caller."""

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
    VOTER_ID_SEPARATOR,
    Action,
    Agreement,
    ApplyRules,
    Check,
    Checked,
    LeaseTimings,
    LogEvent,
    Persist,
    ProposalResolved,
    Propose,
    Received,
    ReplaceVoter,
    Send,
    TimerExpired,
)
from martentide.agreement.fragments import Fragmenter, Reassembler
from martentide.agreement.lists import STATES, ServerList, ServerRecord
from martentide.agreement.messages import (
    AGREED,
    OWN,
    SAFE,
    STATE_ENTRY_KIND,
    STATE_ENTRY_LIFETIME,
    STATE_ENTRY_SCHEMA,
    AgreementMessage,
    ListReply,
    ListRequest,
    MemberStatus,
    decode_message,
    decode_status,
    encode,
    encode_status,
)
from martentide.agreement.overlay import ANSWER_MAX_AGE, AgreedRules, find_objection
from martentide.agreement.ruleset import (
    RuleError,
    RuleSet,
    decode_rules,
    encode_rules,
    rules_from,
    rules_to_data,
)
from martentide.agreement.store import encode_voter_state, recover
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

MAX_QUEUED_ACTIONS = 1_024  # actions waiting for the disk; while it does not respond, a voter sends nothing
MAX_VERDICTS = 64  # kept for queries by operators
OPEN_TIMEOUT = 4.0  # s to open, lock and read the folder; after that the member does not vote
LOCK_ATTEMPTS, LOCK_RETRY_INTERVAL = 60, 0.05  # interval in s; the predecessor may still hold the lock
LIST_REQUEST_INTERVAL = 500.0  # ms between two requests for another member's list
SAFE_RULES_INTERVAL = 0.25  # s between two updates of which servers answered, under safe rules
PROBE_AGE_SHARE = 0.7  # of ANSWER_MAX_AGE; under safe rules a server without an answer for so long is probed


class AgreementActor:
    """One member's agreement, from ``begin`` to ``end``. ``send_fragment`` sends a fragment of a message to a
    member; ``get_membership`` returns the fleet membership, or None while there is none."""

    def __init__(
        self,
        part: AgreementPart,
        name: str,
        dispatcher: Dispatcher,
        send_fragment: Callable[[str, bytes], None],
        get_membership: Callable[[], Membership | None],
    ) -> None:
        self.part, self.name, self.dispatcher, self.send_fragment = part, name, dispatcher, send_fragment
        self.get_membership = get_membership
        self.loop = asyncio.get_running_loop()
        self.core: Agreement | None = None
        self.fragmenter, self.reassembler = Fragmenter(), Reassembler()
        self.folder: DiskFolder | None = None
        self.disk_executor: ThreadPoolExecutor | None = None
        self.queued_actions: deque[Action] = deque()
        self.writing = False  # whether the state is being written; queued actions wait
        self.timer: asyncio.TimerHandle | None = None
        self.safe_rules_timer: asyncio.TimerHandle | None = None
        self.in_force = AgreedRules(safe=True)
        self.last_rules: RuleSet | None = None
        self.verdicts: OrderedDict[str, dict[str, Any]] = OrderedDict()
        self.stopped = False
        self.request_count = 0
        self.handling = False  # whether the core is handling an event: no lease check meanwhile
        # ``own_servers``: names that the own discovery service reported
        self.server_list, self.own_servers = ServerList(), set[str]()
        self.applying_list = False  # whether the dispatcher is applying changes that other members reported
        self.in_force_since = self._now()  # ms
        self.published_status: MemberStatus | None = None
        self.published_at = self.list_requested_at = -1e9

    def _now(self) -> float:
        return self.loop.time() * 1000.0

    # ---- start and stop ---------------------------------------------------------------------------------

    async def begin(self, process_id: int, seed: int) -> None:
        """Load the stored state, if any. Until the first lease the member acts on safe rules."""
        self.dispatcher.event_observers.append(self._observe_event)
        self.dispatcher.before_each_item, self.dispatcher.merge_lists = self._check_lease, self._merge_notice
        self._merge_notice(Notice(0, False, tuple(self.dispatcher.listed.values())))
        self._apply_rules(AgreedRules(safe=True))
        stored, why = None, "no folder is set: a voter's state is lost when its process ends"
        if self.part.folder:  # also for a member without a vote: it may become a voter, or have been one
            self.disk_executor = ThreadPoolExecutor(1, "agreement")
            opening = self.loop.run_in_executor(self.disk_executor, self._open)
            done, _ = await asyncio.wait([opening], timeout=OPEN_TIMEOUT)
            stored, why = (
                opening.result() if done else (None, f"{self.part.folder}: the disk does not respond")
            )
            if self.stopped:
                if self.folder is not None:
                    self.folder.close()
                return
        if why and self.name in self.part.voters:
            LOG.warning("agreement-without-books", detail=repr(why))
        timings = LeaseTimings(bound=self.part.bound_ms)
        self.core = Agreement(self.name, process_id, self.part.voters, timings, seed, self._now(), stored)
        if self.part.folder and self.folder is None:
            self.core.lose_persistent_state(why)  # its state could not be made durable
        log_event(
            "agreement-begins", voters=",".join(self.part.voters), votes=self.core.is_voter,
            disk=self.folder is not None, bound_ms=self.part.bound_ms,
        )  # fmt: skip
        self._arm_timer()

    def _open(self) -> tuple[agreement.VoterState | None, str]:
        """Open, lock and read the folder; runs in the disk thread."""
        import time

        for attempt in range(LOCK_ATTEMPTS):
            try:
                self.folder = DiskFolder(self.part.folder)
                return recover(load(self.folder), self.name)
            except BlockingIOError as error:
                if attempt == LOCK_ATTEMPTS - 1:
                    return None, f"{self.part.folder}: {error.strerror}"
                time.sleep(LOCK_RETRY_INTERVAL)
            except OSError as error:
                return None, f"{self.part.folder}: {error.strerror or error}"
        return None, ""

    def end(self) -> None:
        """Stop sending, release the folder and fall back to safe rules."""
        self.stopped = True
        for timer in (self.timer, self.safe_rules_timer):
            if timer is not None:
                timer.cancel()
        if self._observe_event in self.dispatcher.event_observers:
            self.dispatcher.event_observers.remove(self._observe_event)
        self.dispatcher.before_each_item = self.dispatcher.merge_lists = None
        self.core = None
        self.queued_actions.clear()
        if self.disk_executor is not None:
            if self.folder is not None:
                self.disk_executor.submit(self.folder.close)
            self.disk_executor.shutdown(wait=False)
        self._apply_rules(AgreedRules(safe=True, last=self.last_rules))

    # ---- events -----------------------------------------------------------------------------------------

    def receive(self, sender: str, fragment: bytes) -> None:
        """Handle a fragment received from a member."""
        body = self.reassembler.add(self._now(), sender, fragment)
        if body is None:
            return
        try:
            message = decode_message(body)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return
        match message:
            case ListRequest():
                self._send(sender, ListReply(self.server_list.all_records()))
            case ListReply(records):
                self._merge_records(records)
            case _:
                self.handle(Received(sender, body))

    def _send(self, to: str, message: AgreementMessage) -> None:
        try:
            for fragment in self.fragmenter.split(encode(message)):
                self.send_fragment(to, fragment)
        except ValueError as error:
            LOG.error("agreement-too-long", detail=repr(str(error)))

    def handle(self, event: agreement.Event) -> None:
        """Pass an event to the core and carry out its actions."""
        if self.core is None:
            return
        self.handling = True
        try:
            actions = self.core.handle(self._now(), event)
        finally:
            self.handling = False
        if len(self.queued_actions) + len(actions) > MAX_QUEUED_ACTIONS:
            self._lose_persistent_state(
                f"the disk does not respond: {MAX_QUEUED_ACTIONS} actions wait for it"
            )
        self.queued_actions += actions
        self._run_queued_actions()
        self._arm_timer()

    def _run_queued_actions(self) -> None:
        """Carry out the queued actions in order, up to the next one that has to be on disk first."""
        while self.queued_actions and not self.writing:
            action = self.queued_actions.popleft()
            if isinstance(action, Persist):
                if self.disk_executor is None or self.folder is None:
                    continue  # no disk; logged at the start
                self.writing = True
                job = functools.partial(save, self.folder, encode_voter_state(action.state))
                self.loop.run_in_executor(self.disk_executor, job).add_done_callback(self._written)
            else:
                self._carry_out(action)

    def _written(self, done: asyncio.Future[None]) -> None:
        self.writing = False
        if done.cancelled() or self.core is None:
            return
        if (error := done.exception()) is not None:
            self._lose_persistent_state(str(error))
        self._run_queued_actions()

    def _lose_persistent_state(self, why: str) -> None:
        """The state could not be written: drop the queued messages, since they depend on it."""
        assert self.core is not None
        LOG.error("agreement-not-kept", detail=repr(why))
        self.queued_actions = deque(
            one for one in self.queued_actions if isinstance(one, (ApplyRules, LogEvent))
        )
        self.core.lose_persistent_state(why)

    def _arm_timer(self) -> None:
        if self.core is None:
            return
        due = self.core.next_deadline / 1000.0
        if self.timer is not None:
            if self.timer.when() <= due + 0.001 and not self.timer.cancelled():
                return
            self.timer.cancel()
        self.timer = self.loop.call_at(max(due, self.loop.time() + 0.002), self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        self.handle(TimerExpired())

    # ---- actions ----------------------------------------------------------------------------------------

    def _carry_out(self, action: Action) -> None:
        match action:
            case Send(to, message):
                self._send(to, message)
            case Check(version):
                self.loop.call_soon(self.handle, Checked(version.number, self._find_objection(version.rules)))
            case ApplyRules(rules, number, joint, until):
                safe = self._now() >= until
                self.last_rules = rules or self.last_rules
                self._apply_rules(AgreedRules(rules, safe, self.last_rules))
                log_event("fleet-version", version=number, joint=joint, rules="safe" if safe else "agreed")
            case ProposalResolved(request, done, number, text):
                self._store_verdict(request, {"done": done, "number": number, "text": text})
            case LogEvent(event, detail):
                log_event(f"fleet-{event}", detail=repr(detail))

    def _find_objection(self, rules: bytes) -> str:
        try:
            return find_objection(decode_rules(rules), self.dispatcher.local_settings)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            return f"it can't be read here: {error}"

    def _apply_rules(self, in_force: AgreedRules) -> None:
        if (in_force.safe, in_force.rules) != (self.in_force.safe, self.in_force.rules):
            self.in_force_since = self._now()
        self.in_force = in_force
        self.dispatcher.apply_agreed_rules(in_force)
        if in_force.safe and self.safe_rules_timer is None and self.core is not None:
            self.safe_rules_timer = self.loop.call_later(SAFE_RULES_INTERVAL, self._refresh_answers)

    def _check_lease(self) -> None:
        """Check the lease right before the decision module handles an item: the process may have been
        suspended past the expiry while calls were queued."""
        core = self.core
        if core is None or self.handling or self.in_force.safe or core.lease_valid(self._now()):
            return
        self.handle(TimerExpired())
        if not self.in_force.safe:  # the core's actions may wait for the disk; safe rules must not
            self._apply_rules(AgreedRules(safe=True, last=self.last_rules))

    def _observe_event(self, at: float, event: Event) -> None:
        """Record which servers answered, for safe rules; runs in the dispatcher."""
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

    def _refresh_answers(self) -> None:
        """Under safe rules: probe servers without a recent answer and use those that answered."""
        self.safe_rules_timer = None
        if self.core is None or not self.in_force.safe:
            return
        now = self.loop.time()
        for name, actor in self.dispatcher.servers.items():
            if (
                now - self.dispatcher.last_answer_at.get(name, -1e9)
            ) * 1000.0 > PROBE_AGE_SHARE * ANSWER_MAX_AGE:
                actor.post(Probing())
        self.dispatcher.refresh_listed_states()
        self.safe_rules_timer = self.loop.call_later(SAFE_RULES_INTERVAL, self._refresh_answers)

    # ---- server lists -----------------------------------------------------------------------------------

    def _merge_notice(self, notice: Notice) -> Notice:
        """Merge a notice of the own discovery service with what other members reported; runs in the
        dispatcher. A state that would move backwards is ignored; a full list removes only servers that this
        service reported."""
        if self.applying_list:
            return notice
        records = [record_of(listed) for listed in notice.servers]
        if notice.whole:
            new = self.server_list.merge_full_list(records, self.own_servers)
        else:
            new = [one for record in records if (one := self.server_list.merge(record)) is not None]
        self.own_servers.update(record.name for record in records)
        if len(self.own_servers) > 2 * len(self.server_list.servers) + 64:
            self.own_servers &= set(self.server_list.servers)
        return Notice(notice.number, False, tuple(listed_of(one) for one in new))

    def _merge_records(self, records: list[ServerRecord]) -> None:
        new = [one for record in records if (one := self.server_list.merge(record)) is not None]
        if new:
            log_event("fleet-list", changes=len(new), digest=f"{self.server_list.digest():08x}")
            self.applying_list = True
            try:
                self.dispatcher.apply_list(Notice(0, False, tuple(map(self._listed, new))))
            finally:
                self.applying_list = False

    def _listed(self, record: ServerRecord) -> Listed:
        """For a start that is known here, another member's record changes only the state: each member is
        given its own address of a server."""
        found, known = listed_of(record), self.dispatcher.listed.get(record.name)
        if known is not None and record_of(known).start == record.start:
            return dataclasses.replace(found, host=known.host, port=known.port)
        return found

    def poll(self, core: Membership) -> list[Publish]:
        """Called periodically by the member: merge the changes that others gossip, request a list where
        digests differ, and return this member's status for publication if it changed or is about to
        expire."""
        if self.core is None or core.displaced:
            return []
        now, digest = self._now(), self.server_list.digest()
        differing = []
        for record, entry, _ in core.state_entries_of(STATE_ENTRY_KIND, now):
            try:
                status = decode_status(entry.body)
            except (msgspec.DecodeError, msgspec.ValidationError):
                continue
            if status.digest != digest and record.name != self.name:
                self._merge_records(status.changes)
                differing.append(record.name)
        digest = self.server_list.digest()
        if differing and now - self.list_requested_at >= LIST_REQUEST_INTERVAL:
            self.list_requested_at = now  # one member at a time; any of them may have what is missing
            self._send(self.fragmenter.choose_in_turn(differing), ListRequest(digest))
        acting_by = SAFE if self.in_force.safe else OWN if self.in_force.rules is None else AGREED
        known_state = self.core.known_state
        status = MemberStatus(
            known_state.in_force.number,
            self.core.prepared,
            acting_by,
            0,
            self.core.objection[:80],
            digest,
            self.server_list.recent_changes(),
        )
        if status == self.published_status and now - self.published_at < STATE_ENTRY_LIFETIME / 3.0:
            return []
        self.published_status, self.published_at = status, now
        body = encode_status(msgspec.structs.replace(status, age=int(now - self.in_force_since)))
        return [Publish(STATE_ENTRY_KIND, STATE_ENTRY_SCHEMA, STATE_ENTRY_LIFETIME, body)]

    # ---- operators --------------------------------------------------------------------------------------

    def _store_verdict(self, request: str, verdict: dict[str, Any]) -> None:
        self.verdicts[request.rpartition("/")[2]] = verdict
        while len(self.verdicts) > MAX_VERDICTS:
            self.verdicts.popitem(last=False)

    def handle_operator_call(self, path: str, body: bytes) -> tuple[int, str]:
        """Handle an operator's HTTP call about versions; returns the HTTP status and the body."""
        if self.core is None:
            return 503, "not a member yet"
        if path == VERSIONS:
            return 200, self.status()
        if path == VOTERS:
            return self._replace_voter(body)
        try:
            request = json.loads(body)
            rules = rules_from(request.get("rules"), str(request.get("file") or "rules"))
            base, by, why = (
                int(request.get("base", -1)),
                str(request.get("by", "")),
                str(request.get("why", "")),
            )
        except (ValueError, AttributeError, TypeError) as error:
            return 400, f"expected JSON with rules, base, by, why: {error}"
        except RuleError as error:
            return 400, str(error)
        if (objection := find_objection(rules, self.dispatcher.local_settings)) != "":
            return 400, f"{request.get('file') or 'rules'}: {objection}"
        return 202, self.propose(rules, base, by, why)

    def _replace_voter(self, body: bytes) -> tuple[int, str]:
        try:
            request = json.loads(body)
            old, new = str(request["old"]), str(request["new"])
        except (ValueError, KeyError, TypeError) as error:
            return 400, f"expected JSON with old and new: {error!r}"
        if not 1 <= len(new) <= 64 or VOTER_ID_SEPARATOR in new:
            return 400, f"new: expected a member's name, found {new!r}"
        self.request_count += 1
        self.handle(ReplaceVoter(str(self.request_count), old, new))
        return 202, str(self.request_count)

    def propose(self, rules: RuleSet, base: int, by: str, why: str) -> str:
        """Propose a rule set; returns the number under which ``versions`` reports the verdict."""
        self.request_count += 1
        self.handle(Propose(str(self.request_count), base, encode_rules(rules), by, why))
        return str(self.request_count)

    def propose_file(self) -> None:
        """At SIGHUP: propose the rules file named in the extras file, if any, unless its rules are in
        force."""
        if not self.part.rules or self.core is None:
            return
        try:
            with open(self.part.rules, "rb") as file:
                rules = rules_from(json.load(file), self.part.rules)
            objection = find_objection(rules, self.dispatcher.local_settings)
        except (OSError, ValueError, RuleError) as error:
            objection = str(error)
        if objection:
            log_event("fleet-proposal-refused", detail=repr(objection))
        elif encode_rules(rules) != self.core.known_state.in_force.rules:
            self.propose(rules, self.core.known_state.in_force.number, self.name, "SIGHUP")

    @staticmethod
    def _rules_data(rules: bytes) -> dict[str, Any] | None:
        return rules_to_data(decode_rules(rules)) if rules else None

    def member_statuses(self) -> list[dict[str, Any]]:
        """The gossiped status of every member; ages in ms."""
        core, now = self.get_membership(), self._now()
        statuses: list[tuple[str, MemberStatus, float]] = []
        if self.published_status is not None:
            statuses.append((self.name, self.published_status, now - self.in_force_since))
        for record, entry, age in core.state_entries_of(STATE_ENTRY_KIND, now) if core is not None else ():
            try:
                status = decode_status(entry.body)
            except (msgspec.DecodeError, msgspec.ValidationError):
                continue
            statuses.append((record.name, status, status.age + age))
        found = [
            {"name": name, "version": status.version, "prepared": status.joint, "refused": status.refused,
             "acts": ("safe", "own settings", "agreed")[min(2, max(0, status.acts))],
             "since_ms": round(since), "list": f"{status.digest:08x}"}
            for name, status, since in statuses
        ]  # fmt: skip
        return sorted(found, key=lambda one: str(one["name"]))

    def status(self) -> str:
        """Versions, lease, and verdicts of proposals made at this member, as JSON."""
        core = self.core
        assert core is not None
        state, now = core.known_state, self._now()
        acts = "safe" if self.in_force.safe else "own settings" if self.in_force.rules is None else "agreed"
        joint = state.joint
        voters = list(core.raft.voters if core.raft is not None else self.part.voters)
        return json.dumps(
            {"name": self.name, "voters": voters, "votes": core.is_voter, "leader": core.leader,
             "leads": core.raft is not None and core.raft.has_leader_lease(now),
             "disk": self.folder is not None,
             "version": state.in_force.number, "by": state.in_force.by, "why": state.in_force.why,
             "joint": None if joint is None else joint.number, "prepared": core.prepared,
             "refused": core.objection, "acts": acts, "lease_ms": max(0, round(core.lease_expiry - now)),
             "list": f"{self.server_list.digest():08x}", "servers": len(self.server_list.servers),
             "past": [list(one) for one in state.history], "verdicts": self.verdicts,
             "rules": {str(one.number): self._rules_data(one.rules)
                       for one in (*state.previous, state.in_force)},
             "members": self.member_statuses()}
        )  # fmt: skip


def record_of(listed: Listed) -> ServerRecord:
    """The record of a server as the discovery service listed it."""
    entry = listed.entry
    rank = STATES.index(entry.state.value)
    start = int(entry.started or 0)
    return ServerRecord(
        entry.name, start, rank, entry.place, entry.zone, entry.size, listed.host, listed.port
    )


def listed_of(record: ServerRecord) -> Listed:
    """The listed server that a record describes."""
    state = ServerState(STATES[record.state])
    started = float(record.start) if record.start else None
    entry = ServerEntry(record.name, record.place, record.zone, state, started, record.size)
    return Listed(entry, record.host, record.port)
